/** Benchmark of the choice of upstreams against round robin, random choice and least requests. */
import { createRandom } from "../core/random.js";
import { type ChoicePolicy, defaultPolicy } from "../routing/choose.js";
import { assignSubsets } from "../routing/subset.js";
import {
    type Arrival,
    type Balancer,
    type ClusterSize,
    createArrivals,
    createTableBalancer,
    type RoutingFigures,
    simulateRouting,
} from "./routingSimulation.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

interface RoutingRow extends RoutingFigures {
    size: string;
    policy: string;
    /** Age at which load reports arrive; 0 for the baselines, which use none. */
    lagSeconds: number;
    /** 99th percentile of the load over its mean, minus 1. */
    excess: number;
    /** Excess as a share of the excess of the best baseline; the target is at most 0.5. */
    share: number;
}

const clusterSizes: ClusterSize[] = [
    { entries: 18, upstreams: 19, durationSeconds: 400 },
    { entries: 420, upstreams: 860, durationSeconds: 60 },
];
const reportLagsMs = [100, 1000, 5000];
const warmUpMs = 35_000;
/** Mean service time of a request at an engine that is not saturated, in milliseconds. */
const serviceMs = 8000;
/** Target of `RoutingRow.share`. */
const maxShareOfBaseline = 0.5;

/** Prints and returns the figures for each cluster size, report lag and policy. */
export async function runBench(options: BenchOptions): Promise<object> {
    const subsetSize = Number(options.flags.subset ?? 8);
    const policy: ChoicePolicy = {
        samples: Number(options.flags.samples ?? defaultPolicy.samples),
        decayServiceTimes: Number(options.flags.decay ?? defaultPolicy.decayServiceTimes),
        maxAffinityLoadFactor: Number(options.flags.affinity ?? defaultPolicy.maxAffinityLoadFactor),
        maxOwnWorkFactor: Number(options.flags.echo ?? defaultPolicy.maxOwnWorkFactor),
    };
    const rows = clusterSizes
        .filter(size => options.flags.size === undefined || size.entries === Number(options.flags.size))
        .flatMap(size => comparePolicies(size, subsetSize, policy, options.seed));
    printTable("Choice of upstreams (simulated time)", rows.map(formatRow));
    const affinity = compareAffinity(policy, subsetSize, options.seed);
    printTable("Prefix affinity, 18x19, lag 1 s (simulated time; engines cache prefixes)", affinity);
    const worstShare = Math.max(...rows.filter(row => row.policy === "beechdock").map(row => row.share));
    return {
        rows,
        affinity,
        worstShare,
        target: maxShareOfBaseline,
        met: worstShare <= maxShareOfBaseline,
    };
}

function comparePolicies(size: ClusterSize, subsetSize: number, policy: ChoicePolicy, seed: number): RoutingRow[] {
    const arrivals = createArrivals(size, size.durationSeconds * 1000, seed);
    const baselines = Object.entries(createBaselines(size, seed)).map(([name, balancer]) =>
        createRow(size, name, 0, simulateRouting(size, arrivals, balancer, 1000, warmUpMs))
    );
    const bestExcess = Math.min(...baselines.map(row => row.excess));
    const subsets = createSubsets(size, subsetSize);
    const tableRows = reportLagsMs.map(lagMs => {
        const balancer = createTableBalancer(subsets, policy, serviceMs, seed);
        return createRow(size, "beechdock", lagMs / 1000, simulateRouting(size, arrivals, balancer, lagMs, warmUpMs));
    });
    return [...baselines, ...tableRows].map(row => ({ ...row, share: row.excess / bestExcess }));
}

/** Compares prefix affinity with its absence, for engines that cache prefixes. */
function compareAffinity(policy: ChoicePolicy, subsetSize: number, seed: number): Row[] {
    const [size] = clusterSizes;
    const arrivals = createArrivals(size, size.durationSeconds * 1000, seed);
    const subsets = createSubsets(size, subsetSize);
    return [false, true].map(affinity => {
        const balancer = createTableBalancer(subsets, policy, serviceMs, seed, affinity);
        const figures = simulateRouting(size, arrivals, balancer, 1000, warmUpMs, true);
        return {
            affinity: affinity ? "bounded" : "none",
            "hit share": figures.hitShare,
            excess: figures.p99OverMean - 1,
            "step skew": figures.stepSkew,
            "first token p95 ms": figures.firstTokenP95Ms,
        };
    });
}

function createSubsets(size: ClusterSize, subsetSize: number): number[][] {
    return assignSubsets(listNames("entry", size.entries), listNames("slot", size.upstreams), subsetSize)
        .map(subset => subset.map(name => Number(name.split("-")[1])));
}

function createRow(size: ClusterSize, policy: string, lagSeconds: number, figures: RoutingFigures): RoutingRow {
    const name = `${size.entries}x${size.upstreams}`;
    return { size: name, policy, lagSeconds, ...figures, excess: figures.p99OverMean - 1, share: 1 };
}

function formatRow(row: RoutingRow): Row {
    return {
        size: row.size,
        policy: row.policy,
        "lag s": row.lagSeconds === 0 ? "-" : row.lagSeconds,
        "p99/mean": row.p99OverMean,
        excess: row.excess,
        "of best baseline": row.share,
        "first token p95 ms": row.firstTokenP95Ms,
        "p99 ms": row.firstTokenP99Ms,
        "step skew": row.stepSkew,
    };
}

function listNames(prefix: string, count: number): string[] {
    return Array.from({ length: count }, (unused, index) => `${prefix}-${index}`);
}

/** Creates the baselines. None of them uses load reports, so the report lag has no effect on them. */
function createBaselines(size: ClusterSize, seed: number): Record<string, Balancer> {
    return {
        "round robin": createRoundRobinBalancer(size, seed),
        random: createRandomBalancer(size, seed),
        "least requests": createLeastRequestsBalancer(size, seed),
    };
}

function createRandomBalancer(size: ClusterSize, seed: number): Balancer {
    const random = createRandom(seed);
    return {
        choose: () => random.pickIndex(size.upstreams),
        recordFinished: () => undefined,
        updateReports: () => undefined,
    };
}

function createRoundRobinBalancer(size: ClusterSize, seed: number): Balancer {
    const random = createRandom(seed);
    const next = Array.from({ length: size.entries }, () => random.pickIndex(size.upstreams));
    const choose = ({ entry }: Arrival) => {
        next[entry] = (next[entry] + 1) % size.upstreams;
        return next[entry];
    };
    return { choose, recordFinished: () => undefined, updateReports: () => undefined };
}

function createLeastRequestsBalancer(size: ClusterSize, seed: number): Balancer {
    const random = createRandom(seed);
    const counts = Array.from({ length: size.entries }, () => new Int32Array(size.upstreams));
    return {
        choose: ({ entry }) => {
            const ownCounts = counts[entry];
            const chosen = findMinIndex(ownCounts, random.pickIndex(size.upstreams));
            ownCounts[chosen] += 1;
            return chosen;
        },
        recordFinished: ({ entry }, upstream) => {
            counts[entry][upstream] -= 1;
        },
        updateReports: () => undefined,
    };
}

/** Finds the index of the minimum; among equal values, the first from `start` on, wrapping around. */
function findMinIndex(values: Int32Array, start: number): number {
    let best = start;
    for (let i = 0; i < values.length && values[best] > 0; i++) {
        const index = (start + i) % values.length;
        if (values[index] < values[best]) {
            best = index;
        }
    }
    return best;
}
