import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    addHolding,
    computeCallerBytes,
    createMemoryAccount,
    type Holding,
    HoldingStage,
    type MemoryAccount,
    removeHolding,
    setHoldingBytes,
    smallHoldingBytes,
    stalledAfterMs,
} from "../memoryAccount.js";

const mb = 1024 * 1024;
const seed = 53;

/** Adds a holding that made its last progress at `progressedAt`; returns the holdings that it displaces. */
function add(account: MemoryAccount, stage: HoldingStage, bytes: number, progressedAt: number, now = progressedAt) {
    const holding = addHolding(account, stage, progressedAt);
    return { holding, removed: setHoldingBytes(account, holding, bytes, now) };
}

describe("when the memory does not suffice", () => {
    const now = 10_000;

    test.each<[string, [HoldingStage, number, number][], number | "newcomer"]>([
        ["a body that has stalled goes before one that arrives", [["arriving", 6 * mb, now], ["arriving", mb, 0]], 1],
        ["a stalled body goes before a stalled response", [["responding", 6 * mb, 0], ["arriving", mb, 0]], 1],
        [
            "a stalled response goes before a body that arrives",
            [["arriving", 3 * mb, now], ["responding", 4 * mb, 0]],
            1,
        ],
        ["a body that arrives goes before a whole request", [["queued", 4 * mb, now], ["arriving", 3 * mb, now]], 1],
        ["the larger one of two that stalled alike goes", [["arriving", 3 * mb, 0], ["arriving", 4 * mb, 0]], 1],
        ["the longer idle one of two of a size goes", [["arriving", 3.4 * mb, 0], ["arriving", 3.4 * mb, 2000]], 0],
        ["a whole request goes before the newcomer", [["running", 3 * mb, 0], ["queued", 4 * mb, 0]], 1],
        [
            "the newcomer goes where upstreams work on the others",
            [["running", 3 * mb, 0], ["running", 4 * mb, 0]],
            "newcomer",
        ],
        ["a response that is being read stays", [["responding", 7 * mb, now]], "newcomer"],
    ])("%s", (title, held, expected) => {
        const account = createMemoryAccount(8 * mb);
        const holdings = held.map(([stage, bytes, progressedAt]) => add(account, stage, bytes, progressedAt).holding);
        const { holding, removed } = add(account, HoldingStage.queued, mb, now);
        expect(removed).toEqual([expected === "newcomer" ? holding : holdings[expected]]);
    });

    test("ordinary requests stay beside running ones that fill all that large ones may use", () => {
        const account = createMemoryAccount(16 * mb);
        const large = Array.from({ length: 20 }, () => add(account, HoldingStage.running, mb, 0));
        const kept = large.filter(({ removed }) => removed.length === 0);
        const small = Array.from({ length: 32 }, () => add(account, HoldingStage.queued, smallHoldingBytes, now));
        expect([kept.length, small.flatMap(({ removed }) => removed)]).toEqual([14, []]);
    });
});

test("callers inside the limits displace nothing: 34 bodies of 4 MB and 500 small requests on an instance of 272 MiB", () => {
    const account = createMemoryAccount(computeCallerBytes(272 * mb));
    const small = Array.from({ length: 500 }, () => add(account, HoldingStage.running, 14_000, 0));
    const bodies = Array.from({ length: 34 }, () => add(account, HoldingStage.arriving, 4_020_000, 0));
    expect([...small, ...bodies].flatMap(({ removed }) => removed)).toEqual([]);
});

type Event =
    | { kind: "add"; stage: HoldingStage; bytes: number; }
    | { kind: "grow" | "remove" | "progress"; index: number; bytes: number; }
    | { kind: "stage"; index: number; stage: HoldingStage; };

const bytesArbitrary = fc.integer({ min: 0, max: 300_000 });
const stageArbitrary = fc.constantFrom(...Object.values(HoldingStage));
const indexArbitrary = fc.nat(40);
const eventArbitrary: fc.Arbitrary<Event> = fc.oneof(
    fc.record({ kind: fc.constant("add" as const), stage: stageArbitrary, bytes: bytesArbitrary }),
    fc.record({
        kind: fc.constantFrom("grow" as const, "remove" as const, "progress" as const),
        index: indexArbitrary,
        bytes: bytesArbitrary,
    }),
    fc.record({ kind: fc.constant("stage" as const), index: indexArbitrary, stage: stageArbitrary }),
);
const scheduleArbitrary = fc.array(fc.tuple(fc.nat(400), eventArbitrary), { maxLength: 120 });

/** Plays a schedule; calls `check` after each change of a size, with the holdings that it removed. */
function play(
    schedule: [number, Event][],
    check: (account: MemoryAccount, changed: Holding, removed: Holding[], now: number, before: Holding[]) => void,
): void {
    const account = createMemoryAccount(mb);
    const holdings: Holding[] = [];
    let now = 0;
    const resize = (holding: Holding, bytes: number) => {
        const before = [...account.holdings].map(kept => ({ ...kept }));
        check(account, holding, setHoldingBytes(account, holding, bytes, now), now, before);
    };
    for (const [pauseMs, event] of schedule) {
        now += pauseMs;
        if (event.kind === "add") {
            const holding = addHolding(account, event.stage, now);
            holdings.push(holding);
            resize(holding, event.bytes);
            continue;
        }
        const holding = holdings.at(event.index % Math.max(1, holdings.length));
        if (holding === undefined) {
            continue;
        }
        const handlers = {
            grow: () => resize(holding, holding.bytes + (event as { bytes: number; }).bytes),
            remove: () => removeHolding(account, holding),
            progress: () => holding.progressedAt = now,
            stage: () => holding.stage = (event as { stage: HoldingStage; }).stage,
        };
        handlers[event.kind]();
    }
}

describe("in any schedule", () => {
    const runs = { seed, numRuns: 1000 };

    test("the account holds what its holdings hold, and never more than its limit", () => {
        fc.assert(
            fc.property(scheduleArbitrary, schedule => {
                play(schedule, account => {
                    const sum = [...account.holdings].reduce((bytes, holding) => bytes + holding.bytes, 0);
                    expect(account.usedBytes).toBe(sum);
                    expect(account.usedBytes).toBeLessThanOrEqual(account.limitBytes);
                });
            }),
            runs,
        );
    });

    test("what upstreams work on, and what its caller reads, goes only if it grows itself", () => {
        fc.assert(
            fc.property(scheduleArbitrary, schedule => {
                play(schedule, (account, changed, removed, now) => {
                    for (const holding of removed.filter(other => other !== changed)) {
                        const isRead = holding.stage === HoldingStage.responding &&
                            now - holding.progressedAt < stalledAfterMs;
                        expect(holding.stage === HoldingStage.running || isRead).toBe(false);
                    }
                });
            }),
            runs,
        );
    });

    test("no request that arrives or waits goes while a body has stalled", () => {
        fc.assert(
            fc.property(scheduleArbitrary, schedule => {
                play(schedule, (account, changed, removed, now) => {
                    const isStalled = (holding: Holding) =>
                        holding.stage === HoldingStage.arriving && now - holding.progressedAt >= stalledAfterMs;
                    const isStalledKept = [...account.holdings].some(holding =>
                        holding.bytes > 0 && isStalled(holding)
                    );
                    expect(isStalledKept && removed.some(holding => !isStalled(holding))).toBe(false);
                });
            }),
            runs,
        );
    });
});
