/** Bench of limits, fairness, retries and ejection under overload and faults. */
import { type Fault, meanServiceMs, type RequestResult, type Scenario, simulateOverload } from "./overloadDriver.js";
import { pickQuantile } from "./routingDriver.js";
import { printTable } from "./table.js";
import type { BenchOptions } from "./types.js";

interface CheckResult {
    check: string;
    figure: number;
    target: string;
    met: boolean;
}

const limits = { concurrency: 8, tokens: 200_000, queue: 32 };
const slots = 19;
/** Requests a second that all slots together can run. */
const capacityPerSecond = slots * limits.concurrency * 1000 / meanServiceMs;
const warmupMs = 5000;
const outage = { from: 20_000, until: 40_000 };
const minGoodputShare = 0.95;
const maxSlowdown = 1.2;
const maxRetryShare = 0.1;
const recoveryTimeMs = 5000;

/** Prints and returns the figures. */
export async function runBench({ seed }: BenchOptions): Promise<object> {
    const base: Scenario = {
        entries: 18,
        slots,
        limits,
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
    printTable("Overload (driver, faked time)", checks.map(check => ({ ...check, met: check.met ? "yes" : "NO" })));
    return { checks, met: checks.every(check => check.met) };
}

function measureGoodput(base: Scenario): CheckResult[] {
    const loads = [0.8, 1, 2, 5];
    const goodputs = loads.map(load => {
        const endings = simulateOverload({ ...base, workspaces: listWorkspaces(10, capacityPerSecond * load) });
        const good = selectSuccessful(endings).filter(e => e.endedAt >= warmupMs && e.endedAt < base.durationMs);
        return good.length / (base.durationMs - warmupMs) * 1000;
    });
    const rows = loads.map((load, i) => ({ "offered / capacity": load, "good answers a second": goodputs[i] }));
    printTable("Goodput (driver, faked time)", rows);
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

function measureFairness(base: Scenario): CheckResult[] {
    const smallWorkspace = { name: "small", weight: 1, requestsPerSecond: capacityPerSecond * 0.03 };
    const floodingWorkspace = { name: "flood", weight: 1, requestsPerSecond: capacityPerSecond * 5 };
    const [alone, underFlood] = [[smallWorkspace], [smallWorkspace, floodingWorkspace]].map(workspaces => {
        const results = selectArrivedFrom(simulateOverload({ ...base, workspaces }), warmupMs).filter(e =>
            e.workspace === "small"
        );
        return {
            p95: computeLatencyP95(selectSuccessful(results)),
            answered: selectSuccessful(results).length / results.length,
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
            figure: underFlood.answered,
            target: ">= 0.99",
            met: underFlood.answered >= 0.99,
        },
    ];
}

function measureOutage(base: Scenario): CheckResult[] {
    const faults = listSlots(9).map((slot): Fault => ({ slot, kind: "gone", ...outage }));
    return [0.4, 0.8].flatMap(load => {
        const results = simulateOverload({
            ...base,
            workspaces: listWorkspaces(10, capacityPerSecond * load),
            faults,
            durationMs: 60_000,
            callersRetry: true,
        });
        const during = results.filter(e => e.arrivedAt >= outage.from && e.arrivedAt < outage.until + recoveryTimeMs);
        const retries = during.reduce((sum, e) => sum + e.retries, 0) / during.length;
        const before = results.filter(e => e.arrivedAt >= warmupMs && e.arrivedAt < outage.from);
        const after = results.filter(e => e.arrivedAt >= outage.until + recoveryTimeMs);
        const slowdown = computeLatencyP95(selectSuccessful(after)) / computeLatencyP95(selectSuccessful(before));
        const successShare = selectSuccessful(after).length / after.length;
        const name = `outage of 9 of ${slots}, load ${load}`;
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

function measureEjection(base: Scenario): CheckResult[] {
    const always = { from: 0, until: Infinity };
    const kinds = ["slow", "failing"] as const;
    return kinds.flatMap(kind => {
        const runScenario = (faults: Fault[], ejection: boolean) => {
            const workspaces = listWorkspaces(10, capacityPerSecond * 0.6);
            const endings = selectArrivedFrom(
                simulateOverload({ ...base, workspaces, faults, ejectionEnabled: ejection }),
                warmupMs,
            );
            return {
                p95: computeLatencyP95(selectSuccessful(endings)),
                bad: 1 - selectSuccessful(endings).length / endings.length,
            };
        };
        const faults: Fault[] = [{ slot: 0, kind, ...always }];
        const [healthy, withoutEjection, withEjection] = [
            runScenario([], true),
            runScenario(faults, false),
            runScenario(faults, true),
        ];
        printTable(`One of ${slots} ${kind} (driver, faked time)`, [
            { fleet: "all well", "p95 ms": healthy.p95, "share not answered well": healthy.bad },
            {
                fleet: "without ejection",
                "p95 ms": withoutEjection.p95,
                "share not answered well": withoutEjection.bad,
            },
            { fleet: "with ejection", "p95 ms": withEjection.p95, "share not answered well": withEjection.bad },
        ]);
        const figure = withEjection.p95 / healthy.p95;
        return [
            { check: `one ${kind}: p95 over all well`, figure, target: "<= 1.2", met: figure <= maxSlowdown },
            {
                check: `one ${kind}: share not answered well`,
                figure: withEjection.bad,
                target: "<= 0.01",
                met: withEjection.bad <= 0.01,
            },
        ];
    });
}

function listWorkspaces(count: number, rate: number) {
    return listSlots(count).map(i => ({ name: `workspace-${i}`, weight: 1, requestsPerSecond: rate / count }));
}

function listSlots(count: number): number[] {
    return Array.from({ length: count }, (unused, index) => index);
}

function selectSuccessful(results: RequestResult[]): RequestResult[] {
    return results.filter(e => e.status === 200);
}

function selectArrivedFrom(results: RequestResult[], from: number): RequestResult[] {
    return results.filter(e => e.arrivedAt >= from);
}

function computeLatencyP95(results: RequestResult[]): number {
    return pickQuantile(results.map(e => e.endedAt - e.arrivedAt), 0.95);
}
