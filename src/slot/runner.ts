/** Runs admitted requests at the upstream and records the responses in the run store, from which they are delivered. */
import { RunOutcome } from "../core/types.js";
import type { LoadReport } from "../core/types.js";
import {
    type AdmissionState,
    admitRequest,
    cancelQueued,
    computeRetryAfter,
    countQueued,
    releaseRequest,
    startQueued,
    type StartResult,
    sumTokens,
} from "../routing/admission.js";
import type { QueuedRequest } from "../routing/fairQueue.js";
import { computePauseWaitMs, isServedLeaving, recordServedRestart } from "../routing/servedUpstream.js";
import { computePermitWaitMs, computeUpstreamRate, recordUpstreamRate } from "../routing/upstreamRate.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { type NamedRateLimit, parseRateLimit } from "../wire/rateLimitField.js";
import type { ClaimsDriver } from "./driverClaims.js";
import { type ActiveRun, executeRun, type RunContext } from "./execute.js";
import { executeKeyedRun, type KeyedRunContext } from "./executeKeyed.js";
import { createKeyedRuns, expireKeys, isClaimRequired } from "./keyedRuns.js";
import {
    acknowledgeFrames,
    deliveredResponseRetentionMs,
    dropResponse,
    recordFrame,
    type RunRecord,
    type RunStore,
} from "./runStore.js";
import { findServedObstacle, type NoticeListener, observeServedNotices } from "./servedNotices.js";
import type { UpstreamClient, UpstreamResponse } from "./upstream.js";

/** Runs requests at the upstream of a slot. */
export interface Runner {
    /** Starts, queues or refuses a run that has begun in the run store. */
    start: (record: RunRecord, params: RunParams, weight: number) => void;
    /** Cancels a run whose caller has disconnected; a running one with a claimed key continues, for a retry. */
    cancel: (record: RunRecord) => void;
    /**
     * Calls `listener` after each new frame of a record until the returned function is called. A run that has lost its
     * last reader is cancelled unless one comes within the time for which a delivered response is retained.
     */
    subscribe: (record: RunRecord, listener: () => void) => () => void;
    /** Records that the frames before `sequence` have been delivered; runs that waited for buffer space resume. */
    acknowledgeFrames: (record: RunRecord, sequence: number) => void;
    /** Returns the current load of the slot. */
    report: () => LoadReport;
    /** Takes back what the upstream has said of itself, as another incarnation of it runs. */
    recordUpstreamRestart: () => void;
    /** Removes expired idempotency keys. */
    expireKeys: () => void;
    /** Resolves when no run is running or queued. */
    drain: () => Promise<void>;
}

/** A run with its readers. */
interface ReadRun extends ActiveRun {
    /** Number of readers to which the response is streamed. */
    readers: number;
    /** Cancels the run when it has had no reader for some time. */
    orphanTimer?: NodeJS.Timeout;
    /** Whether its caller has disconnected, so that nobody will ask for the response. */
    isCancelled: boolean;
}

/** Is told what responses say of the upstream. */
export interface RunnerListener extends NoticeListener {
    /** Called when the rate limit that the upstream names has changed. */
    onRateLimit: (named: NamedRateLimit, values: string[]) => void;
}

const silentListener: RunnerListener = {
    onRateLimit: () => undefined,
    onLeaving: () => undefined,
    onPause: () => undefined,
    onOddPause: () => undefined,
    onObstacle: () => undefined,
};

/** Creates the runner of one upstream. */
export function createRunner(
    store: RunStore,
    admission: AdmissionState,
    upstream: UpstreamClient,
    claims: ClaimsDriver,
    listener: RunnerListener = silentListener,
): Runner {
    const activeRuns = new Map<string, ReadRun>();
    const drainWaiters: (() => void)[] = [];
    let serviceMs = 0;
    let permitTimer: NodeJS.Timeout | undefined;
    /** Latest invalid rate limit that the upstream has named. */
    let invalidText: string | undefined;

    const emit = (run: ActiveRun, body: FrameBody) => {
        const { requestId, attempt, next: sequence } = run.record;
        recordFrame(store, run.record, { ...body, requestId, attempt, sequence }, Date.now());
        run.listeners.forEach(listener => listener());
    };
    const resolveDrain = () => {
        if (activeRuns.size === 0) {
            drainWaiters.splice(0).forEach(resolve => resolve());
        }
    };
    const finishRun = (id: string) => {
        activeRuns.delete(id);
        startAdmitted(releaseRequest(admission, id, Date.now()));
        resolveDrain();
    };
    /** Starts runs, and the next one when the rate limit of the upstream, or the end of its pause, admits it. */
    const startAdmitted = ({ started, expired, sendWaitMs }: StartResult) => {
        clearTimeout(permitTimer);
        if (sendWaitMs !== undefined && sendWaitMs > 0) {
            permitTimer = setTimeout(startNext, Math.ceil(sendWaitMs)).unref();
        }
        expired.forEach(queued => refuseQueuedRun(queued, "The request waited too long"));
        started.forEach(queued => void startRun(queued.id));
    };
    const startNext = () => startAdmitted(startQueued(admission, Date.now()));
    const observeRateLimit = (values: string[]) => {
        const named = parseRateLimit(values);
        const text = values.join(", ");
        const requestsPerSecond = named.kind === "limit" ? named.requestsPerSecond : undefined;
        const hasChanged = named.kind === "invalid" ?
            text !== invalidText :
            recordUpstreamRate(admission.rate, requestsPerSecond, Date.now());
        invalidText = named.kind === "invalid" ? text : invalidText;
        if (hasChanged) {
            listener.onRateLimit(named, values);
        }
    };
    const refuseQueuedRun = (queued: QueuedRequest, title: string, isPaused = false) => {
        const retryAfterSeconds = computeRetryAfter(admission, queued.workspace, queued.weight, Math.random());
        recordRefusal(activeRuns, queued, emit, { title, retryAfterSeconds, isPaused, load: report() });
        resolveDrain();
    };
    /** Refuses a run that a notice keeps from the upstream, so that its entry sends it elsewhere; returns whether it did. */
    const refuseObstructed = (queued: QueuedRequest, params: RunParams) => {
        const obstacle = findServedObstacle(admission.served, params);
        if (obstacle === undefined) {
            return false;
        }
        listener.onObstacle(params.requestId, obstacle);
        cancelQueued(admission, queued.id);
        refuseQueuedRun(queued, obstacle.title, obstacle.isPaused);
        return true;
    };
    const observeResponse = ({ record }: ActiveRun, response: UpstreamResponse) => {
        observeRateLimit(response.rateLimitValues);
        const { isPause, hasChanged } = observeServedNotices(admission.served, listener, record.requestId, response);
        if (hasChanged) {
            [...admission.queue.byId.values()].forEach(queued =>
                refuseObstructed(queued, activeRuns.get(queued.id)!.params)
            );
            startNext();
        }
        return isPause;
    };
    const describeLimit = () => {
        const rate = computeUpstreamRate(admission.rate, Date.now());
        return rate === undefined ? "The upstream is at its limit" : "The upstream is at its rate limit";
    };
    /** Refuses a run that is still queued when it expires. */
    const scheduleExpiry = (queued: QueuedRequest) => {
        const expire = () => {
            if (cancelQueued(admission, queued.id)) {
                refuseQueuedRun(queued, "The request waited too long");
                finishRun(queued.id);
            }
        };
        setTimeout(expire, queued.expiresAt - queued.arrivedAt).unref();
    };
    const startRun = async (id: string) => {
        const run = activeRuns.get(id);
        if (run === undefined) {
            return;
        }
        const startedAt = performance.now();
        await (isClaimRequired(run.params) ? executeKeyedRun(context, keyedContext, run) : executeRun(context, run));
        serviceMs += ((performance.now() - startedAt) - serviceMs) * 0.1;
        clearTimeout(run.orphanTimer);
        if (run.isCancelled) {
            dropResponse(store, run.record);
            wakeWaitingRuns();
        }
        finishRun(id);
    };
    const report = (): LoadReport => ({
        incarnation: store.incarnation,
        tokensInFlight: sumTokens(admission),
        requestsInFlight: admission.running.size,
        queued: countQueued(admission),
        state: store.leaving || isServedLeaving(admission.served) ? "leaving" : "live",
        serviceMs,
        permitWaitMs: computePermitWaitMs(admission.rate, countQueued(admission) + 1, Date.now()),
        pauseWaitMs: computePauseWaitMs(admission.served, Date.now()),
    });
    const subscribe = (record: RunRecord, listener: () => void) => {
        const run = activeRuns.get(formatRunId(record));
        run?.listeners.add(listener);
        return () => run?.listeners.delete(listener);
    };
    const cancel = (record: RunRecord) => {
        const id = formatRunId(record);
        const run = activeRuns.get(id);
        if (run !== undefined && cancelQueued(admission, id)) {
            recordRefusal(activeRuns, { id }, emit, { title: "The caller has gone", retryAfterSeconds: 1 });
            finishRun(id);
        }
        if (run !== undefined && !isClaimRequired(run.params)) {
            run.isCancelled = true;
            run.abortController.abort();
        }
    };
    const attachReader = (record: RunRecord, listener: () => void) => {
        const run = activeRuns.get(formatRunId(record));
        if (run === undefined) {
            return () => undefined;
        }
        const reader = () => listener();
        run.listeners.add(reader);
        run.readers += 1;
        clearTimeout(run.orphanTimer);
        return () => {
            run.readers -= run.listeners.delete(reader) ? 1 : 0;
            if (run.readers === 0 && activeRuns.has(formatRunId(record))) {
                clearTimeout(run.orphanTimer);
                run.orphanTimer = setTimeout(() => cancel(record), deliveredResponseRetentionMs).unref();
            }
        };
    };
    const wakeWaitingRuns = () => context.resumeCallbacks.forEach(resume => resume());
    const context: RunContext = { store, upstream, emit, report, observeResponse, resumeCallbacks: new Set() };
    const keyedContext: KeyedRunContext = { keyedRuns: createKeyedRuns(), claims, subscribe };

    return {
        start: (record, params, weight) => {
            const id = formatRunId(record);
            const run: ReadRun = {
                record,
                params,
                abortController: new AbortController(),
                listeners: new Set(),
                readers: 0,
                isCancelled: false,
            };
            activeRuns.set(id, run);
            emit(run, { kind: "accepted", incarnation: store.incarnation });
            const queued = createQueuedRequest(id, params, weight);
            if (refuseObstructed(queued, params)) {
                return;
            }
            const { decision, evicted } = admitRequest(admission, queued, Date.now());
            if (decision === "run") {
                void startRun(id);
            }
            else if (decision === "refuse") {
                refuseQueuedRun(queued, describeLimit());
            }
            else {
                scheduleExpiry(queued);
            }
            evicted.forEach(evictedRequest => refuseQueuedRun(evictedRequest, describeLimit()));
            startNext();
        },
        cancel,
        subscribe: attachReader,
        acknowledgeFrames: (record, sequence) => {
            acknowledgeFrames(store, record, sequence);
            wakeWaitingRuns();
        },
        report,
        recordUpstreamRestart: () => {
            recordServedRestart(admission.served);
            startNext();
        },
        expireKeys: () => expireKeys(keyedContext.keyedRuns, Date.now()),
        drain: () => activeRuns.size === 0 ? Promise.resolve() : new Promise(resolve => drainWaiters.push(resolve)),
    };
}

/** Removes a run and ends its response with a refusal. */
function recordRefusal(
    activeRuns: Map<string, ActiveRun>,
    { id }: { id: string; },
    emit: RunContext["emit"],
    details: { title: string; retryAfterSeconds: number; isPaused?: boolean; load?: LoadReport; },
): void {
    const run = activeRuns.get(id);
    activeRuns.delete(id);
    if (run !== undefined) {
        emit(run, { kind: "failed", outcome: RunOutcome.notRun, status: 503, ...details });
    }
}

/** Creates a request for the admission queue, which expires after half of the time left until its deadline. */
function createQueuedRequest(id: string, params: RunParams, weight: number): QueuedRequest {
    const { workspace, urgency, tokens } = params;
    const arrivedAt = Date.now();
    return { id, workspace, weight, urgency, tokens, arrivedAt, expiresAt: arrivedAt + params.deadlineMs / 2 };
}

function formatRunId(record: RunRecord): string {
    return `${record.requestId}/${record.attempt}`;
}
