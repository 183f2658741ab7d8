/**
 * Benchmark of expert placement policies:
 * `npm run bench -- maps [--seed N] [--trace FILE --ranks N --slots-per-rank S]`.
 * Runs the production planner and baselines over traces of token counts. Not simulated: the map switch, and the loading
 * of weights and its effect on steps; a planned map is in force for the next interval.
 */
import { InputError } from "../core/errors.js";
import { createForecast, forecastShares, observeCounts } from "../group/forecast.js";
import { computeSkew, countMoves, type LayerPlacement, packLayer } from "../group/placement.js";
import { planLayer, type PlanParameters, type PlanPreset, planPresets } from "../group/plan.js";
import { generateTrace, readTrace, type Trace, TraceKind } from "./popularityTraces.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

/** Size of the weights of one expert in one layer, in bytes. */
const bytesPerExpert = 44_000_000;
/** Number of initial intervals that are not measured, in which maps and forecasts settle. */
const warmUpIntervals = 4;

/** Results of a policy over all measured intervals and layers; the property names are part of the JSON output. */
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

/** Chooses the placement for `interval` from the one before; only `foresight` uses the counts of that same interval. */
type Policy = (placement: LayerPlacement, interval: number) => LayerPlacement;
/**
 * Creates the policy of a layer from its counts by interval and expert. The policy appends the durations of its plans
 * to `planTimes`, in milliseconds.
 */
type PolicyFactory = (counts: number[][], shape: GroupShape, planTimes: number[]) => Policy;

/**
 * Policies by their name in the output. Baselines: `static` never moves an expert, `full` repacks every interval with
 * the counts of the previous one, and `foresight` with those of the same one. `skew` and `cost` are presets of the
 * planner.
 */
const policies: Record<string, PolicyFactory> = {
    static: () => placement => placement,
    full: (counts, { ranks, slotsPerRank }) => (placement, interval) =>
        packLayer(counts[interval - 1], ranks, slotsPerRank),
    foresight: (counts, { ranks, slotsPerRank }) => (placement, interval) =>
        packLayer(counts[interval], ranks, slotsPerRank),
    skew: createPresetPolicy("skew"),
    cost: createPresetPolicy("cost"),
};

function createPresetPolicy(preset: PlanPreset): PolicyFactory {
    return createPlannerPolicy(planPresets[preset]);
}

/** Creates a policy that uses the production planner with the given parameters. */
export function createPlannerPolicy(parameters: PlanParameters): PolicyFactory {
    return (counts, shape, planTimes) => {
        const forecast = createForecast(counts[0].length);
        const budgetPerInterval = parameters.movesPerInterval * shape.ranks * shape.slotsPerRank;
        let budget = budgetPerInterval;
        return (placement, interval) => {
            observeCounts(forecast, counts[interval - 1]);
            const startedAt = performance.now();
            const result = planLayer(
                { placement, forecast: forecastShares(forecast, parameters.errorMultiple), budget },
                parameters,
            );
            planTimes.push(performance.now() - startedAt);
            const usedMoves = result.kind === "move" ? result.moves.length : 0;
            budget = Math.min(budgetPerInterval * parameters.burstIntervals, budget - usedMoves + budgetPerInterval);
            return result.kind === "move" ? result.placement : placement;
        };
    };
}

/** Runs a policy over every layer of a trace and measures it after the warm-up. */
export function runPolicy(
    trace: Trace,
    shape: GroupShape,
    createPolicy: PolicyFactory,
    planTimes: number[],
): PolicyMetrics {
    const skews: number[] = [];
    let moves = 0;
    for (const counts of trace) {
        const policy = createPolicy(counts, shape, planTimes);
        let placement = packLayer(counts[0], shape.ranks, shape.slotsPerRank);
        for (let interval = 1; interval < counts.length; interval++) {
            const next = policy(placement, interval);
            if (interval >= warmUpIntervals) {
                moves += countMoves(placement, next);
                skews.push(computeSkew(next, counts[interval]));
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

function runPolicies(
    title: string,
    trace: Trace,
    shape: GroupShape,
    planTimes: number[],
): Record<string, PolicyMetrics> {
    const metrics: Record<string, PolicyMetrics> = {};
    for (const [name, createPolicy] of Object.entries(policies)) {
        metrics[name] = runPolicy(trace, shape, createPolicy, planTimes);
    }
    printTable(
        title,
        Object.entries(metrics).map(([policy, policyMetrics]): Row => ({
            policy,
            meanSkew: policyMetrics.meanSkew,
            p95Skew: policyMetrics.p95Skew,
            "mean vs full": policyMetrics.meanSkew / metrics.full.meanSkew,
            "p95 vs full": policyMetrics.p95Skew / metrics.full.p95Skew,
            "moves/interval/layer": policyMetrics.movesPerIntervalPerLayer,
            "share of full's moves": policyMetrics.movesPerIntervalPerLayer / metrics.full.movesPerIntervalPerLayer,
            "GB/interval": policyMetrics.bytesPerInterval / 1e9,
        })),
    );
    return metrics;
}

/** Compares the policies on a trace file or on generated traces, prints tables and returns the metrics. */
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
    const planTimes: number[] = [];
    const metrics = runPolicies(`${file}, ${shape.ranks} ranks, ${experts} experts`, trace, shape, planTimes);
    return { policies: metrics, planMillisecondsP99: computeP99(planTimes) };
}

/** Groups and traces that are generated if no trace file is given. */
const generatedShapes = [
    { ranks: 16, slotsPerRank: 6, experts: 64, layers: 4, intervals: 200 },
    { ranks: 128, slotsPerRank: 3, experts: 256, layers: 2, intervals: 120 },
];

function runGeneratedTraces(seed: number): object {
    const planTimes: number[] = [];
    const runs = generatedShapes.flatMap(shape =>
        Object.values(TraceKind).map(kind => {
            const title = `${shape.ranks} ranks x ${shape.experts} experts, ${shape.slotsPerRank} slots, ${kind}`;
            const isLarge = shape.ranks === 128;
            const metrics = runPolicies(title, generateTrace(kind, shape, seed), shape, isLarge ? planTimes : []);
            return { trace: kind, ranks: shape.ranks, experts: shape.experts, policies: metrics };
        })
    );
    return { policies: aggregateRuns(runs.map(run => run.policies)), runs, planMillisecondsP99: computeP99(planTimes) };
}

/** Averages the metrics of all runs with equal weights. */
function aggregateRuns(runs: Record<string, PolicyMetrics>[]): Record<string, PolicyMetrics> {
    const computeMean = (policy: string, key: keyof PolicyMetrics) =>
        runs.reduce((sum, run) => sum + run[policy][key], 0) / runs.length;
    return Object.fromEntries(
        Object.keys(policies).map(policy => [policy, {
            meanSkew: computeMean(policy, "meanSkew"),
            p95Skew: computeMean(policy, "p95Skew"),
            movesPerIntervalPerLayer: computeMean(policy, "movesPerIntervalPerLayer"),
            bytesPerInterval: computeMean(policy, "bytesPerInterval"),
        }]),
    );
}

function computeP99(planTimes: number[]): number {
    const sorted = [...planTimes].sort((a, b) => a - b);
    return sorted[Math.floor(sorted.length * 0.99)] ?? 0;
}
