import { describe, expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { computeFreeCapacity, createCapacityShare, takeCredit, updateCredits } from "../capacityShare.js";
import { createGroupTracker, estimateOpenAt, isGroupOpen, markGroupBroken, updateGroupState } from "../groupTracker.js";
import { createPendingQueue, listPending, type PendingRequest, removeExpired } from "../pendingQueue.js";
import { placeRequest } from "../requestPlacement.js";
import {
    createUpstreamTracker,
    estimateRequests,
    markReplaced,
    recordFailure,
    recordSent,
    setUpstreams,
    updateLoad,
} from "../upstreamTracker.js";
import { acquireRetry, createWindowedRetryBudget, recordRequest } from "../windowedRetryBudget.js";

const createRecord = (id: string, more: Partial<UpstreamRecord> = {}): UpstreamRecord => ({
    id,
    pool: "p",
    host: id,
    port: 1,
    dataCentre: "a",
    isLeaving: false,
    ...more,
});

const options = { pool: "p", dataCentre: "a", excluded: new Set<string>(), maxRequests: 9 };

describe("placing", () => {
    test.each<[string, (tracker: ReturnType<typeof createUpstreamTracker>) => void, string[]]>([
        ["all are idle", () => undefined, ["near-1", "near-2"]],
        ["the near ones are busier by two", tracker => {
            updateLoad(tracker, "near-1", { running: 3, waiting: 0, observedAt: 0 });
            updateLoad(tracker, "near-2", { running: 4, waiting: 0, observedAt: 0 });
        }, ["far"]],
        ["one is gone and one has just failed", tracker => {
            markReplaced(tracker, "near-1");
            recordFailure(tracker, "near-2", 0);
        }, ["far"]],
        ["none has a place", tracker => {
            ["near-1", "near-2", "far"].forEach(id =>
                updateLoad(tracker, id, { running: 8, waiting: 1, observedAt: 0 })
            );
        }, ["none"]],
    ])("chooses among the right ones when %s", (title, prepare, expected) => {
        const tracker = createUpstreamTracker();
        setUpstreams(tracker, [
            createRecord("near-1"),
            createRecord("near-2"),
            createRecord("far", { dataCentre: "b" }),
            createRecord("leaving", { isLeaving: true }),
            createRecord("other", { pool: "q" }),
        ]);
        prepare(tracker);
        const random = createRandom(7);
        const chosen = Array.from(
            { length: 40 },
            () => placeRequest(tracker, options, 1, random.next)?.record.id ?? "none",
        );
        expect([...new Set(chosen)].sort()).toEqual([...expected].sort());
    });

    test("keeps requests spread when many entries see the same old figures", () => {
        const random = createRandom(3);
        const ids = Array.from({ length: 16 }, (ignored, index) => `rank-${index}`);
        const sent = new Map(ids.map(id => [id, 0]));
        // 18 entries each place three requests between two heartbeats of the leader, which reported rank 5 as idle.
        for (let entry = 0; entry < 18; entry++) {
            const tracker = createUpstreamTracker();
            setUpstreams(tracker, ids.map(id => createRecord(id)));
            ids.forEach((id, index) =>
                updateLoad(tracker, id, { running: index === 5 ? 0 : 3, waiting: 0, observedAt: 0 })
            );
            for (let request = 0; request < 3; request++) {
                const upstream = placeRequest(tracker, { ...options, maxRequests: 8 }, 100, random.next)!;
                recordSent(tracker, upstream.record.id, 100);
                sent.set(upstream.record.id, sent.get(upstream.record.id)! + 1);
            }
        }
        // A rank runs eight requests at once; half as many may be queued there for a short time.
        expect(sent.get("rank-5")).toBeLessThanOrEqual(12);
        expect(Math.max(...[...sent.values()].filter((count, index) => index !== 5))).toBeLessThanOrEqual(9);
    });

    test("counts own requests that figures do not hold yet, and not those that ended since", () => {
        const tracker = createUpstreamTracker();
        setUpstreams(tracker, [createRecord("u")]);
        const upstream = tracker.upstreams.get("u")!;
        const recordFirstEnd = recordSent(tracker, "u", 10);
        recordSent(tracker, "u", 20);
        const estimates = [estimateRequests(upstream, 30)];
        updateLoad(tracker, "u", { running: 5, waiting: 1, observedAt: 15 });
        estimates.push(estimateRequests(upstream, 30));
        recordFirstEnd(40);
        estimates.push(estimateRequests(upstream, 41), estimateRequests(upstream, 5000));
        expect(estimates).toEqual([2, 7, 6, 1]);
    });

    test("forgets what it knew of an upstream that started again under its id", () => {
        const tracker = createUpstreamTracker();
        setUpstreams(tracker, [createRecord("u", { startedAt: 1 })]);
        markReplaced(tracker, "u");
        setUpstreams(tracker, [createRecord("u", { startedAt: 1 })]);
        const before = tracker.upstreams.get("u")!.isReplaced;
        setUpstreams(tracker, [createRecord("u", { startedAt: 2 })]);
        expect([before, tracker.upstreams.get("u")!.isReplaced]).toEqual([true, false]);
    });
});

describe("the retry budget", () => {
    test("holds over all entries when thousands of requests are refused at once, and over restarts", () => {
        const settings = { ratio: 0.2, slack: 207, windowMs: 10_000 };
        const entries = 18;
        let requests = 0;
        let retries = 0;
        for (let entry = 0; entry < entries; entry++) {
            // Every entry restarts once within the window and forgets the retries that it made.
            for (let incarnation = 0; incarnation < 2; incarnation++) {
                const budget = createWindowedRetryBudget(settings);
                for (let i = 0; i < 60; i++) {
                    recordRequest(budget, i);
                    requests += 1;
                    retries += Number(acquireRetry(budget, entries, i)) + Number(acquireRetry(budget, entries, i));
                }
            }
        }
        expect(retries).toBeGreaterThan(100);
        expect(retries).toBeLessThanOrEqual(settings.ratio * requests + settings.slack);
    });

    test("comes back as the window moves on", () => {
        const budget = createWindowedRetryBudget({ ratio: 0, slack: 4, windowMs: 1000 });
        expect([0, 1, 2, 3, 1500].map(at => acquireRetry(budget, 1, at))).toEqual([true, true, false, false, true]);
    });
});

describe("the waiting room", () => {
    const createRequest = (number: number, targetAt: number, latestAt = 10_000, urgency = 1): PendingRequest => ({
        arrivalNumber: number,
        urgency,
        targetAt,
        latestSendAt: latestAt,
    });

    test("lets those go first whose target can be met, by urgency, the younger before the older", () => {
        const queue = createPendingQueue();
        [
            createRequest(1, 100),
            createRequest(2, 900),
            createRequest(3, 900),
            createRequest(4, 900, 10_000, 0),
            createRequest(5, 200),
        ]
            .forEach(request => queue.waiting.add(request));
        expect(listPending(queue, 500).map(({ arrivalNumber }) => arrivalNumber)).toEqual([4, 3, 2, 5, 1]);
    });

    test("gives up those that cannot be served in time, and only those", () => {
        const queue = createPendingQueue();
        [createRequest(1, 100, 400), createRequest(2, 100, 600)].forEach(request => queue.waiting.add(request));
        expect(removeExpired(queue, 500).map(({ arrivalNumber }) => arrivalNumber)).toEqual([1]);
        expect(queue.waiting.size).toBe(1);
    });
});

describe("a group", () => {
    test("is broken for all once one answer tells so, until the lead tells that it runs in a new epoch", () => {
        const tracker = createGroupTracker();
        const steps = [
            () => undefined,
            () => updateGroupState(tracker, "p", { isOpen: true, epoch: 1, observedAt: 0 }),
            () => markGroupBroken(tracker, "p", 10),
            () => updateGroupState(tracker, "p", { isOpen: true, epoch: 1, observedAt: 5 }),
            () => updateGroupState(tracker, "p", { isOpen: false, epoch: 1, observedAt: 20 }),
            () => updateGroupState(tracker, "p", { isOpen: true, epoch: 2, observedAt: 30 }),
        ];
        const seen = steps.map(step => {
            step();
            return isGroupOpen(tracker, "p", 30);
        });
        expect(seen).toEqual([true, true, false, false, false, true]);
    });

    test("is expected to open after the shortest of its latest outages, unless it was never seen to open", () => {
        const tracker = createGroupTracker();
        const play = (from: number, until: number, epoch: number) => {
            updateGroupState(tracker, "p", { isOpen: false, epoch, observedAt: from });
            updateGroupState(tracker, "p", { isOpen: true, epoch: epoch + 1, observedAt: until });
        };
        updateGroupState(tracker, "p", { isOpen: false, epoch: 0, observedAt: 0 });
        const seen = [estimateOpenAt(tracker, "p", 100)];
        play(100, 9000, 1);
        play(10_000, 13_200, 2);
        play(20_000, 23_000, 3);
        play(30_000, 33_500, 4);
        seen.push(estimateOpenAt(tracker, "p", 34_000));
        updateGroupState(tracker, "p", { isOpen: false, epoch: 5, observedAt: 40_000 });
        seen.push(estimateOpenAt(tracker, "p", 40_100));
        updateGroupState(tracker, "p", { isOpen: false, epoch: 5, observedAt: 43_400 });
        seen.push(estimateOpenAt(tracker, "p", 43_400));
        expect(seen).toEqual([undefined, undefined, 43_000, undefined]);
    });

    test("is tried again when nothing is heard of it any more", () => {
        const tracker = createGroupTracker();
        markGroupBroken(tracker, "p", 0);
        expect([isGroupOpen(tracker, "p", 500), isGroupOpen(tracker, "p", 700)]).toEqual([false, true]);
    });
});

describe("shares of free places", () => {
    /**
     * Computes how many requests 15 entries with long queues send per unit of free capacity when they see the same
     * reported loads.
     */
    function computeSentPerFree(usesShares: boolean): number {
        const random = createRandom(5);
        const entries = 15;
        const shares = Array.from({ length: entries }, () => createCapacityShare());
        let offered = 0;
        let sent = 0;
        for (let vector = 0; vector < 50; vector++) {
            const free = 1 + random.pickIndex(6);
            offered += free;
            for (const share of shares) {
                updateCredits(share, free, entries, vector * 200, random.next());
                // Each entry has three queued requests and sends them as long as the loads show a free rank.
                for (let request = 0; request < 3; request++) {
                    sent += Number(!usesShares || takeCredit(share, vector * 200));
                }
            }
        }
        return sent / offered;
    }

    test("keep all entries together from sending much more than there are places", () => {
        expect(computeSentPerFree(false)).toBeGreaterThan(5);
        expect(computeSentPerFree(true)).toBeLessThan(1.5);
        expect(computeSentPerFree(true)).toBeGreaterThan(0.9);
    });

    test("do not bind while nothing is heard", () => {
        const share = createCapacityShare();
        expect([takeCredit(share, 0), takeCredit(share, 1)]).toEqual([true, true]);
    });

    test("count the places of a pool's ranks that stay", () => {
        const tracker = createUpstreamTracker();
        setUpstreams(tracker, [createRecord("u"), createRecord("v"), createRecord("leaving", { isLeaving: true })]);
        updateLoad(tracker, "u", { running: 5, waiting: 0, observedAt: 0 });
        updateLoad(tracker, "v", { running: 8, waiting: 3, observedAt: 0 });
        updateLoad(tracker, "leaving", { running: 0, waiting: 0, observedAt: 0 });
        expect(computeFreeCapacity(tracker, "p", 8)).toBe(3);
    });
});
