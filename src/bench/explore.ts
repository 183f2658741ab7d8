/**
 * Tries more random schedules (sequences of faults and messages) than the tests do, and prints the seeds of those that
 * violate an invariant: `npm run explore -- NAME --runs N --seed S`.
 */
import meow from "meow";

interface ExploreModule {
    /**
     * Runs `runs` schedules with consecutive seeds, starting from `seed`, and returns those that violated an invariant,
     * with a description of it.
     */
    exploreSchedules: (
        runs: number,
        seed: number,
    ) => Promise<{ runs: number; failures: { seed: number; what: string; }[]; }>;
}

const explorations = ["maps", "requests", "claims", "config"];

const cli = meow(
    `
    Usage
      $ npm run explore -- ${explorations.join("|")} [--runs N] [--seed S]

    Exits with 1 when a schedule breaks an invariant; prints its seed.
`,
    {
        importMeta: import.meta,
        flags: { runs: { type: "number", default: 10_000 }, seed: { type: "number", default: 1 } },
    },
);
const name = cli.input[0] ?? "";
if (!explorations.includes(name)) {
    process.stderr.write(`${cli.help}\n`);
    process.exit(2);
}
const module = await import(`./explore-${name}.js`) as ExploreModule;
const result = await module.exploreSchedules(cli.flags.runs, cli.flags.seed);
process.stdout.write(`${JSON.stringify(result)}\n`);
process.exit(result.failures.length === 0 ? 0 : 1);
