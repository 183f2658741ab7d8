import fc from "fast-check";
import { describe, expect, test } from "vitest";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { createUpstreamRecord } from "../../standin/upstreamRecord.js";
import { placeRequest } from "../requestPlacement.js";
import { computePauseReturnMs } from "../retryAfter.js";
import {
    createNoticeTable,
    getAvailability,
    maxPauseMs,
    recordLeaving,
    recordNoticedSend,
    recordPause,
    updateListed,
} from "../upstreamNotices.js";
import { createUpstreamTracker, estimateSendableAt, setUpstreams } from "../upstreamTracker.js";

const a = createUpstreamRecord("a");
const b = createUpstreamRecord("b");
const origin = (upstream: UpstreamRecord, at: number) => ({ upstream, requestId: "r", at });
const drainMs = 2000;

/** Returns where a request that arrived at `receivedAt` is placed at `now`. */
function place(tracker: ReturnType<typeof createUpstreamTracker>, now: number, receivedAt = now): string | undefined {
    const options = { pool: "p", dataCentre: "a", excluded: new Set<string>(), maxRequests: Infinity };
    return placeRequest(tracker, { ...options, leaving: { receivedAt, drainMs } }, now, () => 0)?.record.id;
}

function createTracker(records: UpstreamRecord[]) {
    const tracker = createUpstreamTracker();
    setUpstreams(tracker, records);
    return tracker;
}

describe("an upstream that says that it leaves", () => {
    test("gets nothing new while others can take it, whatever the list says later", () => {
        const tracker = createTracker([a, b]);
        recordLeaving(tracker.notices, origin(a, 100));
        setUpstreams(tracker, [b]);
        setUpstreams(tracker, [{ ...a, isLeaving: false }, b]);
        expect([100, 5000, 1e6].map(now => place(tracker, now))).toEqual(["b", "b", "b"]);
    });

    test("as the last of its pool, takes what callers have sent within the drain, and the rest is refused at once", () => {
        const tracker = createTracker([a]);
        recordLeaving(tracker.notices, origin(a, 1000));
        const placed = [1000, 3000, 3001].map(receivedAt => place(tracker, 3500, receivedAt));
        const sendableAt = [3000, 3001].map(receivedAt =>
            estimateSendableAt(tracker, "p", 3500, { receivedAt, drainMs })
        );
        expect({ placed, sendableAt }).toEqual({ placed: ["a", "a", undefined], sendableAt: [3500, Infinity] });
    });

    test.each<[string, UpstreamRecord]>([
        ["the same id with a new start", { ...a, startedAt: 6 }],
        ["another address", { ...a, host: "c" }],
    ])("serves again as a new incarnation: %s", (name, record) => {
        const tracker = createTracker([a, b]);
        recordLeaving(tracker.notices, origin(a, 100));
        setUpstreams(tracker, [record]);
        expect(place(tracker, 200)).toBe("a");
    });

    test("is forgotten long after it was last listed, and not before", () => {
        const table = createNoticeTable();
        recordLeaving(table, origin(a, 0));
        updateListed(table, new Map(), 30_000);
        const kept = getAvailability(table, a, 30_000);
        updateListed(table, new Map(), 61_000);
        expect([kept, getAvailability(table, a, 61_000)]).toEqual(["leaving", "available"]);
    });
});

describe("an upstream that asks for a pause", () => {
    test("gets nothing until its end, a longer pause stands, and then requests come one by one", () => {
        const tracker = createTracker([a]);
        const { notices } = tracker;
        recordPause(notices, origin(a, 0), 4000, 0.5);
        recordPause(notices, origin(a, 1000), 500, 0.5);
        const during = [0, 1, 499, 1501, 3999, 4199].map(now => place(tracker, now));
        const after = [];
        for (let now = 4200; now < 4400; now += 10) {
            if (place(tracker, now) !== undefined) {
                recordNoticedSend(notices, a, now);
                after.push(now);
            }
        }
        expect({ during, after }).toEqual({ during: Array(6).fill(undefined), after: [4200, 4240, 4280, 4320, 4360] });
    });

    test.each([[0], [-1]])("for %f ms is not left out", pauseMs => {
        const tracker = createTracker([a]);
        expect([recordPause(tracker.notices, origin(a, 0), pauseMs, 0), place(tracker, 0)]).toEqual([false, "a"]);
    });

    test("for too long is used again after the upper bound", () => {
        const tracker = createTracker([a]);
        recordPause(tracker.notices, origin(a, 0), Infinity, 0);
        expect([place(tracker, maxPauseMs - 1), place(tracker, maxPauseMs)]).toEqual([undefined, "a"]);
    });

    test("leaves its requests to others, and they wait for the earliest if all of them pause", () => {
        const tracker = createTracker([a, b]);
        recordPause(tracker.notices, origin(a, 0), 4000, 0);
        const beside = place(tracker, 10);
        recordPause(tracker.notices, origin(b, 20), 1000, 0);
        const earliest = estimateSendableAt(tracker, "p", 30, { receivedAt: 30, drainMs });
        expect({ beside, alone: place(tracker, 30), earliest }).toEqual({
            beside: "b",
            alone: undefined,
            earliest: 1020,
        });
    });

    test("is not used before its end for any pauses, responses and random parts", () => {
        const pause = fc.record({
            at: fc.nat(5000),
            ms: fc.nat(8000),
            random: fc.double({ min: 0, max: 0.999, noNaN: true }),
        });
        fc.assert(
            fc.property(fc.array(pause, { minLength: 1, maxLength: 6 }), fc.nat(20_000), (pauses, now) => {
                const tracker = createTracker([a]);
                const past = pauses.filter(({ at }) => at <= now).sort((x, y) => x.at - y.at);
                past.forEach(({ at, ms, random }) => recordPause(tracker.notices, origin(a, at), ms, random));
                const isPaused = past.some(({ at, ms }) => now < at + ms);
                return !isPaused || place(tracker, now) === undefined;
            }),
            { seed: 5, numRuns: 1000 },
        );
    });

    test("tells its callers to return after its end, spread", () => {
        expect([0, 0.5, 1].map(random => [computePauseReturnMs(100, random), computePauseReturnMs(4000, random)]))
            .toEqual([
                [100, 4000],
                [200, 5000],
                [300, 6000],
            ]);
    });
});
