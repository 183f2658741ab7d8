import { describe, expect, test } from "vitest";
import { createRandom, type Random } from "../../core/random.js";
import type { ArmedMap, RankOrder, RankReport } from "../rankTypes.js";
import { rankOrderTimeoutMs, OrderOutcome } from "../rankTypes.js";
import {
    type AddressedOrder,
    createRollout,
    createVersion,
    decideOrders,
    isRolloutIdle,
    type TimestampedReport,
    recordOrderResult,
    type RolloutState,
} from "../rollout.js";

const ranks = 5;
const passMs = 60;
const reportMs = 200;
const runMs = 30_000;
/** Schedules of each kind. */
const seeds = 60;

interface Engine {
    mapVersion: number;
    highest: number;
    prepared?: number;
    armed?: ArmedMap;
    held?: number;
}

/** Engines of one group as their interface describes them. */
interface Group {
    step: number;
    engines: Engine[];
    /** Steps that began while two ranks had different maps. */
    mixed: number[];
    isIdle: boolean;
}

const orderHandlers: {
    [K in RankOrder["kind"]]: (group: Group, engine: Engine, order: Extract<RankOrder, { kind: K; }>) => boolean;
} = {
    prepare: (group, engine, { version }) => {
        if (engine.prepared === version) {
            return true;
        }
        if (version <= engine.highest || engine.armed !== undefined) {
            return false;
        }
        engine.highest = version;
        engine.prepared = version;
        return true;
    },
    arm: (group, engine, { version, step }) => {
        if (engine.armed?.version === version && engine.armed.step === step) {
            return true;
        }
        if (engine.prepared !== version || step <= group.step || engine.armed !== undefined) {
            return false;
        }
        engine.armed = { version, step };
        return true;
    },
    disarm: (group, engine, { version }) => {
        if (engine.mapVersion === version) {
            return false;
        }
        engine.armed = engine.armed?.version === version ? undefined : engine.armed;
        return true;
    },
    hold: (group, engine, { step }) => {
        if (engine.held === step) {
            return true;
        }
        if (engine.held !== undefined || step <= group.step) {
            return false;
        }
        engine.held = step;
        return true;
    },
    go: (group, engine, { step }) => {
        if (engine.held === step) {
            engine.held = undefined;
        }
        return true;
    },
};

function beginStep(group: Group): void {
    const next = group.step + 1;
    if (group.isIdle || group.engines.some(({ held }) => held !== undefined && held <= next)) {
        return;
    }
    group.step = next;
    for (const engine of group.engines) {
        if (engine.armed?.step === next) {
            engine.mapVersion = engine.armed.version;
            engine.armed = undefined;
        }
    }
    if (new Set(group.engines.map(({ mapVersion }) => mapVersion)).size > 1) {
        group.mixed.push(next);
    }
}

function readReport(group: Group, rank: number): RankReport {
    const { mapVersion, prepared, armed, held } = group.engines[rank];
    return {
        epoch: 1,
        rank,
        size: ranks,
        isOpen: true,
        step: group.step,
        mapVersion,
        preparedVersion: prepared,
        armed: armed && { ...armed },
        heldStep: held,
        running: 1,
        queued: 0,
        memoryShare: 0,
        pace: 1,
    };
}

/** A process that may lead; it stands beside the rank of the same number. */
interface SimulatedLeader {
    rank: number;
    rollout: RolloutState;
    reports: Map<number, TimestampedReport>;
    frozenUntil: number;
    leadsFrom: number;
    lostRank: number | undefined;
}

interface Faults {
    /** Share of the orders that get no answer. */
    unanswered: number;
    /** Share of these that are carried out seconds later. */
    late: number;
    /** Whether the lead freezes right after it has given a hold. */
    freezesAfterHold: boolean;
    /** Share of the time in which the group has nothing to do. */
    idleShare: number;
}

type Decide = typeof decideOrders;

/** Plays one schedule; returns the group, the changes made and the longest time that it was held. */
function simulateSchedule(seed: number, faults: Faults, decide: Decide = decideOrders) {
    const random = createRandom(seed);
    const group: Group = {
        step: 0,
        engines: Array.from({ length: ranks }, () => ({ mapVersion: 0, highest: 0 })),
        mixed: [],
        isIdle: false,
    };
    const leaders = [1, 2].map((rank): SimulatedLeader => ({
        rank,
        rollout: createRollout(),
        reports: new Map(),
        frozenUntil: 0,
        leadsFrom: rank === 1 ? 0 : Infinity,
        lostRank: undefined,
    }));
    const events: { at: number; run: (now: number) => void; }[] = [];
    let versions = 0;
    let heldSince: number | undefined;
    let longestHold = 0;
    const holds: number[] = [];
    let freezeCount = 0;
    const schedule = (at: number, run: (now: number) => void) => events.push({ at, run });
    const isFrozen = (rank: number, now: number) => leaders.some(lead => lead.rank === rank && lead.frozenUntil > now);

    const deliver = (lead: SimulatedLeader, { rank, order }: AddressedOrder, now: number) => {
        const isDirect = order.kind === "hold" || order.kind === "go";
        const scheduleResult = (outcome: OrderOutcome | undefined, at: number) =>
            schedule(at, time => {
                if (lead.frozenUntil > time) {
                    return;
                }
                recordOrderResult(lead.rollout, rank, order.kind, outcome);
                if (outcome !== undefined) {
                    lead.reports.set(rank, { ...readReport(group, rank), at: time });
                }
                run(lead, time);
            });
        const arrivesAt = now + 1 + random.next() * 8;
        if (order.kind === "read") {
            scheduleResult(isFrozen(rank, arrivesAt) ? undefined : OrderOutcome.accepted, arrivesAt + 2);
            return;
        }
        const executeOrder = () => orderHandlers[order.kind](group, group.engines[rank], order as never);
        if (random.next() < faults.unanswered) {
            const isLate = random.next() < faults.late;
            schedule(isLate ? now + 2000 + random.next() * 10_000 : arrivesAt, executeOrder);
            scheduleResult(OrderOutcome.unanswered, now + rankOrderTimeoutMs);
            return;
        }
        schedule(arrivesAt, time => {
            // A frozen machine does not take orders for its rank, from nobody.
            if (isFrozen(rank, time)) {
                scheduleResult(undefined, time + 350);
                return;
            }
            const outcome = executeOrder() ? OrderOutcome.accepted : OrderOutcome.refused;
            // Only two processes are played; of a real group's many, one is always there to take over.
            const mayFreeze = faults.freezesAfterHold && freezeCount < 3 && leaders.every(one => one.frozenUntil <= time);
            if (order.kind === "hold" && mayFreeze && outcome === OrderOutcome.accepted) {
                freezeCount += 1;
                lead.frozenUntil = time + 4000;
                return;
            }
            scheduleResult(outcome, time + (isDirect ? 1 : 2));
        });
    };
    const run = (lead: SimulatedLeader, now: number) => {
        if (lead.frozenUntil > now || now < lead.leadsFrom) {
            return;
        }
        const reports = [...lead.reports.values()].sort((a, b) => a.rank - b.rank);
        const fresh = reports.filter(({ rank, at }) => rank !== lead.lostRank || now - at < 400);
        if (fresh.length === ranks && isRolloutIdle(lead.rollout, fresh) && random.next() < 0.3) {
            versions += 1;
            const version = createVersion(fresh, lead.rank, random.next());
            lead.rollout.plan = { version, epoch: 1, plan: [] };
        }
        decide(lead.rollout, fresh, {
            ownRank: lead.rank,
            lostRank: lead.lostRank,
            random: random.next(),
            loadedPlan: [],
        }, now)
            .forEach(order => deliver(lead, order, now));
    };
    for (let now = 0; now < runMs; now++) {
        if (now % passMs === 0) {
            group.isIdle = random.next() < faults.idleShare;
            beginStep(group);
        }
        for (let rank = 0; rank < ranks; rank++) {
            // Slots read their ranks at times of their own, and some of what they tell is lost.
            if (now % reportMs === rank * 37 % reportMs && !isFrozen(rank, now) && random.next() > 0.2) {
                const report = readReport(group, rank);
                schedule(now + 1 + random.next() * 30, time =>
                    leaders.forEach(lead => {
                        if (lead.frozenUntil <= time && (lead.reports.get(rank)?.at ?? -1) < now) {
                            lead.reports.set(rank, { ...report, at: now });
                        }
                    }));
            }
        }
        // The other process leads once the first has been silent for 600 ms, and stops when it is back.
        const [first, second] = leaders;
        const isSecondSilent = second.frozenUntil > now && second.frozenUntil - now < 3400;
        first.lostRank = isSecondSilent ? second.rank : undefined;
        const isFirstSilent = first.frozenUntil > now && first.frozenUntil - now < 3400;
        if (isFirstSilent && second.leadsFrom === Infinity) {
            second.leadsFrom = now;
            second.lostRank = first.rank;
        }
        if (first.frozenUntil <= now && second.leadsFrom < Infinity && now % 1000 === 0) {
            second.leadsFrom = Infinity;
            second.lostRank = undefined;
        }
        if (now % 50 === 0) {
            leaders.forEach(lead => run(lead, now));
        }
        const due = events.filter(({ at }) => at <= now);
        due.forEach(event => events.splice(events.indexOf(event), 1));
        due.forEach(event => event.run(now));
        const isHeld = !group.isIdle && group.engines.some(({ held }) => held !== undefined && held <= group.step + 1);
        if (!isHeld && heldSince !== undefined) {
            holds.push(now - heldSince);
        }
        heldSince = isHeld ? heldSince ?? now : undefined;
        longestHold = Math.max(longestHold, heldSince === undefined ? 0 : now - heldSince);
    }
    return {
        mixed: group.mixed,
        changes: new Set(group.engines.map(({ mapVersion }) => mapVersion)),
        versions,
        longestHold,
        holds,
    };
}

const noFaults: Faults = { unanswered: 0, late: 0, freezesAfterHold: false, idleShare: 0 };

function simulateSchedules(seeds: number, faults: Faults, decide?: Decide) {
    const results = Array.from({ length: seeds }, (ignored, seed) => simulateSchedule(seed + 1, faults, decide));
    return {
        mixed: results.filter(({ mixed }) => mixed.length > 0).length,
        longestHold: Math.max(...results.map(({ longestHold }) => longestHold)),
        versions: results.reduce((sum, { versions }) => sum + versions, 0),
    };
}

describe("changes of the map", () => {
    test.each<[string, Faults, number]>([
        // Holds end before anyone waits for them.
        ["no faults", noFaults, 100],
        ["orders without answers", { ...noFaults, unanswered: 0.3 }, 4000],
        ["orders carried out seconds later", { ...noFaults, unanswered: 0.3, late: 0.7 }, 8000],
        // Callers leave a stream after two seconds.
        ["a lead that freezes after its hold", { ...noFaults, freezesAfterHold: true }, 2000],
        ["all of these, on a group that is often idle", {
            unanswered: 0.2,
            late: 0.5,
            freezesAfterHold: true,
            idleShare: 0.3,
        }, 10_000],
        ["all of these, on a group that is mostly idle", {
            unanswered: 0.3,
            late: 0.7,
            freezesAfterHold: true,
            idleShare: 0.8,
        }, 10_000],
        ["all of these, on a busy group", { unanswered: 0.3, late: 0.7, freezesAfterHold: true, idleShare: 0 }, 10_000],
    ])("leave no step on two maps with %s", (title, faults, maxHoldMs) => {
        const { mixed, longestHold, versions } = simulateSchedules(seeds, faults);
        expect(mixed).toBe(0);
        expect(versions).toBeGreaterThan(seeds);
        expect(longestHold).toBeLessThan(maxHoldMs);
    });

    test("seldom pause a stream for longer than callers accept when one order in twenty gets no answer", () => {
        const faults = { ...noFaults, unanswered: 0.05, late: 0.5 };
        const results = Array.from({ length: 25 }, (ignored, seed) => simulateSchedule(seed + 1, faults));
        const changes = results.reduce((sum, { versions }) => sum + versions, 0);
        // Callers accept 120 ms between two events, of which a pass takes half.
        const pauses = results.flatMap(({ holds }) => holds).filter(ms => ms > 120 - passMs);
        expect(pauses.length / changes).toBeLessThan(0.1);
    });

    test.each<[string, Decide]>([
        ["goes on before all ranks are armed", (state, reports, owner, now) => {
            const orders = decideOrders(state, reports, owner, now);
            const holder = reports.find(({ heldStep }) => heldStep !== undefined);
            return holder === undefined ? orders : [
                ...orders,
                { rank: holder.rank, epoch: 1, order: { kind: "go", step: holder.heldStep! } },
            ];
        }],
        [
            "arms without a hold",
            (state, reports, owner, now) =>
                decideOrders(state, reports, owner, now).flatMap(({ rank, epoch, order }): AddressedOrder[] =>
                    order.kind !== "hold" ? [{ rank, epoch, order }] : reports.map(report => ({
                        rank: report.rank,
                        epoch,
                        order: { kind: "arm", version: state.plan!.version, step: order.step },
                    }))
                ),
        ],
    ])("mix maps when the lead %s", (title, decide) => {
        const faults = { ...noFaults, unanswered: 0.3, late: 0.7 };
        expect(simulateSchedules(25, faults, decide).mixed).toBeGreaterThan(0);
    });
});

test("a version of one process is never one of another or of an earlier life", () => {
    const report = { mapVersion: 5000, preparedVersion: 7171 } as TimestampedReport;
    const random: Random = createRandom(1);
    const versions = Array.from({ length: 50 }, (ignored, rank) => createVersion([report], rank, random.next()));
    expect(new Set(versions.map(version => version % 1024)).size).toBe(50);
    expect(Math.min(...versions)).toBeGreaterThan(7171);
});
