/**
 * Quarantine as the requests of one entry use it: which requests are rejected, and what their ends tell about the parts of
 * their prompts.
 */
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import type { MirrorRecord, UpstreamRecord } from "../peers/mirror.js";
import { createPartHistory, recordAnsweredParts } from "../routing/partHistory.js";
import {
    applyQuarantineRecords,
    computeRequestDeferralMs,
    createQuarantine,
    findQuarantinedParts,
    findQuarantinedRequest,
    formatIncarnation,
    formatRequestPart,
    getRecordKey,
    isAnswerTelling,
    isCrashKey,
    isRequestAnswerTelling,
    isWronglyReported,
    type KeyedRecord,
    type LostRequest,
    type QuarantinedRequest,
    type QuarantineRecord,
} from "../routing/quarantine.js";
import { type CrashMonitor, createCrashMonitor } from "./crashMonitor.js";
import { createQuarantineSharing, type PendingRecord, type QuarantineSharing } from "./quarantineSharing.js";
import type { DirectRequest } from "./types.js";

/** What the quarantine needs to know of a request. */
export type PromptRequest = Pick<DirectRequest, "id" | "digest"> & {
    head: Pick<DirectRequest["head"], "sharedPromptParts" | "ownPromptPart">;
};

/** One attempt of a request; times are in milliseconds. */
export interface ObservedAttempt {
    upstream: Pick<UpstreamRecord, "id" | "startedAt" | "host" | "port" | "isLeaving">;
    sentAt: number;
    /** Crashes that were known when the request was sent. */
    knownCrashes: string[];
    /** Time of the first data of the response; before it, the time at which the request was sent. */
    beganAt: number;
}

/** Why a request is rejected: for parts of its prompt, or as a whole. */
export interface QuarantineVerdict {
    /** Empty if the whole request is quarantined. */
    parts: string[];
    /** Incarnations that crashed. */
    upstreams: string[];
}

export interface RequestQuarantine {
    /** Finds why a request is rejected; undefined if it is not. */
    find: (request: PromptRequest) => QuarantineVerdict | undefined;
    /** Computes for how long a request must not be sent, in milliseconds; `hasRun` is whether it may have run before. */
    computeDeferralMs: (request: PromptRequest, hasRun: boolean) => number;
    /** Returns the latest crashes that are known, as incarnations of upstreams. */
    getLatestCrashes: () => string[];
    /** Records that the upstream has continued to respond to the request. */
    recordAnswer: (request: PromptRequest, attempt: ObservedAttempt) => void;
    /**
     * Records that the upstream broke the connection as or before it began to respond. Resolves once a first check has shown
     * whether the upstream has crashed; never rejects.
     */
    recordLoss: (request: PromptRequest, attempt: ObservedAttempt) => Promise<void>;
    /** Applies records that the feed has read. */
    applyRecords: (records: MirrorRecord[]) => void;
    /** Takes over records of a peer that cannot append them. */
    acceptRecords: (records: PendingRecord[]) => void;
    /** Appends records again that the log has lost, unless another entry does so first. */
    restoreRecords: (records: MirrorRecord[], isLost: (key: string) => boolean) => void;
    listPending: () => PendingRecord[];
    /** Whether crashes have been observed or reported lately, so that news is urgent. */
    isAlert: () => boolean;
}

export interface RequestQuarantineOptions {
    /** Name of this process in its reports. */
    instance: string;
    now: () => number;
    random: () => number;
    logger: Logger;
    append: (records: PendingRecord[]) => Promise<number>;
    relay: (records: PendingRecord[]) => void;
    /** Whether the log is known to have deleted a key; missing if peers hand over no records. */
    isDeleted?: (key: string) => boolean;
    onCrash: () => void;
    /** Called when the quarantine has changed. */
    onChange: (quarantined: QuarantineVerdict[]) => void;
    /** Called with what a step outside of a request throws. */
    reportFault: FaultReporter;
    createMonitor?: typeof createCrashMonitor;
}

/** Time after an observed loss or a report for which news is urgent, in milliseconds. */
const alertMs = 10_000;

/** Maximum delay until lost records are appended again, in milliseconds; most entries then find that another one did. */
const maxRestoreDelayMs = 2000;

function createRequestVerdict({ upstreams }: QuarantinedRequest): QuarantineVerdict {
    return { parts: [], upstreams };
}

/** Creates the quarantine of an entry, without records. */
export function createRequestQuarantine(options: RequestQuarantineOptions): RequestQuarantine {
    const { instance, now, random, logger, reportFault, isDeleted = () => false } = options;
    const state = createQuarantine();
    const history = createPartHistory();
    const answeredDigests = createPartHistory();
    let alertUntil = -Infinity;
    let quarantinedText = "[]";
    let quarantinedDigests = "";

    const apply = (records: KeyedRecord[]) => {
        const dropped = applyQuarantineRecords(state, records, now());
        const { quarantined, quarantinedRequests } = state;
        const text = JSON.stringify(quarantined.map(({ parts }) => parts));
        const digests = quarantinedRequests.map(({ digest }) => digest).join(" ");
        if (text !== quarantinedText) {
            logger.warn("The quarantine of prompt parts has changed.", { quarantined });
        }
        if (digests !== quarantinedDigests) {
            logger.warn("The quarantine of requests has changed.", { quarantinedRequests });
        }
        if (text !== quarantinedText || digests !== quarantinedDigests) {
            quarantinedText = text;
            quarantinedDigests = digests;
            options.onChange([...quarantined, ...quarantinedRequests.map(createRequestVerdict)]);
        }
        return dropped;
    };
    /** Tells the other entries of suspects that this one has seen answered. */
    const publishKnownAnswers = () => {
        const suspects = [...state.suspects.values()].filter(({ digest, wasAnswered }) =>
            !wasAnswered && answeredDigests.parts.has(digest)
        );
        suspects.forEach(({ digest }) => publish({ kind: "answered-before", digest }));
    };
    const sharing: QuarantineSharing = createQuarantineSharing({
        append: options.append,
        relay: options.relay,
        apply: records => {
            const dropped = apply(records);
            if (dropped.length > 0) {
                sharing.publish(dropped.map(key => ({ key })));
            }
        },
        random,
        onError: error => logger.warn("Appending to the quarantine failed.", { error: error.message }),
        reportFault,
    });
    const publish = (record: QuarantineRecord) => {
        const key = getRecordKey(record, instance);
        sharing.publish([{ key, value: JSON.stringify(record) }]);
    };
    const monitor: CrashMonitor = (options.createMonitor ?? createCrashMonitor)({
        reportFault,
        onCrash: (upstream, requests) => {
            const parts = [...new Set(requests.flatMap(request => request.parts))];
            const answeredParts = parts.filter(part => history.parts.has(part));
            const { isExperienced } = history;
            const digests = new Set(requests.flatMap(({ digest }) => digest ?? []));
            const report: QuarantineRecord = {
                kind: "crash",
                upstream,
                requests: [...requests],
                answeredParts,
                answeredDigests: [...digests].filter(digest => answeredDigests.parts.has(digest)),
                isExperienced,
            };
            logger.warn("An upstream has crashed.", { ...report, parts });
            options.onCrash();
            publish(report);
        },
    });
    return {
        find: ({ head, digest }) => {
            const request = findQuarantinedRequest(state, digest);
            return request === undefined ?
                findQuarantinedParts(state, head.sharedPromptParts ?? []) :
                createRequestVerdict(request);
        },
        computeDeferralMs: ({ digest }, hasRun) => computeRequestDeferralMs(state, digest, hasRun, now()),
        getLatestCrashes: () => state.latestCrashes,
        recordAnswer: (request, { upstream, beganAt, sentAt }) => {
            const { sharedPromptParts: parts = [], ownPromptPart } = request.head;
            const { id, digest } = request;
            if (parts.length > 0) {
                recordAnsweredParts(history, parts, ownPromptPart);
            }
            recordAnsweredParts(answeredDigests, [digest]);
            if (state.records.size === 0) {
                return;
            }
            if (isRequestAnswerTelling(state, digest, beganAt)) {
                logger.info("A suspected request was answered.", { digest, requestId: id, upstream: upstream.id });
                publish({ kind: "answered", part: formatRequestPart(digest), request: id });
            }
            else if (state.suspects.get(digest)?.wasAnswered === false) {
                publish({ kind: "answered-before", digest });
            }
            const telling = parts.filter(part => isAnswerTelling(state, part, beganAt));
            telling.forEach(part => {
                logger.info("A suspected part of a prompt was answered.", {
                    part,
                    requestId: id,
                    upstream: upstream.id,
                });
                publish({ kind: "answered", part, request: id });
            });
            const incarnation = formatIncarnation(upstream);
            if (isWronglyReported(state, incarnation, sentAt, now())) {
                publish({ kind: "alive", upstream: incarnation, request: id });
            }
        },
        recordLoss: async ({ id, digest, head }, { upstream, knownCrashes }) => {
            const { sharedPromptParts: parts = [], ownPromptPart: ownPart = id } = head;
            if (upstream.isLeaving) {
                return;
            }
            alertUntil = now() + alertMs;
            const lost: LostRequest = { id, digest, parts, ownPart, knownCrashes };
            try {
                await monitor.recordLoss(upstream, lost);
            }
            catch (error) {
                reportFault(error as Error);
            }
        },
        applyRecords: records => {
            alertUntil = now() + alertMs;
            sharing.settle(records.map(({ key }) => key));
            apply(records);
            publishKnownAnswers();
        },
        acceptRecords: records => {
            // An incarnation crashes once: a report that has been deleted is not news, unlike another answer.
            const unknown = records.filter(({ key }) =>
                !state.records.has(key) && !sharing.listPending().some(pending => pending.key === key) &&
                !(isCrashKey(key) && isDeleted(key))
            );
            if (unknown.length > 0) {
                sharing.publish(unknown);
                publishKnownAnswers();
            }
        },
        restoreRecords: (records, isLost) => {
            const restore = () =>
                sharing.publish(records.filter(({ key }) => isLost(key)).map(({ key, value }) => ({ key, value })));
            setTimeout(containFaults(reportFault, restore), random() * maxRestoreDelayMs);
        },
        listPending: sharing.listPending,
        isAlert: () => now() < alertUntil,
    };
}
