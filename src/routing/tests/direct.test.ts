import { describe, expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { computeFreeCapacity, createCapacityShare, takeCredit, updateCredits } from "../capacityShare.js";
import { createGroupTracker, isGroupOpen, markGroupBroken, updateGroupState } from "../groupTracker.js";
import { createPendingQueue, listPending, type PendingRequest, removeExpired } from "../pendingQueue.js";
import { placeRequest } from "../placement.js";
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
    test.each<[string, (board: ReturnType<typeof createUpstreamTracker>) => void, string[]]>([
        ["all are idle", () => undefined, ["near-1", "near-2"]],
        ["the near ones are busier by two", board => {
            updateLoad(board, "near-1", { running: 3, waiting: 0, observedAt: 0 });
            updateLoad(board, "near-2", { running: 4, waiting: 0, observedAt: 0 });
        }, ["far"]],
        ["one is gone and one has just failed", board => {
            markReplaced(board, "near-1");
            recordFailure(board, "near-2", 0);
        }, ["far"]],
        ["none has a place", board => {
            ["near-1", "near-2", "far"].forEach(id => updateLoad(board, id, { running: 8, waiting: 1, observedAt: 0 }));
        }, ["none"]],
    ])("chooses among the right ones when %s", (title, prepare, expected) => {
        const board = createUpstreamTracker();
        setUpstreams(board, [
            createRecord("near-1"),
            createRecord("near-2"),
            createRecord("far", { dataCentre: "b" }),
            createRecord("leaving", { isLeaving: true }),
            createRecord("other", { pool: "q" }),
        ]);
        prepare(board);
        const random = createRandom(7);
        const chosen = Array.from(
            { length: 40 },
            () => placeRequest(board, options, 1, random.next)?.record.id ?? "none",
        );
        expect([...new Set(chosen)].sort()).toEqual([...expected].sort());
    });

    test("keeps requests spread when many entries see the same old figures", () => {
        const random = createRandom(3);
        const ids = Array.from({ length: 16 }, (ignored, index) => `rank-${index}`);
        const sent = new Map(ids.map(id => [id, 0]));
        // 18 entries place three requests each within one interval of the vector, which showed rank 5 idle.
        for (let entry = 0; entry < 18; entry++) {
            const board = createUpstreamTracker();
            setUpstreams(board, ids.map(id => createRecord(id)));
            ids.forEach((id, index) =>
                updateLoad(board, id, { running: index === 5 ? 0 : 3, waiting: 0, observedAt: 0 })
            );
            for (let request = 0; request < 3; request++) {
                const view = placeRequest(board, { ...options, maxRequests: 8 }, 100, random.next)!;
                recordSent(board, view.record.id, 100);
                sent.set(view.record.id, sent.get(view.record.id)! + 1);
            }
        }
        // A rank has eight slots; half as many may wait for a moment.
        expect(sent.get("rank-5")).toBeLessThanOrEqual(12);
        expect(Math.max(...[...sent.values()].filter((count, index) => index !== 5))).toBeLessThanOrEqual(9);
    });

    test("counts own requests that figures do not hold yet, and not those that ended since", () => {
        const board = createUpstreamTracker();
        setUpstreams(board, [createRecord("u")]);
        const view = board.upstreams.get("u")!;
        const endFirst = recordSent(board, "u", 10);
        recordSent(board, "u", 20);
        const estimates = [estimateRequests(view, 30)];
        updateLoad(board, "u", { running: 5, waiting: 1, observedAt: 15 });
        estimates.push(estimateRequests(view, 30));
        endFirst(40);
        estimates.push(estimateRequests(view, 41), estimateRequests(view, 5000));
        expect(estimates).toEqual([2, 7, 6, 1]);
    });

    test("forgets what it knew of an upstream that started again under its id", () => {
        const board = createUpstreamTracker();
        setUpstreams(board, [createRecord("u", { startedAt: 1 })]);
        markReplaced(board, "u");
        setUpstreams(board, [createRecord("u", { startedAt: 1 })]);
        const before = board.upstreams.get("u")!.isReplaced;
        setUpstreams(board, [createRecord("u", { startedAt: 2 })]);
        expect([before, board.upstreams.get("u")!.isReplaced]).toEqual([true, false]);
    });
});

describe("the retry budget", () => {
    test("holds over all entries when thousands of requests are refused at once, and over restarts", () => {
        const settings = { ratio: 0.2, slack: 207, windowMs: 10_000 };
        const entries = 18;
        let requests = 0;
        let repeats = 0;
        for (let entry = 0; entry < entries; entry++) {
            // Every entry restarts once within the window and forgets what it used.
            for (let life = 0; life < 2; life++) {
                const window = createWindowedRetryBudget(settings);
                for (let i = 0; i < 60; i++) {
                    recordRequest(window, i);
                    requests += 1;
                    repeats += Number(acquireRetry(window, entries, i)) + Number(acquireRetry(window, entries, i));
                }
            }
        }
        expect(repeats).toBeGreaterThan(100);
        expect(repeats).toBeLessThanOrEqual(settings.ratio * requests + settings.slack);
    });

    test("comes back as the window moves on", () => {
        const window = createWindowedRetryBudget({ ratio: 0, slack: 4, windowMs: 1000 });
        expect([0, 1, 2, 3, 1500].map(at => acquireRetry(window, 1, at))).toEqual([true, true, false, false, true]);
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
        const room = createPendingQueue();
        [
            createRequest(1, 100),
            createRequest(2, 900),
            createRequest(3, 900),
            createRequest(4, 900, 10_000, 0),
            createRequest(5, 200),
        ]
            .forEach(request => room.waiting.add(request));
        expect(listPending(room, 500).map(({ arrivalNumber: number }) => number)).toEqual([4, 3, 2, 5, 1]);
    });

    test("gives up those that cannot be served in time, and only those", () => {
        const room = createPendingQueue();
        [createRequest(1, 100, 400), createRequest(2, 100, 600)].forEach(request => room.waiting.add(request));
        expect(removeExpired(room, 500).map(({ arrivalNumber: number }) => number)).toEqual([1]);
        expect(room.waiting.size).toBe(1);
    });
});

describe("a group", () => {
    test("is broken for all once one answer tells so, until the lead tells that it runs in a new epoch", () => {
        const board = createGroupTracker();
        const steps = [
            () => undefined,
            () => updateGroupState(board, "p", { isOpen: true, epoch: 1, observedAt: 0 }),
            () => markGroupBroken(board, "p", 10),
            () => updateGroupState(board, "p", { isOpen: true, epoch: 1, observedAt: 5 }),
            () => updateGroupState(board, "p", { isOpen: false, epoch: 1, observedAt: 20 }),
            () => updateGroupState(board, "p", { isOpen: true, epoch: 2, observedAt: 30 }),
        ];
        const seen = steps.map(step => {
            step();
            return isGroupOpen(board, "p", 30);
        });
        expect(seen).toEqual([true, true, false, false, false, true]);
    });

    test("is tried again when nothing is heard of it any more", () => {
        const board = createGroupTracker();
        markGroupBroken(board, "p", 0);
        expect([isGroupOpen(board, "p", 500), isGroupOpen(board, "p", 700)]).toEqual([false, true]);
    });
});

describe("shares of free places", () => {
    /** 15 entries with many waiting requests see the same vectors; counts what they send for each free place. */
    function playVectors(hasShares: boolean): number {
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
                // Each entry has three requests waiting, which it would send while the figures show a free rank.
                for (let request = 0; request < 3; request++) {
                    sent += Number(!hasShares || takeCredit(share, vector * 200));
                }
            }
        }
        return sent / offered;
    }

    test("keep all entries together from sending much more than there are places", () => {
        expect(playVectors(false)).toBeGreaterThan(5);
        expect(playVectors(true)).toBeLessThan(1.5);
        expect(playVectors(true)).toBeGreaterThan(0.9);
    });

    test("do not bind while nothing is heard", () => {
        const share = createCapacityShare();
        expect([takeCredit(share, 0), takeCredit(share, 1)]).toEqual([true, true]);
    });

    test("count the places of a pool's ranks that stay", () => {
        const board = createUpstreamTracker();
        setUpstreams(board, [createRecord("u"), createRecord("v"), createRecord("leaving", { isLeaving: true })]);
        updateLoad(board, "u", { running: 5, waiting: 0, observedAt: 0 });
        updateLoad(board, "v", { running: 8, waiting: 3, observedAt: 0 });
        updateLoad(board, "leaving", { running: 0, waiting: 0, observedAt: 0 });
        expect(computeFreeCapacity(board, "p", 8)).toBe(3);
    });
});
