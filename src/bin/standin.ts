/** beechdock-standin: fakes of the external systems for the demo, tests and benchmarks. Not part of the package. */
import meow from "meow";
import { startEngineStandin } from "../standin/engine.js";
import { startListStandin } from "../standin/list.js";
import { startLogStandin } from "../standin/log.js";
import { startPlainStandin } from "../standin/plain.js";
import { ExitCode, exitWith } from "./exit.js";

const cli = meow(
    `
    Usage
      $ beechdock-standin log|list|engine|plain [--port N] [--first-token-ms N] [--token-ms N] [--service-ms N]

    Prints the address as JSON once it listens.
`,
    {
        importMeta: import.meta,
        flags: {
            port: { type: "number", default: 0 },
            firstTokenMs: { type: "number", default: 20 },
            tokenMs: { type: "number", default: 10 },
            serviceMs: { type: "number", default: 0 },
        },
    },
);
const { port, firstTokenMs, tokenMs, serviceMs } = cli.flags;
const starters: Record<string, () => Promise<{ url: string; }>> = {
    log: () => startLogStandin(port),
    list: () => startListStandin(port),
    engine: () => startEngineStandin(port, { firstTokenMs, tokenMs }),
    plain: () => startPlainStandin(port, serviceMs),
};
const start = starters[cli.input[0] ?? ""];
if (start === undefined) {
    exitWith(ExitCode.badInput, cli.help);
}
const { url } = await start();
process.stdout.write(`${JSON.stringify({ url })}\n`);
