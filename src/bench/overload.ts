/**
 * Benchmark of concurrency limits, fairness, retries and outlier ejection of entries (ingress proxies) and slots
 * (sidecars of upstreams) under overload and faults.
 */
import {
    meanServiceMs,
    type OverloadScenario,
    type RequestResult,
    simulateOverload,
    type SlotFault,
} from "./overloadSimulation.js";
import { computeQuantile } from "./routingSimulation.js";
import { printTable } from "./table.js";
import type { BenchOptions } from "./types.js";

/** Result of a check of one figure against its target. */
interface CheckResult {
    check: string;
    figure: number;
    target: string;
    met: boolean;
}

const slotLimits = { concurrency: 8, tokens: 200_000, queue: 32 };
const slotCount = 19;
/** Requests per second that all slots together can run. */
const capacityPerSecond = slotCount * slotLimits.concurrency * 1000 / meanServiceMs;
const warmUpMs = 5000;
/** Time of the outage, in milliseconds. */
const outage = { from: 20_000, until: 40_000 };
/** Minimum goodput under overload, as a share of the peak. */
const minGoodputShare = 0.95;
/** Maximum of the 95th percentile of the latency, as a multiple of that without the disturbance. */
const maxSlowdown = 1.2;
/** Maximum number of retries per request. */
const maxRetryShare = 0.1;
/** Time after the end of the outage within which latencies must be normal again, in milliseconds. */
const recoveryTimeMs = 5000;

/** Runs all scenarios; prints and returns the figures. */
export async function runBench({ seed }: BenchOptions): Promise<object> {
    const base: OverloadScenario = {
        entries: 18,
        slots: slotCount,
        limits: slotLimits,
        workspaces: [],
        faults: [],
        durationMs: 30_000,
        callersRetry: false,
        ejectionEnabled: true,
        seed,
    };
    const checks = [
        ...measureGoodput(base),
        ...measureFairness(base),
        ...measureOutage(base),
        ...measureEjection(base),
    ];
    printTable("Overload (simulated time)", checks.map(check => ({ ...check, met: check.met ? "yes" : "NO" })));
    return { checks, met: checks.every(check => check.met) };
}

/** Compares the goodput under overload with the peak. */
function measureGoodput(base: OverloadScenario): CheckResult[] {
    const loads = [0.8, 1, 2, 5];
    const goodputs = loads.map(load => {
        const results = simulateOverload({ ...base, workspaces: createWorkspaces(10, capacityPerSecond * load) });
        const successful = selectSuccessful(results).filter(r => r.endedAt >= warmUpMs && r.endedAt < base.durationMs);
        return successful.length / (base.durationMs - warmUpMs) * 1000;
    });
    const rows = loads.map((load, i) => ({ "offered / capacity": load, "good answers a second": goodputs[i] }));
    printTable("Goodput (simulated time)", rows);
    const peak = Math.max(...goodputs);
    return [2, 3].map(i => {
        const figure = goodputs[i] / peak;
        return {
            check: `goodput at ${loads[i]}x over peak`,
            figure,
            target: ">= 0.95",
            met: figure >= minGoodputShare,
        };
    });
}

/** Compares the latency of a small workspace while another one floods the slots with its latency alone. */
function measureFairness(base: OverloadScenario): CheckResult[] {
    const smallWorkspace = { name: "small", weight: 1, requestsPerSecond: capacityPerSecond * 0.03 };
    const floodingWorkspace = { name: "flood", weight: 1, requestsPerSecond: capacityPerSecond * 5 };
    const [alone, underFlood] = [[smallWorkspace], [smallWorkspace, floodingWorkspace]].map(workspaces => {
        const results = selectArrivedFrom(simulateOverload({ ...base, workspaces }), warmUpMs).filter(r =>
            r.workspace === "small"
        );
        return {
            p95: computeLatencyP95(selectSuccessful(results)),
            successShare: selectSuccessful(results).length / results.length,
        };
    });
    const figure = underFlood.p95 / alone.p95;
    return [
        {
            check: "small workspace: p95 beside a flood over alone",
            figure,
            target: "<= 1.2",
            met: figure <= maxSlowdown,
        },
        {
            check: "small workspace: share answered beside a flood",
            figure: underFlood.successShare,
            target: ">= 0.99",
            met: underFlood.successShare >= 0.99,
        },
    ];
}

/** Measures the retries during an outage of almost half of the slots, and the recovery after it. */
function measureOutage(base: OverloadScenario): CheckResult[] {
    const faults = listIndexes(9).map((slot): SlotFault => ({ slot, kind: "gone", ...outage }));
    return [0.4, 0.8].flatMap(load => {
        const results = simulateOverload({
            ...base,
            workspaces: createWorkspaces(10, capacityPerSecond * load),
            faults,
            durationMs: 60_000,
            callersRetry: true,
        });
        const during = results.filter(r => r.arrivedAt >= outage.from && r.arrivedAt < outage.until + recoveryTimeMs);
        const retries = during.reduce((sum, r) => sum + r.retries, 0) / during.length;
        const before = results.filter(r => r.arrivedAt >= warmUpMs && r.arrivedAt < outage.from);
        const after = results.filter(r => r.arrivedAt >= outage.until + recoveryTimeMs);
        const slowdown = computeLatencyP95(selectSuccessful(after)) / computeLatencyP95(selectSuccessful(before));
        const successShare = selectSuccessful(after).length / after.length;
        const name = `outage of 9 of ${slotCount}, load ${load}`;
        return [
            {
                check: `${name}: retries over requests`,
                figure: retries,
                target: "<= 0.1",
                met: retries <= maxRetryShare,
            },
            {
                check: `${name}: p95 from 5 s after over before`,
                figure: slowdown,
                target: "<= 1.2",
                met: slowdown <= maxSlowdown,
            },
            {
                check: `${name}: share answered from 5 s after`,
                figure: successShare,
                target: ">= 0.99",
                met: successShare >= 0.99,
            },
        ];
    });
}

/** Measures how far the ejection of one slow or failing slot restores latency and success. */
function measureEjection(base: OverloadScenario): CheckResult[] {
    const always = { from: 0, until: Infinity };
    const kinds = ["slow", "failing"] as const;
    return kinds.flatMap(kind => {
        const runScenario = (faults: SlotFault[], ejectionEnabled: boolean) => {
            const workspaces = createWorkspaces(10, capacityPerSecond * 0.6);
            const results = selectArrivedFrom(
                simulateOverload({ ...base, workspaces, faults, ejectionEnabled }),
                warmUpMs,
            );
            return {
                p95: computeLatencyP95(selectSuccessful(results)),
                failedShare: 1 - selectSuccessful(results).length / results.length,
            };
        };
        const faults: SlotFault[] = [{ slot: 0, kind, ...always }];
        const [healthy, withoutEjection, withEjection] = [
            runScenario([], true),
            runScenario(faults, false),
            runScenario(faults, true),
        ];
        printTable(`One of ${slotCount} ${kind} (simulated time)`, [
            { fleet: "all well", "p95 ms": healthy.p95, "share not answered well": healthy.failedShare },
            {
                fleet: "without ejection",
                "p95 ms": withoutEjection.p95,
                "share not answered well": withoutEjection.failedShare,
            },
            { fleet: "with ejection", "p95 ms": withEjection.p95, "share not answered well": withEjection.failedShare },
        ]);
        const figure = withEjection.p95 / healthy.p95;
        return [
            { check: `one ${kind}: p95 over all well`, figure, target: "<= 1.2", met: figure <= maxSlowdown },
            {
                check: `one ${kind}: share not answered well`,
                figure: withEjection.failedShare,
                target: "<= 0.01",
                met: withEjection.failedShare <= 0.01,
            },
        ];
    });
}

function createWorkspaces(count: number, totalPerSecond: number) {
    return listIndexes(count).map(i => ({
        name: `workspace-${i}`,
        weight: 1,
        requestsPerSecond: totalPerSecond / count,
    }));
}

function listIndexes(count: number): number[] {
    return Array.from({ length: count }, (unused, index) => index);
}

function selectSuccessful(results: RequestResult[]): RequestResult[] {
    return results.filter(r => r.status === 200);
}

function selectArrivedFrom(results: RequestResult[], from: number): RequestResult[] {
    return results.filter(r => r.arrivedAt >= from);
}

function computeLatencyP95(results: RequestResult[]): number {
    return computeQuantile(results.map(r => r.endedAt - r.arrivedAt), 0.95);
}
