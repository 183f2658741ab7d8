/**
 * A feed keeps a local mirror of the operators' document (the configuration document), the instance list and, where it
 * is followed, the quarantine of prompt parts up to date.
 * Most processes learn from peers whether they are up to date and read the log only when they are not; when the log
 * fails, they read from a peer.
 */
import type { ServingDocument } from "../config/serving.js";
import { CallError } from "../core/errors.js";
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import { getEra, getOffset } from "./logPosition.js";
import {
    applyDocumentRecords,
    applyListRecords,
    applyQuarantineBatch,
    createMirror,
    type MirrorDecoders,
    type MirrorRecord,
    type MirrorState,
    recordLogFailure,
    removeExpiredUpstreams,
    replaceList,
} from "./mirror.js";

/** Topics of the log that a feed follows. */
export const FeedTopic = { document: "document", list: "list", quarantine: "quarantine" } as const;
export type FeedTopic = (typeof FeedTopic)[keyof typeof FeedTopic];

/** Records read from a topic. */
export interface FeedBatch {
    records: MirrorRecord[];
    /** Offset of the next read. */
    end: number;
    /** Whether `records` is a snapshot that holds the newest record of every key. */
    isComplete: boolean;
}

/** Connects a read with the feed that began it. */
export interface ReadControl {
    /** Aborts the read. */
    signal: AbortSignal;
    /** To be called whenever a part of the response has arrived. */
    onData: () => void;
}

/** Reads the log; both calls reject when the log cannot be read or the read is aborted. */
export interface FeedSource {
    /** Reads a snapshot. */
    readNewest: (topic: FeedTopic, control?: ReadControl) => Promise<FeedBatch>;
    /**
     * Reads from an offset, waiting up to `waitMs` for a record. Resolves to undefined if records after the offset are
     * no longer in the log.
     */
    read: (topic: FeedTopic, from: number, waitMs: number, control?: ReadControl) => Promise<FeedBatch | undefined>;
}

export interface FeedOptions {
    source: FeedSource;
    decoders: MirrorDecoders<ServingDocument>;
    /** Returns the current time in milliseconds. */
    now: () => number;
    /** Returns a number in [0, 1). */
    random: () => number;
    logger: Logger;
    /** Called with what a check or one of the functions below throws; the feed goes on. */
    reportFault: FaultReporter;
    /** Fetches records from the given offsets on from a peer; resolves to undefined if no peer responds. */
    fetchFromPeer: (documentEnd: number, listEnd: number, quarantineEnd: number) => Promise<PeerRecords | undefined>;
    /** Called when a new document has been applied. */
    onDocument: (document: ServingDocument) => void;
    /** Called when the instance list has changed. */
    onList: () => void;
    /** Called with the changed records of the quarantine, which is followed only with this option. */
    onQuarantine?: (records: MirrorRecord[]) => void;
    /** Called with the records of the quarantine that the log has lost by returning from an older copy. */
    onQuarantineLost?: (records: MirrorRecord[]) => void;
    /** Called when the log has returned from an older copy. */
    onEra?: (era: number) => void;
    timing: FeedTiming;
    /** Whether this process reads a topic of the log continuously, for example so that its peers do not have to. */
    isContinuousReader: (topic: FeedTopic) => boolean;
    /** Called when a read of the log has ended. */
    onRead?: (topic: FeedTopic, reason: ReadReason, outcome: ReadOutcome) => void;
}

/** Why a feed reads the log. */
export const ReadReason = {
    /** The mirror is empty. */
    initial: "initial",
    /** A peer has seen newer records. */
    catchUp: "catch-up",
    /** This process reads continuously. */
    continuous: "continuous",
    /** Nothing has confirmed lately that the mirror is up to date. */
    stale: "stale",
} as const;
export type ReadReason = (typeof ReadReason)[keyof typeof ReadReason];

/** How a read of the log ended. */
export const ReadOutcome = { records: "records", empty: "empty", failed: "failed" } as const;
export type ReadOutcome = (typeof ReadOutcome)[keyof typeof ReadOutcome];

/** When a process that is not a continuous reader reads the log. */
export interface FeedTiming {
    /** Time without confirmation that the mirror is up to date, after which the log is read, in milliseconds. */
    staleAfterMs: number;
    /** Maximum random time added to `staleAfterMs`, which spreads the reads of many processes, in milliseconds. */
    jitterMs: number;
    /** Maximum delay until records that a peer has seen are read, in milliseconds; one read fetches several records. */
    maxCatchUpDelayMs: number;
}

/** Records that a peer sends on request; `documentEnd` and `listEnd` are the next offsets that the peer would read. */
export interface PeerRecords {
    documents: MirrorRecord[];
    documentEnd: number;
    list: MirrorRecord[];
    listEnd: number;
    /** Whether `list` is a snapshot; missing from peers of earlier versions. */
    isListComplete?: boolean;
    /** Missing from peers that do not follow the quarantine or have not read it. */
    quarantine?: MirrorRecord[];
    quarantineEnd?: number;
    /** Whether `quarantine` is a snapshot; missing from peers of earlier versions. */
    isQuarantineComplete?: boolean;
    /** Time since the log was last known to serve the list to a process, in milliseconds; missing if it never was. */
    listServedAgeMs?: number;
}

/** Mirror of the log that updates itself between `start` and `stop`. */
export interface Feed {
    state: MirrorState<ServingDocument>;
    /** Time at which the mirror of a topic was last known to be up to date, in milliseconds; -Infinity if never. */
    getVerifiedAt: (topic: FeedTopic) => number;
    /** Time at which the log was last known to serve the list to a process, in milliseconds; -Infinity if never. */
    getListServedAt: () => number;
    start: () => void;
    stop: () => void;
    /** Records the next offset that `peer` would read, and the time since it was known to be the end of the topic. */
    recordPeerPosition: (topic: FeedTopic, end: number, ageMs: number, peer?: string) => void;
}

/**
 * Time that a read waits for new records, in milliseconds. Only its response confirms that the mirror is up to date, so
 * it must be short enough for peers to hear of a confirmation before they count as stale.
 */
const longPollMs = 500;
/** Delays after failed reads, in milliseconds; new records must arrive within two seconds of the log's recovery. */
const minRetryMs = 150;
const maxRetryMs = 1000;
/** Time without any data after which a read that waits for records known to exist is aborted, in milliseconds. */
const stuckReadMs = 400;
/**
 * Margin by which the log must have served a peer after the first of consecutive failed reads began, in milliseconds,
 * for the failures not to count as an outage: the other read may have begun earlier.
 */
const servedMarginMs = 200;
/** Interval between checks whether a read is due, in milliseconds. */
const checkIntervalMs = 100;

interface TopicState {
    /** Offset of the next read; undefined before the first one. */
    end: number | undefined;
    /** Aborts the read in progress; undefined if there is none. */
    abortRead: (() => void) | undefined;
    /** Whether the read in progress waits for new records. */
    isWaiting: boolean;
    /** Consecutive failed reads. */
    failures: number;
    /** Earliest time of the next read after a failure, in milliseconds. */
    retryAt: number;
    /** Random factor in [0, 1) of the jitter before the next read. */
    jitter: number;
    /** Highest end offset that a peer has reported. */
    peerEnd: number;
    /** Time at which to read the records that a peer has reported, in milliseconds. */
    catchUpAt: number;
    /** Time at which the latest read began or last received data, in milliseconds. */
    readProgressAt: number;
    /** Peer that last confirmed that the mirror is up to date; undefined if that was a read of the log. */
    confirmedBy: string | undefined;
}

/** Creates a feed with an empty mirror; `start` begins to read. */
export function createFeed(options: FeedOptions): Feed {
    const { source, now, random, logger, timing } = options;
    const decoders = reportInvalidEntries(options.decoders, logger);
    const contain = <Args extends unknown[]>(step: (...args: Args) => void) => containFaults(options.reportFault, step);
    const onDocument = contain(options.onDocument);
    const onList = contain(options.onList);
    const onQuarantine = contain((records: MirrorRecord[]) => options.onQuarantine?.(records));
    const onQuarantineLost = contain((records: MirrorRecord[]) => options.onQuarantineLost?.(records));
    const onEra = contain((era: number) => options.onEra?.(era));
    const onRead = contain((topic: FeedTopic, reason: ReadReason, outcome: ReadOutcome) =>
        options.onRead?.(topic, reason, outcome)
    );
    const state = createMirror<ServingDocument>();
    const verifiedAt: Record<FeedTopic, number> = { document: -Infinity, list: -Infinity, quarantine: -Infinity };
    const followedTopics = Object.values(FeedTopic).filter(topic =>
        topic !== FeedTopic.quarantine || options.onQuarantine !== undefined
    );
    const createTopicState = (): TopicState => ({
        end: undefined,
        abortRead: undefined,
        isWaiting: false,
        failures: 0,
        retryAt: 0,
        jitter: random(),
        peerEnd: 0,
        catchUpAt: 0,
        readProgressAt: 0,
        confirmedBy: undefined,
    });
    const topics: Record<FeedTopic, TopicState> = {
        document: createTopicState(),
        list: createTopicState(),
        quarantine: createTopicState(),
    };
    let timer: NodeJS.Timeout | undefined;
    let isFetchingFromPeer = false;
    let listServedAt = -Infinity;
    /** Start of the first failed read since the last successful one of the list, in milliseconds. */
    let failingSince: number | undefined;

    const recordServed = (topic: FeedTopic, at: number) => {
        if (topic === FeedTopic.list) {
            listServedAt = Math.max(listServedAt, at);
        }
    };
    /** Records a failed read; an outage of the log unless it has served the list to a peer meanwhile. */
    const recordFailure = (startedAt: number) => {
        failingSince ??= startedAt;
        if (listServedAt <= failingSince + servedMarginMs) {
            recordLogFailure(state, now());
        }
    };

    const applyDocumentBatch = (batch: FeedBatch, origin: Record<string, unknown>) => {
        if (applyDocumentRecords(state, batch.records, batch.end, decoders)) {
            logger.info("A new document was applied.", {
                revision: state.document!.revision,
                offset: batch.end,
                records: batch.records.length,
                ...origin,
            });
            onDocument(state.document!);
        }
    };
    const applyListBatch = ({ records, end, isComplete }: FeedBatch) => {
        const apply = isComplete ? replaceList : applyListRecords;
        if (apply(state, records, end, decoders, now())) {
            const changed = records.slice(0, 8).map(({ key, value }) => ({
                upstream: key,
                isGone: value === undefined,
            }));
            logger.info("The instance list changed.", { changed, records: records.length, offset: end });
            onList();
        }
    };
    const batchAppliers: Record<FeedTopic, (batch: FeedBatch, origin: Record<string, unknown>) => void> = {
        document: applyDocumentBatch,
        list: applyListBatch,
        quarantine: ({ records, end, isComplete }) => {
            const { changes, lost } = applyQuarantineBatch(state, records, end, isComplete);
            if (changes.length > 0) {
                onQuarantine(changes);
            }
            if (lost.length > 0) {
                onQuarantineLost(lost);
            }
        },
    };
    const getMirrorEnd = (topic: FeedTopic) =>
        ({
            document: state.documentEnd,
            list: state.listEnd,
            quarantine: state.quarantineEnd ?? 0,
        })[topic];
    const read = async (topic: FeedTopic, reason: ReadReason, control: ReadControl) => {
        const topicState = topics[topic];
        const waitMs = reason === ReadReason.continuous && topicState.failures === 0 ? longPollMs : 0;
        const startedAt = now();
        const { confirmedBy, end: from } = topicState;
        const confirmedAgeMs = Math.round(startedAt - verifiedAt[topic]);
        topicState.isWaiting = waitMs > 0;
        const batch = await withAbort(
            from === undefined || isSnapshotSmaller(topic, topicState.peerEnd - from) ?
                source.readNewest(topic, control) :
                source.read(topic, from, waitMs, control),
            control.signal,
        );
        if (batch === undefined) {
            logger.warn("The log has dropped the next records; reading a snapshot.", {
                topic,
                from: topicState.end,
            });
            topicState.end = undefined;
            return ReadOutcome.empty;
        }
        const hasRecords = batch.records.length > 0;
        topicState.end = Math.max(topicState.end ?? 0, batch.end);
        if (topicState.end === from) {
            // A read may return an older state of the log than a peer has seen.
            topicState.catchUpAt = now() + maxRetryMs * random();
        }
        // An empty response was sent when the wait was over; it may have been under way for some time.
        const confirmedAt = hasRecords ? startedAt : Math.min(now(), startedAt + waitMs);
        verifiedAt[topic] = Math.max(verifiedAt[topic], confirmedAt);
        recordServed(topic, confirmedAt);
        failingSince = topic === FeedTopic.list ? undefined : failingSince;
        topicState.jitter = random();
        topicState.confirmedBy = undefined;
        const previousEnd = getMirrorEnd(topic);
        if (previousEnd > 0 && getEra(batch.end) > getEra(previousEnd)) {
            logger.warn("The log has returned from an older copy; keeping what it lacks for now.", {
                topic,
                era: getEra(batch.end),
                previousEra: getEra(previousEnd),
                end: getOffset(batch.end),
                previousEnd: getOffset(previousEnd),
                records: batch.records.length,
            });
            onEra(getEra(batch.end));
        }
        batchAppliers[topic](batch, {
            reason,
            readMs: Math.round(now() - startedAt),
            confirmedBy,
            confirmedAgeMs,
        });
        return hasRecords ? ReadOutcome.records : ReadOutcome.empty;
    };
    const startRead = (topic: FeedTopic, reason: ReadReason) => {
        const topicState = topics[topic];
        const startedAt = now();
        const controller = new AbortController();
        const onData = () => topicState.readProgressAt = now();
        topicState.abortRead = () => controller.abort();
        topicState.readProgressAt = startedAt;
        read(topic, reason, { signal: controller.signal, onData }).then(outcome => {
            if (topicState.failures > 0) {
                logger.info("Reading the log works again.", { topic, failures: topicState.failures });
            }
            topicState.failures = 0;
            onRead(topic, reason, outcome);
        }).catch((error: Error) => {
            onRead(topic, reason, ReadOutcome.failed);
            topicState.failures += 1;
            topicState.retryAt = now() +
                Math.min(maxRetryMs, minRetryMs * 2 ** topicState.failures) * (0.5 + random() / 2);
            if (topic !== FeedTopic.quarantine) {
                recordFailure(startedAt);
            }
            if (topicState.failures === 1) {
                logger.warn("Reading the log failed.", {
                    topic,
                    error: error.message,
                    reason,
                    readMs: Math.round(now() - startedAt),
                    confirmedBy: topicState.confirmedBy,
                    confirmedAgeMs: Math.round(now() - verifiedAt[topic]),
                });
            }
            void fetchFromPeer();
        }).finally(() => {
            topicState.abortRead = undefined;
        });
    };
    const fetchFromPeer = async () => {
        if (isFetchingFromPeer) {
            return;
        }
        isFetchingFromPeer = true;
        const { documentEnd, listEnd, quarantineEnd = 0 } = state;
        try {
            const records = await options.fetchFromPeer(documentEnd, listEnd, quarantineEnd);
            if (records !== undefined) {
                recordServed(FeedTopic.list, now() - (records.listServedAgeMs ?? Infinity));
                applyPeerRecords(records);
            }
        }
        catch (error) {
            logger.warn("Fetching records from a peer failed.", { error: (error as Error).message });
        }
        isFetchingFromPeer = false;
    };
    const applyPeerRecords = (records: PeerRecords) => {
        const { documents, documentEnd, list, listEnd, isListComplete } = records;
        const { quarantine = [], quarantineEnd, isQuarantineComplete } = records;
        const apply = (topic: FeedTopic, topicRecords: MirrorRecord[], end: number, isComplete = false) => {
            const batch = { records: topicRecords, end, isComplete };
            batchAppliers[topic](batch, { reason: "hand-over" });
            topics[topic].end = Math.max(topics[topic].end ?? 0, end);
        };
        apply(FeedTopic.document, documents, documentEnd);
        apply(FeedTopic.list, list, listEnd, isListComplete);
        if (quarantineEnd !== undefined) {
            apply(FeedTopic.quarantine, quarantine, quarantineEnd, isQuarantineComplete);
        }
    };
    const findReadReason = (topic: FeedTopic, { end }: TopicState, isCatchUpDue: boolean): ReadReason => {
        if (end === undefined) {
            return ReadReason.initial;
        }
        if (isCatchUpDue) {
            return ReadReason.catchUp;
        }
        return options.isContinuousReader(topic) ? ReadReason.continuous : ReadReason.stale;
    };
    const checkTopic = contain((topic: FeedTopic) => {
        const time = now();
        const topicState = topics[topic];
        const isStale = options.isContinuousReader(topic) ||
            time - verifiedAt[topic] > timing.staleAfterMs + topicState.jitter * timing.jitterMs;
        const isCatchUpDue = topicState.peerEnd > (topicState.end ?? 0) && time >= topicState.catchUpAt;
        const isStuck = topicState.isWaiting && isCatchUpDue &&
            time - Math.max(topicState.catchUpAt, topicState.readProgressAt) > stuckReadMs;
        if (isStuck) {
            topicState.abortRead?.();
        }
        const canRead = topicState.abortRead === undefined && time >= topicState.retryAt;
        if (canRead && (isStale || isCatchUpDue || topicState.end === undefined)) {
            startRead(topic, findReadReason(topic, topicState, isCatchUpDue));
        }
    });
    const checkExpiry = contain(() => {
        if (removeExpiredUpstreams(state, now())) {
            logger.info("Removed upstreams whose records expired.");
            onList();
        }
    });
    const checkTopics = () => {
        followedTopics.forEach(topic => checkTopic(topic));
        checkExpiry();
    };
    return {
        state,
        getVerifiedAt: topic => verifiedAt[topic],
        getListServedAt: () => listServedAt,
        start: () => {
            checkTopics();
            timer = setInterval(checkTopics, checkIntervalMs);
        },
        stop: () => clearInterval(timer),
        recordPeerPosition: (topic, end, ageMs, peer) => {
            const topicState = topics[topic];
            recordServed(topic, now() - ageMs);
            if (end > topicState.peerEnd) {
                const plannedAt = topicState.peerEnd > (topicState.end ?? 0) ? topicState.catchUpAt : Infinity;
                topicState.peerEnd = end;
                topicState.catchUpAt = Math.min(plannedAt, now() + random() * timing.maxCatchUpDelayMs);
            }
            if (topicState.end !== undefined && end === topicState.end && now() - ageMs > verifiedAt[topic]) {
                verifiedAt[topic] = now() - ageMs;
                topicState.confirmedBy = peer;
            }
        },
    };
}

/** Maximum number of keys whose invalid entries are logged. */
const maxReportedKeys = 100;

/** Wraps decoders so that the first invalid entry of the list under each key is logged. */
function reportInvalidEntries(
    decoders: MirrorDecoders<ServingDocument>,
    logger: Logger,
): MirrorDecoders<ServingDocument> {
    const reportedKeys = new Set<string>();
    return {
        ...decoders,
        decodeUpstream: (id, text) => {
            const upstream = decoders.decodeUpstream(id, text);
            if (upstream === undefined && !reportedKeys.has(id) && reportedKeys.size < maxReportedKeys) {
                reportedKeys.add(id);
                logger.warn("An entry of the instance list is not valid and is ignored.", { upstream: id });
            }
            return upstream;
        },
    };
}

/**
 * Whether a snapshot of a topic is smaller than its newest `count` records. The document's topic has a single key, so
 * that the newest record replaces all others; a snapshot of it is a third larger than the record.
 */
function isSnapshotSmaller(topic: FeedTopic, count: number): boolean {
    return topic === FeedTopic.document && count > 1;
}

/** Waits for a read, or rejects once `signal` aborts, also if the read itself does not end then. */
async function withAbort<T>(read: Promise<T>, signal: AbortSignal): Promise<T> {
    const aborted = new Promise<never>((resolve, reject) =>
        signal.addEventListener(
            "abort",
            () => reject(new CallError("aborted: peers have newer records and no data arrived")),
        )
    );
    return await Promise.race([read, aborted]);
}
