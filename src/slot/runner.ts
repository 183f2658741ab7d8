/** Runs admitted requests at the upstream and records their answers in the ledger. */
import { RunOutcome } from "../core/types.js";
import type { LoadReport } from "../core/types.js";
import {
    type AdmissionState,
    admitRequest,
    cancelQueued,
    computeRetryAfter,
    countQueued,
    releaseRequest,
    sumTokens,
} from "../routing/admission.js";
import type { QueuedRequest } from "../routing/fairQueue.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import type { ClaimsDriver } from "./driverClaims.js";
import { type ActiveRun, executeRun, type RunContext } from "./execute.js";
import { executeKeyedRun, type KeyedRunContext } from "./executeKeyed.js";
import { createKeyedRuns, expireKeys, isClaimRequired } from "./keyedRuns.js";
import { acknowledgeFrames, recordFrame, type RunRecord, type RunStore } from "./runStore.js";
import type { UpstreamClient } from "./upstream.js";

export interface Runner {
    /** Starts or queues a run that the ledger has admitted. */
    start: (record: RunRecord, params: RunParams, weight: number) => void;
    /** Stops a run whose caller has gone, unless its key lets the caller ask for the answer again. */
    cancel: (record: RunRecord) => void;
    /** Calls `listener` after every new frame of a record until the returned function is called. */
    subscribe: (record: RunRecord, listener: () => void) => () => void;
    /** Notes that a reader has taken the frames before `sequence`; reading from the upstream goes on. */
    acknowledgeFrames: (record: RunRecord, sequence: number) => void;
    report: () => LoadReport;
    /** Forgets keys that can't be claimed any more. */
    expireKeys: () => void;
    /** Resolves when nothing runs or waits. */
    drain: () => Promise<void>;
}

/** Creates a runner over one upstream. */
export function createRunner(
    ledger: RunStore,
    admission: AdmissionState,
    upstream: UpstreamClient,
    claims: ClaimsDriver,
): Runner {
    const activeRuns = new Map<string, ActiveRun>();
    const drainWaiters: (() => void)[] = [];
    let serviceMs = 0;

    const emit = (item: ActiveRun, body: FrameBody) => {
        const { requestId, attempt, next: sequence } = item.record;
        recordFrame(ledger, item.record, { ...body, requestId, attempt, sequence }, Date.now());
        item.listeners.forEach(listener => listener());
    };
    const resolveDrain = () => {
        if (activeRuns.size === 0) {
            drainWaiters.splice(0).forEach(resolve => resolve());
        }
    };
    const finishRun = (id: string) => {
        activeRuns.delete(id);
        const { started, expired } = releaseRequest(admission, id, Date.now());
        expired.forEach(item => refuseQueuedRun(item, "The request waited too long"));
        started.forEach(item => void startRun(item.id));
        resolveDrain();
    };
    const refuseQueuedRun = (item: QueuedRequest, title: string) => {
        const retryAfter = computeRetryAfter(admission, item.workspace, item.weight, Math.random());
        recordRefusal(activeRuns, item, emit, title, retryAfter);
        resolveDrain();
    };
    const scheduleExpiry = (item: QueuedRequest) => {
        const expire = () => {
            if (cancelQueued(admission, item.id)) {
                refuseQueuedRun(item, "The request waited too long");
                finishRun(item.id);
            }
        };
        setTimeout(expire, item.expiresAt - item.arrivedAt).unref();
    };
    const startRun = async (id: string) => {
        const item = activeRuns.get(id);
        if (item === undefined) {
            return;
        }
        const startedAt = performance.now();
        await (isClaimRequired(item.params) ? executeKeyedRun(context, keyed, item) : executeRun(context, item));
        serviceMs += ((performance.now() - startedAt) - serviceMs) * 0.1;
        finishRun(id);
    };
    const report = (): LoadReport => ({
        incarnation: ledger.incarnation,
        tokensInFlight: sumTokens(admission),
        requestsInFlight: admission.running.size,
        queued: countQueued(admission),
        state: ledger.leaving ? "leaving" : "live",
        serviceMs,
    });
    const subscribe = (record: RunRecord, listener: () => void) => {
        const item = activeRuns.get(formatRunId(record));
        item?.listeners.add(listener);
        return () => item?.listeners.delete(listener);
    };
    const context: RunContext = { ledger, upstream, emit, report, resumeCallbacks: new Set() };
    const keyed: KeyedRunContext = { keyedRuns: createKeyedRuns(), claims, subscribe };

    return {
        start: (record, params, weight) => {
            const id = formatRunId(record);
            const item: ActiveRun = {
                record,
                params,
                abortController: new AbortController(),
                listeners: new Set(),
            };
            activeRuns.set(id, item);
            emit(item, { kind: "accepted", incarnation: ledger.incarnation });
            const waiting = createQueuedRequest(id, params, weight);
            const { decision, evicted } = admitRequest(admission, waiting, Date.now());
            if (decision === "run") {
                void startRun(id);
            }
            else if (decision === "refuse") {
                refuseQueuedRun(waiting, "The upstream is at its limit");
            }
            else {
                scheduleExpiry(waiting);
            }
            evicted.forEach(other => refuseQueuedRun(other, "The upstream is at its limit"));
        },
        cancel: record => {
            const id = formatRunId(record);
            const item = activeRuns.get(id);
            if (item !== undefined && cancelQueued(admission, id)) {
                recordRefusal(activeRuns, { id }, emit, "The caller has gone", 1);
                finishRun(id);
            }
            if (item !== undefined && !isClaimRequired(item.params)) {
                item.abortController.abort();
            }
        },
        subscribe,
        acknowledgeFrames: (record, sequence) => {
            acknowledgeFrames(ledger, record, sequence);
            context.resumeCallbacks.forEach(wake => wake());
        },
        report,
        expireKeys: () => expireKeys(keyed.keyedRuns, Date.now()),
        drain: () => activeRuns.size === 0 ? Promise.resolve() : new Promise(resolve => drainWaiters.push(resolve)),
    };
}

function recordRefusal(
    activeRuns: Map<string, ActiveRun>,
    { id }: { id: string; },
    emit: RunContext["emit"],
    title: string,
    retryAfterSeconds: number,
): void {
    const item = activeRuns.get(id);
    activeRuns.delete(id);
    if (item !== undefined) {
        emit(item, {
            kind: "failed",
            outcome: RunOutcome.notRun,
            status: 503,
            title,
            retryAfterSeconds,
        });
    }
}

function createQueuedRequest(id: string, params: RunParams, weight: number): QueuedRequest {
    const { workspace, urgency, tokens } = params;
    const arrivedAt = Date.now();
    return { id, workspace, weight, urgency, tokens, arrivedAt, expiresAt: arrivedAt + params.deadlineMs / 2 };
}

function formatRunId(record: RunRecord): string {
    return `${record.requestId}/${record.attempt}`;
}
