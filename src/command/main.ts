/** Commands of operators. */
import meow from "meow";
import { randomUUID } from "node:crypto";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { ConfigPublisher } from "../config/publish.js";
import { type ConfigDocument, DocumentSchema } from "../config/schemas.js";
import { createInputError, InputError } from "../core/errors.js";
import { parseYaml } from "../core/parse.js";
import { createLogClient } from "../log/client.js";

const exitCodes = { ok: 0, failed: 1, badInput: 2, rejected: 3 } as const;

const help = `
    Usage
      $ beechdock check FILE
      $ beechdock publish FILE --log URL [--from REVISION]
      $ beechdock promote --log URL [--from REVISION]

    Commands
      check     check a document and print every finding with its place
      publish   put a document into force in the trial environment
      promote   put trial's document into force in production

    Options
      --log URL         address of the platform's log
      --from REVISION   revision that the change was made from; the one in force when absent
      --author NAME     name for the audit trail
      --json            print results as JSON

    Exit codes
      0  done
      1  failed, for example because the log cannot be reached
      2  bad options or a bad document
      3  rejected: another revision came first
`;

interface Options {
    log: string | undefined;
    from: number | undefined;
    author: string;
    json: boolean;
}

type Command = (args: string[], options: Options) => Promise<number>;

const commands: Record<string, Command> = {
    check: async ([file], options) => {
        loadDocument(file);
        printResult(options, { ok: true }, `${file}: no findings`);
        return exitCodes.ok;
    },
    publish: async ([file], options) => {
        const document = loadDocument(file);
        return putDocument("trial", options, async () => document);
    },
    promote: async (args, options) =>
        putDocument("production", options, async publisher => {
            const trial = await publisher.read("trial");
            if (trial.document === undefined) {
                throw createInputError([{ code: "nothing", path: [], message: "Nothing has been published to trial" }]);
            }
            return trial.document;
        }),
};

/** Runs the command line and returns the exit code. */
export async function runCommand(argv: string[]): Promise<number> {
    const cli = meow(help, {
        importMeta: import.meta,
        argv,
        flags: {
            log: { type: "string" },
            from: { type: "number" },
            author: { type: "string", default: userInfo().username },
            json: { type: "boolean", default: false },
        },
    });
    const command = commands[cli.input[0] ?? ""];
    if (command === undefined) {
        process.stderr.write(`${cli.help}\n`);
        return exitCodes.badInput;
    }
    try {
        return await command(cli.input.slice(1), cli.flags);
    }
    catch (error) {
        process.stderr.write(`${(error as Error).message}\n`);
        return error instanceof InputError ? exitCodes.badInput : exitCodes.failed;
    }
}

function loadDocument(file: string | undefined): ConfigDocument {
    if (file === undefined) {
        throw createInputError([{ code: "missing", path: [], message: "Name the document's file" }]);
    }
    try {
        return parseYaml(file, readFileSync(file, "utf8"), DocumentSchema);
    }
    catch (error) {
        if (error instanceof InputError) {
            throw error;
        }
        throw createInputError([{ code: "unreadable", path: [], message: (error as Error).message }]);
    }
}

async function putDocument(
    environment: string,
    options: Options,
    getDocument: (publisher: ConfigPublisher) => Promise<ConfigDocument>,
): Promise<number> {
    if (options.log === undefined) {
        throw createInputError([{ code: "missing", path: ["--log"], message: "Name the log's address" }]);
    }
    const publisher = new ConfigPublisher(createLogClient(options.log));
    const document = await getDocument(publisher);
    const base = options.from ?? (await publisher.read(environment)).revision;
    const id = randomUUID();
    const verdict = await publisher.promote({
        kind: "promote",
        id,
        environment,
        base,
        author: options.author,
        document,
    });
    const text = verdict.accepted ?
        `${environment}: revision ${verdict.revision} is in force` :
        `${environment}: rejected, ${verdict.reason}`;
    printResult(options, { environment, ...verdict }, text);
    return verdict.accepted ? exitCodes.ok : exitCodes.rejected;
}

function printResult(options: Options, value: unknown, text: string): void {
    process.stdout.write(`${options.json ? JSON.stringify(value) : text}\n`);
}
