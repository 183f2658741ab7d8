import { afterEach, beforeEach, describe, expect, test, vi } from "vitest";
import type { ServingDocument } from "../../config/serving.js";
import { createFeed, type FeedBatch, type FeedOptions, type FeedSource, FeedTopic } from "../feed.js";
import { listUpstreams, type MirrorDecoders } from "../mirror.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

const decoders: MirrorDecoders<ServingDocument> = {
    decodeDocument: text =>
        ({ revision: Number(text), routes: [], pools: [], limits: {} }) as unknown as ServingDocument,
    getRevision: ({ revision }) => revision,
    decodeUpstream: id => ({ id, pool: "p", host: id, port: 1, dataCentre: "a", isLeaving: false }),
};

const logger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };

/** Creates a log with one document whose revision is its offset; reads wait for new records. */
function createLog() {
    const log = { end: 1, isDown: false, reads: 0, hasDropped: false };
    const readAll = (): FeedBatch => ({
        records: [{ key: "config", offset: log.end - 1, value: String(log.end - 1) }],
        end: log.end,
        isComplete: true,
    });
    const source: FeedSource = {
        readNewest: async () => {
            log.reads += 1;
            if (log.isDown) {
                throw new Error("down");
            }
            return readAll();
        },
        read: async (topic, from, waitMs) => {
            log.reads += 1;
            for (let waited = 0; waited < waitMs && log.end <= from && !log.isDown; waited += 50) {
                await new Promise(resolve => setTimeout(resolve, 50));
            }
            if (log.isDown) {
                throw new Error("down");
            }
            if (log.hasDropped) {
                log.hasDropped = false;
                return undefined;
            }
            return log.end <= from ?
                { records: [], end: from, isComplete: false } :
                { ...readAll(), isComplete: false };
        },
    };
    return { log, source };
}

function startFeed(source: FeedSource, more: Partial<FeedOptions> = {}) {
    const revisions: number[] = [];
    const feed = createFeed({
        source,
        decoders,
        now: () => performance.now(),
        random: () => 0.5,
        logger,
        reportFault: error => {
            throw error;
        },
        fetchFromPeer: async () => undefined,
        onDocument: ({ revision }) => revisions.push(revision),
        onList: () => undefined,
        timing: { staleAfterMs: 1000, jitterMs: 0, maxCatchUpDelayMs: 250 },
        isContinuousReader: () => false,
        ...more,
    });
    feed.start();
    return { feed, revisions };
}

describe("the feed", () => {
    test("reads a document at the start and each new one while it reads all the time", async () => {
        const { log, source } = createLog();
        const { feed, revisions } = startFeed(source, { isContinuousReader: () => true });
        await vi.advanceTimersByTimeAsync(500);
        log.end = 2;
        await vi.advanceTimersByTimeAsync(500);
        log.end = 5;
        await vi.advanceTimersByTimeAsync(500);
        feed.stop();
        expect(revisions).toEqual([0, 1, 4]);
    });

    test("does not read while peers tell that nothing is new, and reads at once when they tell of news", async () => {
        const { log, source } = createLog();
        const { feed, revisions } = startFeed(source);
        await vi.advanceTimersByTimeAsync(300);
        const readsAtStart = log.reads;
        for (let i = 0; i < 20; i++) {
            await vi.advanceTimersByTimeAsync(200);
            Object.values(FeedTopic).forEach(topic => feed.recordPeerPosition(topic, 1, 100));
        }
        const readsWhileUpToDate = log.reads - readsAtStart;
        log.end = 3;
        feed.recordPeerPosition(FeedTopic.document, 3, 0);
        await vi.advanceTimersByTimeAsync(400);
        feed.stop();
        expect([readsWhileUpToDate, revisions]).toEqual([0, [0, 2]]);
    });

    test("reads a burst of news in few reads, the first of it in time", async () => {
        const { log, source } = createLog();
        const { feed, revisions } = startFeed(source, {
            timing: { staleAfterMs: 60_000, jitterMs: 0, maxCatchUpDelayMs: 2000 },
        });
        await vi.advanceTimersByTimeAsync(300);
        const readsAtStart = log.reads;
        // A new document every third of a second; with the random factor 0.5, catching up is delayed by 1000 ms.
        for (let i = 0; i < 9; i++) {
            log.end += 1;
            feed.recordPeerPosition(FeedTopic.document, log.end, 0);
            await vi.advanceTimersByTimeAsync(333);
        }
        await vi.advanceTimersByTimeAsync(1500);
        feed.stop();
        expect([log.reads - readsAtStart, revisions]).toEqual([3, [0, 4, 8, 9]]);
    });

    test("asks a peer when the log fails, and takes up the log again", async () => {
        const { log, source } = createLog();
        const requestedOffsets: number[] = [];
        const { feed, revisions } = startFeed(source, {
            isContinuousReader: () => true,
            fetchFromPeer: async documentEnd => {
                requestedOffsets.push(documentEnd);
                return { documents: [{ key: "config", offset: 6, value: "6" }], documentEnd: 7, list: [], listEnd: 0 };
            },
        });
        await vi.advanceTimersByTimeAsync(300);
        log.isDown = true;
        await vi.advanceTimersByTimeAsync(3000);
        log.isDown = false;
        log.end = 9;
        await vi.advanceTimersByTimeAsync(1500);
        feed.stop();
        expect(requestedOffsets.length).toBeGreaterThan(1);
        expect(revisions).toEqual([0, 6, 8]);
    });

    // Guards against review case 9 (DRAIN): requests to a server that is gone, for good, after a late hand-over.
    test("does not bring back an upstream that its snapshot lacked when a peer hands over an older list", async () => {
        const { feed } = startFeed({
            readNewest: async topic => {
                if (topic === FeedTopic.document) {
                    throw new Error("down");
                }
                return { records: [{ key: "kept", offset: 2, value: "live" }], end: 4, isComplete: true };
            },
            read: async (topic, from) => ({ records: [], end: from, isComplete: false }),
        }, {
            fetchFromPeer: async () => {
                await new Promise(resolve => setTimeout(resolve, 100));
                const list = ["gone", "kept"].map((key, index) => ({ key, offset: index + 1, value: "live" }));
                return { documents: [], documentEnd: 0, list, listEnd: 3 };
            },
        });
        await vi.advanceTimersByTimeAsync(3000);
        feed.stop();
        expect(listUpstreams(feed.state).map(({ id }) => id)).toEqual(["kept"]);
    });

    // Guards against requests to a server that is gone (DRAIN): the first snapshot ends after a hand-over that is newer.
    test("does not bring back an upstream that a hand-over lacked when its own snapshot arrives late", async () => {
        const { feed } = startFeed({
            readNewest: async topic => {
                if (topic === FeedTopic.document) {
                    throw new Error("down");
                }
                await new Promise(resolve => setTimeout(resolve, 400));
                const records = ["gone", "kept"].map((key, index) => ({ key, offset: index + 1, value: "live" }));
                return { records, end: 3, isComplete: true };
            },
            read: async (topic, from) => ({ records: [], end: from, isComplete: false }),
        }, {
            fetchFromPeer: async () => {
                const list = [{ key: "kept", offset: 2, value: "live" }];
                return { documents: [], documentEnd: 0, list, listEnd: 4, isListComplete: true };
            },
        });
        await vi.advanceTimersByTimeAsync(3000);
        feed.stop();
        expect(listUpstreams(feed.state).map(({ id }) => id)).toEqual(["kept"]);
    });

    test("reads the newest records when the log has dropped some", async () => {
        const { log, source } = createLog();
        const { feed, revisions } = startFeed(source, { isContinuousReader: () => true });
        await vi.advanceTimersByTimeAsync(300);
        log.hasDropped = true;
        log.end = 40;
        await vi.advanceTimersByTimeAsync(2500);
        feed.stop();
        expect(revisions).toEqual([0, 39]);
    });

    test("reads on another connection when a read is stuck while peers tell of news", async () => {
        const { log, source } = createLog();
        let isStuck = false;
        const read: FeedSource["read"] = (topic, from, waitMs) => {
            if (isStuck) {
                isStuck = false;
                return new Promise(() => undefined);
            }
            return source.read(topic, from, waitMs);
        };
        const { feed, revisions } = startFeed({ ...source, read }, { isContinuousReader: () => true });
        await vi.advanceTimersByTimeAsync(1600);
        isStuck = true;
        await vi.advanceTimersByTimeAsync(1600);
        log.end = 2;
        feed.recordPeerPosition(FeedTopic.document, 2, 0);
        await vi.advanceTimersByTimeAsync(1200);
        feed.stop();
        expect(revisions).toEqual([0, 1]);
    });

    test("does not begin a read beside one that is still receiving a large document", async () => {
        const { log, source } = createLog();
        const read: FeedSource["read"] = async (topic, from, waitMs, control) => {
            const batch = await source.read(topic, from, waitMs, control);
            for (let waited = 0; batch!.records.length > 0 && waited < 1500; waited += 100) {
                await new Promise(resolve => setTimeout(resolve, 100));
                control?.onData();
            }
            return batch;
        };
        const { feed, revisions } = startFeed({ ...source, read }, { isContinuousReader: () => true });
        await vi.advanceTimersByTimeAsync(1000);
        log.end = 2;
        const readsBefore = log.reads;
        await vi.advanceTimersByTimeAsync(200);
        feed.recordPeerPosition(FeedTopic.document, 2, 0);
        feed.recordPeerPosition(FeedTopic.list, 2, 0);
        await vi.advanceTimersByTimeAsync(1200);
        const readsBeside = log.reads - readsBefore;
        await vi.advanceTimersByTimeAsync(500);
        feed.stop();
        expect([readsBeside, revisions]).toEqual([0, [0, 1]]);
    });

    test("reads only the newest of several documents that a peer has seen", async () => {
        const { log, source } = createLog();
        const received: number[] = [];
        const { feed, revisions } = startFeed({
            readNewest: async (topic, control) => {
                const batch = await source.readNewest(topic, control);
                received.push(...(topic === FeedTopic.document ? batch.records.map(({ offset }) => offset) : []));
                return batch;
            },
            read: async (topic, from) => {
                const offsets = Array.from({ length: log.end - from }, (ignored, index) => from + index);
                received.push(...(topic === FeedTopic.document ? offsets : []));
                return {
                    records: offsets.map(offset => ({ key: "config", offset, value: String(offset) })),
                    end: log.end,
                    isComplete: false,
                };
            },
        });
        await vi.advanceTimersByTimeAsync(300);
        log.end = 4;
        feed.recordPeerPosition(FeedTopic.document, 4, 0);
        await vi.advanceTimersByTimeAsync(500);
        log.end = 5;
        feed.recordPeerPosition(FeedTopic.document, 5, 0);
        await vi.advanceTimersByTimeAsync(500);
        feed.stop();
        expect([received, revisions]).toEqual([[0, 3, 4], [0, 3, 4]]);
    });

    test("does not read at every check while the log returns an older state than a peer has seen", async () => {
        const { log, source } = createLog();
        const { feed } = startFeed(source);
        await vi.advanceTimersByTimeAsync(300);
        const readsAtStart = log.reads;
        feed.recordPeerPosition(FeedTopic.document, 4, 0);
        await vi.advanceTimersByTimeAsync(5000);
        feed.stop();
        // One read in 500 ms, and those that confirm the list.
        expect(log.reads - readsAtStart).toBeLessThanOrEqual(15);
    });

    test("waits for its backoff before it reads again while peers tell of news that a silent log does not send", async () => {
        const { source } = createLog();
        let reads = 0;
        const read: FeedSource["read"] = (topic, from, waitMs) => {
            reads += 1;
            return new Promise((resolve, reject) => setTimeout(() => reject(new Error("timed out")), waitMs + 700));
        };
        const { feed } = startFeed({ ...source, read });
        await vi.advanceTimersByTimeAsync(300);
        feed.recordPeerPosition(FeedTopic.document, 2, 0);
        await vi.advanceTimersByTimeAsync(10_000);
        feed.stop();
        // A read fails after 700 ms and the backoff reaches 750 ms: seven reads of each topic and a few early ones.
        expect(reads).toBeLessThanOrEqual(18);
    });

    test.each([true, false])(
        "reads the log within 2 s of its return, whenever that is (continuously: %s)",
        async on => {
            const delays: number[] = [];
            for (let silentMs = 4000; silentMs < 8000; silentMs += 100) {
                const { log, source } = createLog();
                let isSilent = false;
                const read: FeedSource["read"] = async (topic, from, waitMs) => {
                    if (!isSilent) {
                        return await source.read(topic, from, waitMs);
                    }
                    await new Promise(resolve => setTimeout(resolve, waitMs + 700));
                    throw new Error("timed out");
                };
                const inForceAt: number[] = [];
                const { feed } = startFeed({ ...source, read }, {
                    isContinuousReader: () => on,
                    random: () => 0.999,
                    onDocument: ({ revision }) => inForceAt[revision] = performance.now(),
                });
                await vi.advanceTimersByTimeAsync(1000);
                isSilent = true;
                await vi.advanceTimersByTimeAsync(silentMs);
                isSilent = false;
                log.end = 2;
                const returnedAt = performance.now();
                await vi.advanceTimersByTimeAsync(5000);
                feed.stop();
                delays.push((inForceAt[1] ?? Infinity) - returnedAt);
            }
            expect(Math.max(...delays)).toBeLessThanOrEqual(2000);
        },
    );
});
