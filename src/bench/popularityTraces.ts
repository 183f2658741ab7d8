/** Traces of expert popularity, generated from a seed or read from a file. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import { InputError } from "../core/errors.js";
import { createRandom, type Random } from "../core/random.js";

/** Token counts by layer, interval and expert. */
export type Trace = number[][][];

export interface TraceShape {
    experts: number;
    layers: number;
    intervals: number;
}

/** Kinds of generated traces. */
export const TraceKind = { walk: "walk", day: "day", burst: "burst" } as const;
export type TraceKind = (typeof TraceKind)[keyof typeof TraceKind];

const intervalsPerDay = 48;
const tokensPerInterval = 2_000_000;
/** Standard deviation of a step of the random walk, in units of the logarithm of popularity. */
const walkStandardDeviation = 0.06;

/** Generates a trace: a random walk of popularity, optionally with a daily cycle or with bursts of single experts. */
export function generateTrace(kind: TraceKind, shape: TraceShape, seed: number): Trace {
    const random = createRandom(seed);
    return Array.from({ length: shape.layers }, () => generateLayer(kind, shape, random));
}

function generateLayer(kind: TraceKind, { experts, intervals }: TraceShape, random: Random): number[][] {
    const logPopularities = Array.from({ length: experts }, () => 0.8 * sampleNormal(random));
    const dayPhases = Array.from({ length: experts }, () => 2 * Math.PI * random.next());
    /** Remaining intervals of the current burst of each expert. */
    const burstIntervals = new Array<number>(experts).fill(0);
    const rows: number[][] = [];
    for (let interval = 0; interval < intervals; interval++) {
        const weights = logPopularities.map((logPopularity, expert) => {
            const dayOffset = kind === TraceKind.day ?
                0.6 * Math.sin(2 * Math.PI * interval / intervalsPerDay + dayPhases[expert]) :
                0;
            return Math.exp(logPopularity + dayOffset + (burstIntervals[expert] > 0 ? 1.2 : 0));
        });
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        rows.push(weights.map(weight => sampleCount(random, tokensPerInterval * weight / total)));
        logPopularities.forEach((logPopularity, expert) =>
            logPopularities[expert] = 0.998 * logPopularity + walkStandardDeviation * sampleNormal(random)
        );
        burstIntervals.forEach((remaining, expert) => {
            const startsBurst = kind === TraceKind.burst && random.next() < 0.002;
            burstIntervals[expert] = startsBurst ? 3 + random.pickIndex(6) : Math.max(0, remaining - 1);
        });
    }
    return rows;
}

function sampleNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
}

function sampleCount(random: Random, mean: number): number {
    return Math.max(0, Math.round(mean + Math.sqrt(mean) * sampleNormal(random)));
}

/** A line of a trace file. */
const LineSchema = z.object({
    layer: z.number().int().nonnegative(),
    interval: z.number().int().nonnegative(),
    counts: z.array(z.number().nonnegative()).min(1),
});

/**
 * Reads a trace from a file of JSON lines.
 * @throws InputError if a line does not match the schema, or a layer lacks the counts of all experts for an interval.
 */
export function readTrace(file: string): Trace {
    const rows = readFileSync(file, "utf8").split("\n").filter(line => line.trim().length > 0).map((line, index) => {
        const result = LineSchema.safeParse(JSON.parse(line));
        if (!result.success) {
            throw new InputError(`${file}:${index + 1}: expected a layer, an interval and an array of counts`);
        }
        return result.data;
    });
    const layers = [...new Set(rows.map(row => row.layer))].sort((a, b) => a - b);
    const intervals = [...new Set(rows.map(row => row.interval))].sort((a, b) => a - b);
    const experts = rows[0]?.counts.length ?? 0;
    const countsByRow = new Map(rows.map(row => [`${row.layer}/${row.interval}`, row.counts]));
    return layers.map(layer =>
        intervals.map(interval => {
            const counts = countsByRow.get(`${layer}/${interval}`);
            if (counts?.length !== experts) {
                throw new InputError(
                    `${file}: layer ${layer} lacks the counts of all experts for interval ${interval}`,
                );
            }
            return counts;
        })
    );
}
