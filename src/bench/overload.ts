/** Bench of limits, fairness, retries and ejection under overload and faults. */
import { driveOverload, type Ending, type Fault, meanServiceMs, type Scenario } from "./overloadDriver.js";
import { pickQuantile } from "./routingDriver.js";
import { printTable } from "./table.js";
import type { BenchOptions } from "./types.js";

interface Check {
    check: string;
    figure: number;
    target: string;
    met: boolean;
}

const limits = { concurrency: 8, tokens: 200_000, queue: 32 };
const slots = 19;
/** Requests a second that all slots together can run. */
const capacity = slots * limits.concurrency * 1000 / meanServiceMs;
const warmupMs = 5000;
const outage = { from: 20_000, until: 40_000 };
const minGoodputShare = 0.95;
const maxSlowdown = 1.2;
const maxRetryShare = 0.1;
const recoveryMs = 5000;

/** Prints and returns the figures. */
export async function runBench({ seed }: BenchOptions): Promise<object> {
    const base: Scenario = {
        entries: 18,
        slots,
        limits,
        workspaces: [],
        faults: [],
        durationMs: 30_000,
        returning: false,
        ejection: true,
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

function measureGoodput(base: Scenario): Check[] {
    const loads = [0.8, 1, 2, 5];
    const goodputs = loads.map(load => {
        const endings = driveOverload({ ...base, workspaces: listWorkspaces(10, capacity * load) });
        const good = selectGood(endings).filter(e => e.endedAt >= warmupMs && e.endedAt < base.durationMs);
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

function measureFairness(base: Scenario): Check[] {
    const small = { name: "small", weight: 1, rate: capacity * 0.03 };
    const flood = { name: "flood", weight: 1, rate: capacity * 5 };
    const [alone, beside] = [[small], [small, flood]].map(workspaces => {
        const endings = selectFrom(driveOverload({ ...base, workspaces }), warmupMs).filter(e =>
            e.workspace === "small"
        );
        return { p95: computeP95(selectGood(endings)), answered: selectGood(endings).length / endings.length };
    });
    const figure = beside.p95 / alone.p95;
    return [
        {
            check: "small workspace: p95 beside a flood over alone",
            figure,
            target: "<= 1.2",
            met: figure <= maxSlowdown,
        },
        {
            check: "small workspace: share answered beside a flood",
            figure: beside.answered,
            target: ">= 0.99",
            met: beside.answered >= 0.99,
        },
    ];
}

function measureOutage(base: Scenario): Check[] {
    const faults = listSlots(9).map((slot): Fault => ({ slot, kind: "gone", ...outage }));
    return [0.4, 0.8].flatMap(load => {
        const endings = driveOverload({
            ...base,
            workspaces: listWorkspaces(10, capacity * load),
            faults,
            durationMs: 60_000,
            returning: true,
        });
        const during = endings.filter(e => e.arrivedAt >= outage.from && e.arrivedAt < outage.until + recoveryMs);
        const retries = during.reduce((sum, e) => sum + e.retries, 0) / during.length;
        const before = endings.filter(e => e.arrivedAt >= warmupMs && e.arrivedAt < outage.from);
        const after = endings.filter(e => e.arrivedAt >= outage.until + recoveryMs);
        const slowdown = computeP95(selectGood(after)) / computeP95(selectGood(before));
        const good = selectGood(after).length / after.length;
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
            { check: `${name}: share answered from 5 s after`, figure: good, target: ">= 0.99", met: good >= 0.99 },
        ];
    });
}

function measureEjection(base: Scenario): Check[] {
    const forever = { from: 0, until: Infinity };
    const kinds = ["slow", "failing"] as const;
    return kinds.flatMap(kind => {
        const run = (faults: Fault[], ejection: boolean) => {
            const workspaces = listWorkspaces(10, capacity * 0.6);
            const endings = selectFrom(driveOverload({ ...base, workspaces, faults, ejection }), warmupMs);
            return { p95: computeP95(selectGood(endings)), bad: 1 - selectGood(endings).length / endings.length };
        };
        const faults: Fault[] = [{ slot: 0, kind, ...forever }];
        const [well, without, ejecting] = [run([], true), run(faults, false), run(faults, true)];
        printTable(`One of ${slots} ${kind} (driver, faked time)`, [
            { fleet: "all well", "p95 ms": well.p95, "share not answered well": well.bad },
            { fleet: "without ejection", "p95 ms": without.p95, "share not answered well": without.bad },
            { fleet: "with ejection", "p95 ms": ejecting.p95, "share not answered well": ejecting.bad },
        ]);
        const figure = ejecting.p95 / well.p95;
        return [
            { check: `one ${kind}: p95 over all well`, figure, target: "<= 1.2", met: figure <= maxSlowdown },
            {
                check: `one ${kind}: share not answered well`,
                figure: ejecting.bad,
                target: "<= 0.01",
                met: ejecting.bad <= 0.01,
            },
        ];
    });
}

function listWorkspaces(count: number, rate: number) {
    return listSlots(count).map(i => ({ name: `workspace-${i}`, weight: 1, rate: rate / count }));
}

function listSlots(count: number): number[] {
    return Array.from({ length: count }, (unused, index) => index);
}

function selectGood(endings: Ending[]): Ending[] {
    return endings.filter(e => e.status === 200);
}

function selectFrom(endings: Ending[], from: number): Ending[] {
    return endings.filter(e => e.arrivedAt >= from);
}

function computeP95(endings: Ending[]): number {
    return pickQuantile(endings.map(e => e.endedAt - e.arrivedAt), 0.95);
}
