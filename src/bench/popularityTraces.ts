/** Traces of expert popularity: drifting ones made from a seed, or read from a file. */
import { readFileSync } from "node:fs";
import { z } from "zod";
import { InputError } from "../core/errors.js";
import { createRandom, type Random } from "../core/random.js";

/** Counts by layer, interval and expert. */
export type Trace = number[][][];

export interface TraceShape {
    experts: number;
    layers: number;
    intervals: number;
}

export const TraceKind = { walk: "walk", day: "day", burst: "burst" } as const;
export type TraceKind = (typeof TraceKind)[keyof typeof TraceKind];

const intervalsPerDay = 48;
const tokensPerInterval = 2_000_000;
const walkStandardDeviation = 0.06;

/** Makes a trace: a random walk of popularity, with a daily wave or with bursts of single experts on top. */
export function generateTrace(kind: TraceKind, shape: TraceShape, seed: number): Trace {
    const random = createRandom(seed);
    return Array.from({ length: shape.layers }, () => generateLayer(kind, shape, random));
}

function generateLayer(kind: TraceKind, { experts, intervals }: TraceShape, random: Random): number[][] {
    const logs = Array.from({ length: experts }, () => 0.8 * sampleNormal(random));
    const phases = Array.from({ length: experts }, () => 2 * Math.PI * random.next());
    const bursts = new Array<number>(experts).fill(0);
    const rows: number[][] = [];
    for (let interval = 0; interval < intervals; interval++) {
        const weights = logs.map((log, expert) => {
            const day = kind === TraceKind.day ?
                0.6 * Math.sin(2 * Math.PI * interval / intervalsPerDay + phases[expert]) :
                0;
            return Math.exp(log + day + (bursts[expert] > 0 ? 1.2 : 0));
        });
        const total = weights.reduce((sum, weight) => sum + weight, 0);
        rows.push(weights.map(weight => sampleCount(random, tokensPerInterval * weight / total)));
        logs.forEach((log, expert) => logs[expert] = 0.998 * log + walkStandardDeviation * sampleNormal(random));
        bursts.forEach((left, expert) => {
            const begins = kind === TraceKind.burst && random.next() < 0.002;
            bursts[expert] = begins ? 3 + random.pickIndex(6) : Math.max(0, left - 1);
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

const LineSchema = z.object({
    layer: z.number().int().nonnegative(),
    interval: z.number().int().nonnegative(),
    counts: z.array(z.number().nonnegative()).min(1),
});

/** Reads a trace of JSON lines; throws an `InputError` when a line or an interval is missing or odd. */
export function readTrace(file: string): Trace {
    const rows = readFileSync(file, "utf8").split("\n").filter(line => line.trim().length > 0).map((line, index) => {
        const result = LineSchema.safeParse(JSON.parse(line));
        if (!result.success) {
            throw new InputError(`${file}:${index + 1}: the line is not a row of counts`);
        }
        return result.data;
    });
    const layers = [...new Set(rows.map(row => row.layer))].sort((a, b) => a - b);
    const intervals = [...new Set(rows.map(row => row.interval))].sort((a, b) => a - b);
    const experts = rows[0]?.counts.length ?? 0;
    const byPlace = new Map(rows.map(row => [`${row.layer}/${row.interval}`, row.counts]));
    return layers.map(layer =>
        intervals.map(interval => {
            const counts = byPlace.get(`${layer}/${interval}`);
            if (counts?.length !== experts) {
                throw new InputError(`${file}: layer ${layer} has no whole row for interval ${interval}`);
            }
            return counts;
        })
    );
}
