/** Commands of operators. */
import meow from "meow";
import { userInfo } from "node:os";
import { InputError } from "../core/errors.js";
import { auditCommand } from "./audit.js";
import { checkCommand, diffCommand, promoteCommand, publishCommand } from "./documents.js";
import { settingsCommand } from "./settings.js";
import { explainCommand, statusCommand } from "./status.js";
import { type Command, CommandExitCode } from "./types.js";

const help = `
    Usage
      $ beechdock check FILE
      $ beechdock diff [FILE] --log URL [--environment NAME]
      $ beechdock publish FILE --log URL [--from REVISION]
      $ beechdock promote --log URL [--from REVISION]
      $ beechdock status --settings FILE
      $ beechdock explain REQUEST-ID --settings FILE
      $ beechdock explain map GROUP --settings FILE
      $ beechdock audit --log URL [--since 24h] [--environment NAME]
      $ beechdock settings --print --settings FILE

    Commands
      check     check a document and print every finding with its place
      diff      list what FILE changes, or without FILE what trial changes against production
      publish   put a document into force in the trial environment
      promote   put trial's document into force in production
      status    show which instance runs which revision since when, and who is cut off
      explain   tell what became of a request, or how a group came to its expert map
      audit     list promotions and what the system did of its own accord
      settings  print a settings file with its defaults; secrets are masked

    Options
      --settings FILE   addresses of log and list, environment and keys, in YAML
      --log URL         address of the platform's log; in place of --settings
      --from REVISION   revision that the change was made from; the one in force when absent
      --since WHEN      30s, 90m, 24h, 7d or a time; 24h when absent
      --environment E   trial or production
      --author NAME     name for the audit trail
      --json            print results as JSON

    Exit codes
      0  done
      1  failed, for example because the log cannot be reached, or nothing was found
      2  bad options, a bad document or bad settings
      3  rejected: another revision came first
      4  incomplete: some instances gave no answer
`;

const commands: Record<string, Command> = {
    check: checkCommand,
    diff: diffCommand,
    publish: publishCommand,
    promote: promoteCommand,
    status: statusCommand,
    explain: explainCommand,
    audit: auditCommand,
    settings: settingsCommand,
};

/** Runs the command line and returns the exit code. */
export async function runCommand(argv: string[]): Promise<number> {
    const cli = meow(help, {
        importMeta: import.meta,
        argv,
        flags: {
            log: { type: "string" },
            settings: { type: "string" },
            from: { type: "number" },
            since: { type: "string", default: "24h" },
            environment: { type: "string" },
            author: { type: "string", default: userInfo().username },
            json: { type: "boolean", default: false },
            print: { type: "boolean", default: false },
        },
    });
    const name = cli.input[0] ?? "";
    if (!Object.hasOwn(commands, name)) {
        process.stderr.write(`${cli.help}\n`);
        return CommandExitCode.badInput;
    }
    try {
        return await commands[name](cli.input.slice(1), cli.flags);
    }
    catch (error) {
        return reportError(error as Error, cli.flags.json);
    }
}

function reportError(error: Error, json: boolean): number {
    const isInput = error instanceof InputError;
    const issues = isInput ? error.issues : [];
    process.stderr.write(json ? `${JSON.stringify({ error: error.message, issues })}\n` : `${error.message}\n`);
    return isInput ? CommandExitCode.badInput : CommandExitCode.failed;
}
