import { describe, expect, test } from "vitest";
import { createRandom, type Random } from "../../core/random.js";
import { OrderOutcome, rankOrderTimeoutMs } from "../rankTypes.js";
import {
    type AddressedOrder,
    createRollout,
    createVersion,
    decideOrders,
    isRolloutIdle,
    lockRank,
    recordOrderResult,
    type RolloutState,
    type TimestampedReport,
} from "../rollout.js";
import { beginStep, createGroup, executeOrder, ranks, readReport } from "./simulatedGroup.js";

const stepMs = 60;
const reportMs = 200;
const runMs = 30_000;
/** Number of simulated schedules per case. */
const seeds = 60;

/** A process that may lead; it serves the rank of the same number. */
interface SimulatedLeader {
    rank: number;
    rollout: RolloutState;
    reports: Map<number, TimestampedReport>;
    frozenUntil: number;
    leadsFrom: number;
    lostRank: number | undefined;
}

interface Faults {
    /** Share of orders without a response. */
    unanswered: number;
    /** Share of these that are executed seconds later. */
    late: number;
    /** Whether the leader freezes right after it has placed a hold. */
    freezesAfterHold: boolean;
    /** Share of steps in which the group is idle. */
    idleShare: number;
}

type Decide = typeof decideOrders;

/** Simulates one schedule; returns the mixed steps, the changes and the times for which the group was held. */
function simulateSchedule(seed: number, faults: Faults, decide: Decide = decideOrders) {
    const random = createRandom(seed);
    const group = createGroup();
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
    const isFrozen = (rank: number, now: number) =>
        leaders.some(leader => leader.rank === rank && leader.frozenUntil > now);

    const deliver = (leader: SimulatedLeader, { rank, order }: AddressedOrder, now: number) => {
        const isDirect = order.kind === "hold" || order.kind === "go";
        const scheduleResult = (outcome: OrderOutcome | undefined, at: number) =>
            schedule(at, time => {
                if (leader.frozenUntil > time) {
                    return;
                }
                recordOrderResult(leader.rollout, rank, order.kind, outcome);
                if (outcome !== undefined) {
                    leader.reports.set(rank, { ...readReport(group, rank), readAt: time });
                }
                run(leader, time);
            });
        const arrivesAt = now + 1 + random.next() * 8;
        if (order.kind === "read") {
            scheduleResult(isFrozen(rank, arrivesAt) ? undefined : OrderOutcome.accepted, arrivesAt + 2);
            return;
        }
        const execute = () => executeOrder(group, rank, order);
        if (random.next() < faults.unanswered) {
            const isLate = random.next() < faults.late;
            schedule(isLate ? now + 2000 + random.next() * 10_000 : arrivesAt, execute);
            scheduleResult(OrderOutcome.unanswered, now + rankOrderTimeoutMs);
            return;
        }
        schedule(arrivesAt, time => {
            // A frozen machine accepts no orders for its rank from any process.
            if (isFrozen(rank, time)) {
                scheduleResult(undefined, time + 350);
                return;
            }
            const outcome = execute() ? OrderOutcome.accepted : OrderOutcome.refused;
            // Only two processes are simulated, so one has to stay running; in a real group, another one takes over.
            const mayFreeze = faults.freezesAfterHold && freezeCount < 3 &&
                leaders.every(candidate => candidate.frozenUntil <= time);
            if (order.kind === "hold" && mayFreeze && outcome === OrderOutcome.accepted) {
                freezeCount += 1;
                leader.frozenUntil = time + 4000;
                return;
            }
            scheduleResult(outcome, time + (isDirect ? 1 : 2));
        });
    };
    const run = (leader: SimulatedLeader, now: number) => {
        if (leader.frozenUntil > now || now < leader.leadsFrom) {
            return;
        }
        const reports = [...leader.reports.values()].sort((a, b) => a.rank - b.rank);
        const fresh = reports.filter(({ rank, readAt }) => rank !== leader.lostRank || now - readAt < 400);
        if (fresh.length === ranks && isRolloutIdle(leader.rollout, fresh) && random.next() < 0.3) {
            versions += 1;
            const version = createVersion(fresh, leader.rank, random.next());
            leader.rollout.plan = { version, epoch: 1, plan: [] };
        }
        decide(leader.rollout, fresh, {
            ownRank: leader.rank,
            random: random.next(),
            loadedPlan: [],
        }, now)
            .forEach(order => deliver(leader, order, now));
    };
    for (let now = 0; now < runMs; now++) {
        if (now % stepMs === 0) {
            group.isIdle = random.next() < faults.idleShare;
            beginStep(group);
        }
        for (let rank = 0; rank < ranks; rank++) {
            // Slots read their ranks at different times, and some of their reports are lost.
            if (now % reportMs === rank * 37 % reportMs && !isFrozen(rank, now) && random.next() > 0.2) {
                const report = readReport(group, rank);
                schedule(now + 1 + random.next() * 30, time =>
                    leaders.forEach(leader => {
                        if (leader.frozenUntil <= time && (leader.reports.get(rank)?.readAt ?? -1) < now) {
                            leader.reports.set(rank, { ...report, readAt: now });
                        }
                    }));
            }
        }
        // The second process takes over once the first has been silent for 600 ms, until the first is back.
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
            leaders.forEach(leader => run(leader, now));
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
        // Holds end by about the time at which the held step is due.
        ["no faults", noFaults, 100],
        ["orders without answers", { ...noFaults, unanswered: 0.3 }, 4000],
        ["orders carried out seconds later", { ...noFaults, unanswered: 0.3, late: 0.7 }, 8000],
        // Callers abandon a stream after two seconds.
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
        // Callers accept 120 ms between two events, of which a step takes half.
        const pauses = results.flatMap(({ holds }) => holds).filter(ms => ms > 120 - stepMs);
        expect(pauses.length / changes).toBeLessThan(0.1);
    });

    test.each<[string, Decide]>([
        ["goes on before all ranks are armed", (state, reports, leader, now) => {
            const orders = decideOrders(state, reports, leader, now);
            const holder = reports.find(({ heldStep }) => heldStep !== undefined);
            return holder === undefined ? orders : [
                ...orders,
                { rank: holder.rank, epoch: 1, order: { kind: "go", step: holder.heldStep! } },
            ];
        }],
        [
            "arms without a hold",
            (state, reports, leader, now) =>
                decideOrders(state, reports, leader, now).flatMap(({ rank, epoch, order }): AddressedOrder[] =>
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

test("a report of an armed rank from before its switch does not release the hold of a later rollout", () => {
    const [active, prepared] = [2048 + 1, 4096 + 2];
    const group = createGroup();
    group.step = 16;
    group.engines.forEach(engine => Object.assign(engine, { mapVersion: active, prepared }));
    group.engines[lockRank].held = 20;
    const reports = group.engines.map((engine, rank) => ({ ...readReport(group, rank), readAt: 1000 }));
    reports[3] = {
        ...reports[3],
        step: 9,
        mapVersion: 0,
        preparedVersion: active,
        armed: { version: active, step: 10 },
    };
    const context = { ownRank: 1, random: 0, loadedPlan: [] };
    const orders = decideOrders(createRollout(), reports, context, 1000);
    expect(orders.filter(({ order }) => order.kind === "go")).toEqual([]);
});

test("a version of one process is never one of another or of an earlier life", () => {
    const report = { mapVersion: 5000, preparedVersion: 7171 } as TimestampedReport;
    const random: Random = createRandom(1);
    const versions = Array.from({ length: 50 }, (ignored, rank) => createVersion([report], rank, random.next()));
    expect(new Set(versions.map(version => version % 1024)).size).toBe(50);
    expect(Math.min(...versions)).toBeGreaterThan(7171);
});
