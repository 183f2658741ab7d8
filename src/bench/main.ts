/** Runs one benchmark: `npm run bench -- NAME [--seed N] [--json FILE] [--OPTION VALUE]`. */
import meow from "meow";
import { writeFileSync } from "node:fs";
import type { BenchModule, BenchOptions } from "./types.js";

const benchDescriptions: Record<string, string> = {
    routing: "choice of upstreams against baselines",
    overload: "limits, fairness and retries under overload",
    path: "cost of the path through an entry and a slot, with real processes",
    maps: "expert maps against baselines",
    config: "spread of configuration",
    peers: "gossip: rounds and bytes",
    claims: "appends for idempotency keys, batched and not",
    capacity: "slopes for docs/CAPACITY.md",
};

const benchList = Object.entries(benchDescriptions).map(([name, text]) => `      ${name.padEnd(10)}${text}`).join("\n");
const cli = meow(
    `
    Usage
      $ npm run bench -- NAME [--seed N] [--json FILE]

    Benches
${benchList}
`,
    {
        importMeta: import.meta,
        flags: { seed: { type: "number", default: 1 }, json: { type: "string" } },
    },
);

const name = cli.input[0] ?? "";
if (!(name in benchDescriptions)) {
    process.stderr.write(`${cli.help}\n`);
    process.exit(2);
}
const bench = await import(`./${name}.js`) as BenchModule;
const { seed, json, ...flags } = cli.flags;
const result = { bench: name, seed, ...await bench.runBench({ seed, flags: flags as BenchOptions["flags"] }) };
if (json !== undefined) {
    writeFileSync(json, `${JSON.stringify(result, undefined, 2)}\n`);
}
process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(0);
