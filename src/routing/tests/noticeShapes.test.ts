/** Notices of upstreams together with rate limits, groups of ranks, the instance list, prefix affinity and many entries. */
import { describe, expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import type { InstanceRecord, LoadReport } from "../../core/types.js";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { createUpstreamRecord } from "../../standin/upstreamRecord.js";
import { hashPromptPrefix } from "../affinity.js";
import { chooseUpstream } from "../choose.js";
import { placeRequest } from "../requestPlacement.js";
import { recordLeaving, recordNoticedSend, recordPause } from "../upstreamNotices.js";
import { createUpstreamTable, updateInstances, updateReport } from "../upstreamTable.js";
import {
    createUpstreamTracker,
    estimateSendableAt,
    findRanks,
    setUpstreams,
    UpstreamAdmission,
    type UpstreamTracker,
} from "../upstreamTracker.js";

const drainMs = 2000;

function createTracker(records: UpstreamRecord[]): UpstreamTracker {
    const tracker = createUpstreamTracker();
    setUpstreams(tracker, records);
    return tracker;
}

const origin = (upstream: UpstreamRecord, at: number) => ({ upstream, requestId: "r", at });

/** Returns where a request that arrives at `now` is placed. */
function place(
    tracker: UpstreamTracker,
    now: number,
    { admissions = {}, random = () => 0 }: {
        admissions?: Record<string, UpstreamAdmission>;
        random?: () => number;
    } = {},
): string | undefined {
    const options = {
        pool: "p",
        dataCentre: "a",
        excluded: new Set<string>(),
        maxRequests: Infinity,
        getAdmission: ({ record }: { record: UpstreamRecord; }) => admissions[record.id] ?? UpstreamAdmission.unlimited,
        leaving: { receivedAt: now, drainMs },
    };
    return placeRequest(tracker, options, now, random)?.record.id;
}

describe("beside rate limits", () => {
    const [a, b] = [createUpstreamRecord("a"), createUpstreamRecord("b")];
    const { limited, permitted } = UpstreamAdmission;

    test("a permit does not lead to an upstream that pauses or leaves", () => {
        const paused = createTracker([a, b]);
        recordPause(paused.notices, origin(a, 0), 1000, 0);
        const leaving = createTracker([a, b]);
        recordLeaving(leaving.notices, origin(a, 0));
        const placed = [paused, leaving].map(tracker => place(tracker, 500, { admissions: { a: permitted } }));
        expect(placed).toEqual(["b", "b"]);
    });

    test("a request waits if one upstream pauses and the other has no permit, and takes the pause's end", () => {
        const tracker = createTracker([a, b]);
        recordPause(tracker.notices, origin(a, 0), 1000, 0);
        const placed = [500, 999, 1000].map(now => place(tracker, now, { admissions: { b: limited } }));
        expect(placed).toEqual([undefined, undefined, "a"]);
    });
});

describe("in a group of ranks", () => {
    const ranks = [0, 1, 2].map(rank => createUpstreamRecord(`rank-${rank}`, { rank }));

    test("the other ranks take the requests, and the group keeps all of its ranks", () => {
        const tracker = createTracker(ranks);
        recordPause(tracker.notices, origin(ranks[0], 0), 1000, 0);
        recordLeaving(tracker.notices, origin(ranks[1], 0));
        expect({ placed: place(tracker, 500), ranks: findRanks(tracker, "p").size }).toEqual({
            placed: "rank-2",
            ranks: 3,
        });
    });

    test("requests wait for the earliest end if all ranks pause", () => {
        const tracker = createTracker(ranks);
        ranks.forEach((rank, index) => recordPause(tracker.notices, origin(rank, 0), 3000 - index * 1000, 0));
        const sendableAt = estimateSendableAt(tracker, "p", 500, { receivedAt: 500, drainMs });
        expect({ sendableAt, placed: [999, 1000].map(now => place(tracker, now)) }).toEqual({
            sendableAt: 1000,
            placed: [undefined, "rank-2"],
        });
    });
});

describe("beside the instance list", () => {
    const [a, b] = [createUpstreamRecord("a"), createUpstreamRecord("b")];

    test("a drain by the list and a pause are both kept", () => {
        const tracker = createTracker([a, { ...b, isLeaving: true }]);
        recordPause(tracker.notices, origin(a, 0), 1000, 0);
        expect([999, 1000].map(now => place(tracker, now))).toEqual([undefined, "a"]);
    });

    test("an upstream that leaves is not taken back by a drain that the list ends", () => {
        const tracker = createTracker([a, b]);
        recordLeaving(tracker.notices, origin(a, 0));
        setUpstreams(tracker, [{ ...a, isLeaving: true }, b]);
        setUpstreams(tracker, [a, b]);
        expect(place(tracker, 10_000)).toBe("b");
    });

    test("an entry that was suspended keeps a pause that goes on, and not one that has ended meanwhile", () => {
        const tracker = createTracker([a, b]);
        recordPause(tracker.notices, origin(a, 0), 4000, 0);
        setUpstreams(tracker, [a]);
        expect([3999, 30_000].map(now => place(tracker, now))).toEqual([undefined, "a"]);
    });
});

describe("with slots in the path", () => {
    const prompt = "a prompt that many requests begin with ".repeat(40);
    const slots = ["s1", "s2", "s3"].map((instance): InstanceRecord => ({
        instance,
        role: "slot",
        dataCentre: "a",
        url: `http://${instance}`,
        state: "live",
        pool: "p",
    }));
    const report: LoadReport = {
        incarnation: "i",
        tokensInFlight: 0,
        requestsInFlight: 0,
        queued: 0,
        state: "live",
        serviceMs: 10,
    };
    const body = Buffer.from(JSON.stringify({ model: "p", messages: [{ role: "user", content: prompt }] }));
    const criteria = {
        pool: "p",
        dataCentre: "a",
        spill: "never",
        tokens: 1,
        excluded: new Set<string>(),
        prefix: hashPromptPrefix(body),
    } as const;
    const createTable = () => {
        const table = createUpstreamTable();
        updateInstances(table, slots);
        slots.forEach(({ instance }) => updateReport(table, instance, report, 0));
        return table;
    };

    test("the upstream that keeps a prompt's prefix is left out while it pauses, and preferred again after it", () => {
        const table = createTable();
        const preferred = chooseUpstream(table, criteria, 0, () => 0)!.instance;
        updateReport(table, preferred, { ...report, pauseWaitMs: 1000 }, 0);
        const chosen = [0, 999, 1000].map(now => chooseUpstream(table, criteria, now, () => 0)!.instance === preferred);
        expect(chosen).toEqual([false, false, true]);
    });

    test("the upstream whose pause ends first takes the requests that wait", () => {
        const table = createTable();
        slots.forEach(({ instance }, index) =>
            updateReport(table, instance, { ...report, pauseWaitMs: 3000 - 1000 * index }, 0)
        );
        expect(chooseUpstream(table, criteria, 10, () => 0)?.instance).toBe("s3");
    });
});

describe("before 72 entries, each of which is told by itself", () => {
    const entryCount = 72;
    const pauseMs = 4000;
    const settleMs = 500;
    const responseMs = 30;
    const requestIntervalMs = 40;
    /** Refusals of all entries together: one for each, and those under way with it. */
    const maxRefusals = 2 * entryCount;
    /** Bound of the requests in the first moment after the pauses, for which all entries return within 400 ms. */
    const firstReturnsMs = 40;
    const maxFirstReturns = entryCount / 4;
    const upstreams = [createUpstreamRecord("a"), createUpstreamRecord("b"), createUpstreamRecord("c")];

    test.each([1, 2, 3, 4, 5])("an upstream refuses each a few requests and gets none later, seed %d", seed => {
        const random = createRandom(seed).next;
        let refusals = 0;
        let late = 0;
        const returns: number[] = [];
        for (let entry = 0; entry < entryCount; entry++) {
            const tracker = createTracker(upstreams);
            let toldAt = Infinity;
            const pending: number[] = [];
            for (
                let now = random() * requestIntervalMs;
                now < pauseMs + 2000;
                now += random() * 2 * requestIntervalMs
            ) {
                for (const at of pending.splice(0, pending.filter(due => due <= now).length)) {
                    recordPause(tracker.notices, origin(upstreams[0], at), pauseMs, random());
                    toldAt = Math.min(toldAt, at);
                }
                if (place(tracker, now, { random }) !== "a") {
                    continue;
                }
                recordNoticedSend(tracker.notices, upstreams[0], now);
                if (toldAt === Infinity) {
                    refusals += 1;
                    pending.push(now + responseMs);
                }
                late += Number(now > toldAt + settleMs && now < toldAt + pauseMs);
                if (now >= toldAt + pauseMs) {
                    returns.push(now);
                }
            }
        }
        const firstReturns = returns.filter(at => at < Math.min(...returns) + firstReturnsMs).length;
        expect({
            isRefusedRarely: refusals <= maxRefusals,
            late,
            isReturnSpread: firstReturns <= maxFirstReturns,
        }).toEqual({ isRefusedRarely: true, late: 0, isReturnSpread: true });
    });
});
