/**
 * Expert maps against baselines: `npm run bench -- maps [--seed N] [--trace FILE --ranks N --slots-per-rank S]`.
 * Drives the planning modules over traces of counts. Left out: the switch itself, the loading of weights and its
 * effect on steps; a map that is planned is in force for the next interval.
 */
import { InputError } from "../core/errors.js";
import { createForecast, forecastShares, observeCounts } from "../group/forecast.js";
import { computeSkew, countMoves, type LayerPlacement, packLayer } from "../group/placement.js";
import { planLayer, type PlanParameters, type PlanPreset, planPresets } from "../group/plan.js";
import { generateTrace, readTrace, type Trace, TraceKind } from "./popularityTraces.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

/** Bytes of the weights of one expert of one layer. */
const bytesPerExpert = 44_000_000;
/** Intervals that only set up the maps and forecasts. */
const warmupIntervals = 4;

interface PolicyMetrics {
    meanSkew: number;
    p95Skew: number;
    movesPerIntervalPerLayer: number;
    bytesPerInterval: number;
}

interface GroupShape {
    ranks: number;
    slotsPerRank: number;
}

/** Chooses the placement for `interval`; only foresight may look at that interval's counts. */
type Policy = (placement: LayerPlacement, interval: number) => LayerPlacement;
type PolicyFactory = (rows: number[][], shape: GroupShape, times: number[]) => Policy;

const policies: Record<string, PolicyFactory> = {
    static: () => placement => placement,
    full: (rows, { ranks, slotsPerRank }) => (placement, interval) =>
        packLayer(rows[interval - 1], ranks, slotsPerRank),
    foresight: (rows, { ranks, slotsPerRank }) => (placement, interval) =>
        packLayer(rows[interval], ranks, slotsPerRank),
    skew: createPresetPolicy("skew"),
    cost: createPresetPolicy("cost"),
};

function createPresetPolicy(preset: PlanPreset): PolicyFactory {
    return createWeightedPolicy(planPresets[preset]);
}

/** Creates the policy of this project under given weights. */
export function createWeightedPolicy(weights: PlanParameters): PolicyFactory {
    return (rows, shape, times) => {
        const forecast = createForecast(rows[0].length);
        const earned = weights.movesPerInterval * shape.ranks * shape.slotsPerRank;
        let budget = earned;
        return (placement, interval) => {
            observeCounts(forecast, rows[interval - 1]);
            const startedAt = performance.now();
            const result = planLayer(
                { placement, forecast: forecastShares(forecast, weights.errorMultiple), budget },
                weights,
            );
            times.push(performance.now() - startedAt);
            const used = result.kind === "move" ? result.moves.length : 0;
            budget = Math.min(earned * weights.burstIntervals, budget - used + earned);
            return result.kind === "move" ? result.placement : placement;
        };
    };
}

/** Runs one policy over every layer of a trace. */
export function runPolicy(trace: Trace, shape: GroupShape, makePolicy: PolicyFactory, times: number[]): PolicyMetrics {
    const skews: number[] = [];
    let moves = 0;
    for (const rows of trace) {
        const policy = makePolicy(rows, shape, times);
        let placement = packLayer(rows[0], shape.ranks, shape.slotsPerRank);
        for (let interval = 1; interval < rows.length; interval++) {
            const next = policy(placement, interval);
            if (interval >= warmupIntervals) {
                moves += countMoves(placement, next);
                skews.push(computeSkew(next, rows[interval]));
            }
            placement = next;
        }
    }
    skews.sort((a, b) => a - b);
    const movesPerIntervalPerLayer = moves / Math.max(1, skews.length);
    return {
        meanSkew: skews.reduce((sum, skew) => sum + skew, 0) / skews.length,
        p95Skew: skews[Math.floor(skews.length * 0.95)],
        movesPerIntervalPerLayer,
        bytesPerInterval: movesPerIntervalPerLayer * trace.length * bytesPerExpert,
    };
}

function runPolicies(title: string, trace: Trace, shape: GroupShape, times: number[]): Record<string, PolicyMetrics> {
    const figures: Record<string, PolicyMetrics> = {};
    for (const [name, makePolicy] of Object.entries(policies)) {
        figures[name] = runPolicy(trace, shape, makePolicy, times);
    }
    printTable(
        title,
        Object.entries(figures).map(([policy, figure]): Row => ({
            policy,
            meanSkew: figure.meanSkew,
            p95Skew: figure.p95Skew,
            "mean vs full": figure.meanSkew / figures.full.meanSkew,
            "p95 vs full": figure.p95Skew / figures.full.p95Skew,
            "moves/interval/layer": figure.movesPerIntervalPerLayer,
            "share of full's moves": figure.movesPerIntervalPerLayer / figures.full.movesPerIntervalPerLayer,
            "GB/interval": figure.bytesPerInterval / 1e9,
        })),
    );
    return figures;
}

/** Prints the comparison and returns the figures. */
export async function runBench({ seed, flags }: BenchOptions): Promise<object> {
    return typeof flags.trace === "string" ? runTraceFile(flags.trace, flags) : runGeneratedTraces(seed);
}

function runTraceFile(file: string, flags: BenchOptions["flags"]): object {
    const trace = readTrace(file);
    const shape = { ranks: Number(flags.ranks), slotsPerRank: Number(flags.slotsPerRank) };
    const experts = trace[0]?.[0]?.length ?? 0;
    if (!(shape.ranks * shape.slotsPerRank >= experts)) {
        throw new InputError(`--ranks times --slots-per-rank must be at least ${experts}, the number of experts`);
    }
    const times: number[] = [];
    const figures = runPolicies(`${file}, ${shape.ranks} ranks, ${experts} experts`, trace, shape, times);
    return { policies: figures, planMillisecondsP99: computeP99(times) };
}

const generatedShapes = [
    { ranks: 16, slotsPerRank: 6, experts: 64, layers: 4, intervals: 200 },
    { ranks: 128, slotsPerRank: 3, experts: 256, layers: 2, intervals: 120 },
];

function runGeneratedTraces(seed: number): object {
    const times: number[] = [];
    const runs = generatedShapes.flatMap(shape =>
        Object.values(TraceKind).map(kind => {
            const title = `${shape.ranks} ranks x ${shape.experts} experts, ${shape.slotsPerRank} slots, ${kind}`;
            const isLarge = shape.ranks === 128;
            const figures = runPolicies(title, generateTrace(kind, shape, seed), shape, isLarge ? times : []);
            return { trace: kind, ranks: shape.ranks, experts: shape.experts, policies: figures };
        })
    );
    return { policies: aggregateRuns(runs.map(run => run.policies)), runs, planMillisecondsP99: computeP99(times) };
}

/** Averages the figures of all runs; skews weigh each run alike. */
function aggregateRuns(runs: Record<string, PolicyMetrics>[]): Record<string, PolicyMetrics> {
    const mean = (policy: string, key: keyof PolicyMetrics) =>
        runs.reduce((sum, run) => sum + run[policy][key], 0) / runs.length;
    return Object.fromEntries(
        Object.keys(policies).map(policy => [policy, {
            meanSkew: mean(policy, "meanSkew"),
            p95Skew: mean(policy, "p95Skew"),
            movesPerIntervalPerLayer: mean(policy, "movesPerIntervalPerLayer"),
            bytesPerInterval: mean(policy, "bytesPerInterval"),
        }]),
    );
}

function computeP99(times: number[]): number {
    const sorted = [...times].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}
