/** beechdock-standin: fakes of the external systems for the demo, tests and benchmarks. Not part of the package. */
import meow from "meow";
import { startFakeEngine } from "../standin/engine.js";
import { startFakeInstanceList } from "../standin/instanceList.js";
import { startFakeLog } from "../standin/log.js";
import { startFakePlainUpstream } from "../standin/plainUpstream.js";
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
    log: () => startFakeLog(port),
    list: () => startFakeInstanceList(port),
    engine: () => startFakeEngine(port, { firstTokenMs, tokenMs }),
    plain: () => startFakePlainUpstream(port, serviceMs),
};
const start = starters[cli.input[0] ?? ""];
if (start === undefined) {
    exitWith(ExitCode.badInput, cli.help);
}
const { url } = await start();
process.stdout.write(`${JSON.stringify({ url })}\n`);
