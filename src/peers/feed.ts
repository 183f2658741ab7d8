/** Keeps a mirror of the operators' document and the instance list up to date: from the log, or from peers. */
import type { ServingDocument } from "../config/serving.js";
import type { Logger } from "../observe/logger.js";
import {
    applyDocumentRecords,
    applyListRecords,
    createMirror,
    type MirrorDecoders,
    type MirrorRecord,
    type MirrorState,
    recordLogFailure,
    removeExpiredUpstreams,
    replaceList,
} from "./mirror.js";

export const FeedTopic = { document: "document", list: "list" } as const;
export type FeedTopic = (typeof FeedTopic)[keyof typeof FeedTopic];

export interface FeedBatch {
    records: MirrorRecord[];
    /** Offset to go on from. */
    end: number;
    /** Whether `records` holds the newest record of every key. */
    isComplete: boolean;
}

/** The log, as far as the feed needs it. */
export interface FeedSource {
    readNewest: (topic: FeedTopic) => Promise<FeedBatch>;
    /** Reads from an offset, waiting for a record; undefined when records after the offset have been dropped. */
    read: (topic: FeedTopic, from: number, waitMs: number) => Promise<FeedBatch | undefined>;
}

export interface FeedOptions {
    source: FeedSource;
    decoders: MirrorDecoders<ServingDocument>;
    now: () => number;
    random: () => number;
    logger: Logger;
    /** Fetches records from a peer after the log has failed; resolves without a result when none answers. */
    fetchFromPeer: (documentEnd: number, listEnd: number) => Promise<PeerRecords | undefined>;
    onDocument: (document: ServingDocument) => void;
    onList: () => void;
    timing: FeedTiming;
    /** Whether this process reads the log all the time, so that the others need not. */
    isContinuousReader: () => boolean;
}

export interface FeedTiming {
    /** Age of the newest knowledge at which this process reads the log itself, in milliseconds. */
    staleAfterMs: number;
    /** Time added to it at random, so that few processes read at once, in milliseconds. */
    jitterMs: number;
    /** Longest time until news that a peer told of is read, in milliseconds; several records come in one read. */
    maxCatchUpDelayMs: number;
}

/** What a peer hands over. */
export interface PeerRecords {
    documents: MirrorRecord[];
    documentEnd: number;
    list: MirrorRecord[];
    listEnd: number;
}

export interface Feed {
    state: MirrorState<ServingDocument>;
    /** Time at which a topic was last known to be current, in milliseconds. */
    getVerifiedAt: (topic: FeedTopic) => number;
    start: () => void;
    stop: () => void;
    /** Takes in how far a peer's mirror is, and the age of that knowledge in milliseconds. */
    recordPeerPosition: (topic: FeedTopic, end: number, ageMs: number) => void;
}

/** Time for which a read waits for news, in milliseconds; a connection gone silent is noticed soon after. */
const longPollMs = 1500;
/** Delays after failed reads, in milliseconds; the letter wants news within two seconds of the log's return. */
const minRetryMs = 150;
const maxRetryMs = 1000;
/** Time after which a read that has not brought known news counts as stuck, in milliseconds. */
const stuckReadMs = 400;
/** Time between two checks whether something is due, in milliseconds. */
const checkIntervalMs = 100;

interface TopicState {
    end: number | undefined;
    isReading: boolean;
    failures: number;
    retryAt: number;
    /** Random part of the time until the next read. */
    jitter: number;
    /** Highest offset that a peer has told of. */
    peerEnd: number;
    /** Time at which news that a peer told of is read, in milliseconds. */
    catchUpAt: number;
    /** Time at which the read under way began, in milliseconds. */
    readStartedAt: number;
}

/** Creates a feed that knows nothing. */
export function createFeed(options: FeedOptions): Feed {
    const { source, decoders, now, random, logger, timing } = options;
    const state = createMirror<ServingDocument>();
    const freshAt: Record<FeedTopic, number> = { document: -Infinity, list: -Infinity };
    const createTopic = (): TopicState => ({
        end: undefined,
        isReading: false,
        failures: 0,
        retryAt: 0,
        jitter: random(),
        peerEnd: 0,
        catchUpAt: 0,
        readStartedAt: 0,
    });
    const topics: Record<FeedTopic, TopicState> = { document: createTopic(), list: createTopic() };
    let timer: NodeJS.Timeout | undefined;
    let isAsking = false;

    const applySlice = (topic: FeedTopic, slice: FeedBatch) => {
        if (topic === FeedTopic.document) {
            if (applyDocumentRecords(state, slice.records, slice.end, decoders)) {
                logger.info("A document is in force.", { revision: state.document!.revision, offset: slice.end });
                options.onDocument(state.document!);
            }
            return;
        }
        const apply = slice.isComplete ? replaceList : applyListRecords;
        if (apply(state, slice.records, slice.end, decoders, now())) {
            const changed = slice.records.slice(0, 8).map(({ key, value }) => ({
                upstream: key,
                isGone: value === undefined,
            }));
            logger.info("The instance list changed.", { changed, records: slice.records.length, offset: slice.end });
            options.onList();
        }
    };
    const read = async (topic: FeedTopic) => {
        const place = topics[topic];
        const isNews = place.end !== undefined && place.peerEnd > place.end;
        const startedAt = now();
        const slice = place.end === undefined ?
            await source.readNewest(topic) :
            await source.read(topic, place.end, isNews ? 0 : longPollMs);
        if (slice === undefined) {
            logger.warn("The log has dropped records; reading the newest ones.", { topic, from: place.end });
            place.end = undefined;
            return;
        }
        const hasNews = slice.records.length > 0;
        place.end = Math.max(place.end ?? 0, slice.end);
        freshAt[topic] = Math.max(freshAt[topic], hasNews ? startedAt : now());
        place.jitter = random();
        applySlice(topic, slice);
    };
    const runRead = (topic: FeedTopic) => {
        const place = topics[topic];
        place.isReading = true;
        place.readStartedAt = now();
        read(topic).then(() => {
            if (place.failures > 0) {
                logger.info("The log answers again.", { topic, failures: place.failures });
            }
            place.failures = 0;
        }).catch((error: Error) => {
            place.failures += 1;
            place.retryAt = now() + Math.min(maxRetryMs, minRetryMs * 2 ** place.failures) * (0.5 + random() / 2);
            recordLogFailure(state, now());
            if (place.failures === 1) {
                logger.warn("Reading the log failed.", { topic, error: error.message });
            }
            return askPeer();
        }).finally(() => {
            place.isReading = false;
        });
    };
    const askPeer = async () => {
        if (isAsking) {
            return;
        }
        isAsking = true;
        const records = await options.fetchFromPeer(state.documentEnd, state.listEnd).catch((error: Error) => {
            logger.warn("No peer handed over records.", { error: error.message });
            return undefined;
        });
        isAsking = false;
        if (records !== undefined) {
            mergePeerRecords(records);
        }
    };
    const mergePeerRecords = (records: PeerRecords) => {
        applySlice(FeedTopic.document, { records: records.documents, end: records.documentEnd, isComplete: false });
        applySlice(FeedTopic.list, { records: records.list, end: records.listEnd, isComplete: false });
        topics.document.end = Math.max(topics.document.end ?? 0, records.documentEnd);
        topics.list.end = Math.max(topics.list.end ?? 0, records.listEnd);
    };
    const tick = () => {
        const time = now();
        for (const topic of Object.values(FeedTopic)) {
            const place = topics[topic];
            const isStale = options.isContinuousReader() ||
                time - freshAt[topic] > timing.staleAfterMs + place.jitter * timing.jitterMs;
            const hasNews = place.peerEnd > (place.end ?? 0) && time >= place.catchUpAt;
            const isOverdue = hasNews && time - Math.max(place.catchUpAt, place.readStartedAt) > stuckReadMs;
            const isFree = (!place.isReading && time >= place.retryAt) || isOverdue;
            if (isFree && (isStale || hasNews || place.end === undefined)) {
                runRead(topic);
            }
        }
        if (removeExpiredUpstreams(state, time)) {
            logger.info("Lapsed upstreams are gone.");
            options.onList();
        }
    };
    return {
        state,
        getVerifiedAt: topic => {
            const { isReading, failures, readStartedAt: readAt, end } = topics[topic];
            const isWaiting = isReading && failures === 0 && end !== undefined && now() - readAt < longPollMs;
            return isWaiting ? now() : freshAt[topic];
        },
        start: () => {
            tick();
            timer = setInterval(tick, checkIntervalMs);
        },
        stop: () => clearInterval(timer),
        recordPeerPosition: (topic, end, ageMs) => {
            const place = topics[topic];
            if (end > place.peerEnd) {
                const pendingAt = place.peerEnd > (place.end ?? 0) ? place.catchUpAt : Infinity;
                place.peerEnd = end;
                place.catchUpAt = Math.min(pendingAt, now() + random() * timing.maxCatchUpDelayMs);
            }
            if (place.end !== undefined && end === place.end) {
                freshAt[topic] = Math.max(freshAt[topic], now() - ageMs);
            }
        },
    };
}
