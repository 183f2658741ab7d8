/** Entries went on choosing an upstream whose figures had gone stale, as if it were idle. */
import { describe, expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { computeFreeCapacity } from "../capacityShare.js";
import { placeRequest } from "../requestPlacement.js";
import { isSilent, listSilent, recordSignOfLife } from "../upstreamSilence.js";
import {
    createUpstreamTracker,
    recordSent,
    setUpstreams,
    updateLoad,
    updateRankLoads,
    type UpstreamTracker,
} from "../upstreamTracker.js";

const pool = "p";
const rankCount = 16;
const slots = 8;
const intervalMs = 200;
const silentRank = 5;

const createRecord = (rank: number): UpstreamRecord => ({
    id: `rank-${rank}`,
    pool,
    host: `rank-${rank}`,
    port: 1,
    dataCentre: "a",
    isLeaving: false,
    rank,
});

function createGroup(count = rankCount): UpstreamTracker {
    const tracker = createUpstreamTracker();
    setUpstreams(tracker, Array.from({ length: count }, (ignored, rank) => createRecord(rank)));
    return tracker;
}

/** Applies a heartbeat of the leader at `now`; `reportedAt` is the time of the reports by rank, undefined for none. */
function report(tracker: UpstreamTracker, now: number, reportedAt: (number | undefined)[], running = 3): void {
    const loads = reportedAt.flatMap((at, rank) =>
        at === undefined ? [] : [{ rank, running, waiting: 0, ageMs: now - at }]
    );
    updateRankLoads(tracker, pool, loads, now);
}

/** Sends requests at the given rate for 3.5 s, in which one rank and its slot stand still; counts those that it gets. */
function countSentToSilent(
    requestsPerSecond: number,
    running: number,
): { silent: number; others: number; none: number; } {
    const random = createRandom(11);
    const entries = Array.from({ length: 18 }, () => createGroup());
    const counts = { silent: 0, others: 0, none: 0 };
    const stepMs = 1000 / requestsPerSecond;
    let nextReportAt = 0;
    for (let now = 0; now < 3500; now += stepMs) {
        if (now >= nextReportAt) {
            const reportedAt = Array.from({ length: rankCount }, (ignored, rank) => rank === silentRank ? 0 : now);
            entries.forEach(tracker => report(tracker, now, reportedAt, running));
            nextReportAt += intervalMs;
        }
        const tracker = entries[random.pickIndex(entries.length)];
        const options = { pool, dataCentre: "a", excluded: new Set<string>(), maxRequests: slots + 1 };
        const upstream = placeRequest(tracker, options, now, random.next);
        if (upstream === undefined) {
            counts.none += 1;
            continue;
        }
        const end = recordSent(tracker, upstream.record.id, now);
        const isSilentOne = upstream.record.rank === silentRank;
        counts[isSilentOne ? "silent" : "others"] += 1;
        if (!isSilentOne) {
            end(now + 1);
        }
    }
    return counts;
}

describe("a group of 16 ranks of which one goes silent for 3.5 s", () => {
    test.each([
        ["at a usual load", 52, 3],
        ["while the others are full", 52, 9],
    ])("gets requests there only until its silence shows, %s", (title, requestsPerSecond, running) => {
        const { silent, others, none } = countSentToSilent(requestsPerSecond, running);
        // 52 requests a second among 16 ranks, for 0.8 s.
        expect([silent <= 4, others + none > 170]).toEqual([true, true]);
    });

    test("has no free capacity there", () => {
        const tracker = createGroup(2);
        report(tracker, 0, [0, 0]);
        const before = computeFreeCapacity(tracker, pool, slots);
        report(tracker, 800, [0, 800]);
        expect([before, computeFreeCapacity(tracker, pool, slots)]).toEqual([10, 5]);
    });
});

describe("an upstream is silent", () => {
    const upstreamId = "rank-0";
    test.each<[string, (tracker: UpstreamTracker) => void, boolean]>([
        ["after three intervals without a report", tracker => report(tracker, 800, [0, 800]), true],
        ["not before", tracker => report(tracker, 600, [0, 600]), false],
        ["not while all reports have stopped", tracker => report(tracker, 3000, [0, 0]), false],
        ["not after a part of a response", tracker => {
            recordSignOfLife(tracker.upstreams.get(upstreamId)!, 500);
            report(tracker, 800, [0, 800]);
        }, false],
        ["not after a report that arrives late", tracker => {
            report(tracker, 800, [undefined, 800]);
            report(tracker, 900, [700, 800]);
        }, false],
        ["not in a pool whose responses alone have figures", tracker => {
            setUpstreams(tracker, [createRecord(0), createRecord(1)].map(record => ({ ...record, pool: "plain" })));
            updateLoad(tracker, upstreamId, { running: 0, waiting: 0, observedAt: 0 });
            updateLoad(tracker, "rank-1", { running: 0, waiting: 0, observedAt: 5000 });
        }, false],
        ["no longer once the instance list would have dropped it", tracker => report(tracker, 7000, [0, 7000]), false],
        ["not when it has just started", tracker => {
            setUpstreams(tracker, [{ ...createRecord(0), startedAt: 2 }, createRecord(1)]);
            report(tracker, 800, [undefined, 800]);
        }, false],
    ])("%s", (title, change, expected) => {
        const tracker = createGroup(2);
        report(tracker, 0, [0, 0]);
        change(tracker);
        expect(isSilent(tracker, tracker.upstreams.get(upstreamId)!)).toBe(expected);
    });

    test("not while a new leader knows of its own rank only", () => {
        const tracker = createGroup(4);
        report(tracker, 0, [0, 0, 0, 0]);
        report(tracker, 800, [undefined, 800, undefined, undefined]);
        const first = listSilent(tracker).length;
        report(tracker, 830, [undefined, 800, 700, 650]);
        expect([first, listSilent(tracker).map(({ record }) => record.id)]).toEqual([0, ["rank-0"]]);
    });

    test("and gets requests only if all others are silent, too", () => {
        const tracker = createGroup(4);
        report(tracker, 0, [0, 0, 0, 0]);
        report(tracker, 800, [0, 0, 800, 800]);
        const place = (excluded: string[], now: number) =>
            placeRequest(tracker, { pool, dataCentre: "a", excluded: new Set(excluded), maxRequests: 9 }, now, () => 0)
                ?.record.id;
        const placed = [place([], 800), place(["rank-2", "rank-3"], 800)];
        const silent = listSilent(tracker).map(({ record }) => record.id);
        setUpstreams(tracker, [createRecord(0), createRecord(1)]);
        expect({ placed, silent, amongSilent: place([], 900) }).toEqual({
            placed: ["rank-2", undefined],
            silent: ["rank-0", "rank-1"],
            amongSilent: "rank-0",
        });
    });
});
