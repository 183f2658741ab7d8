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
import { executeRun, type Pending, type RunContext } from "./execute.js";
import { executeKeyed, type KeyedContext } from "./executeKeyed.js";
import { createKeyedRuns, expireKeys, isKeyed } from "./keyedRuns.js";
import { type Ledger, noteDelivered, recordFrame, type RunRecord } from "./ledger.js";
import type { UpstreamClient } from "./upstream.js";

export interface Runner {
    /** Starts or queues a run that the ledger has admitted. */
    start: (record: RunRecord, params: RunParams, weight: number) => void;
    /** Stops a run whose caller has gone, unless its key lets the caller ask for the answer again. */
    cancel: (record: RunRecord) => void;
    /** Calls `listener` after every new frame of a record until the returned function is called. */
    subscribe: (record: RunRecord, listener: () => void) => () => void;
    /** Notes that a reader has taken the frames before `sequence`; reading from the upstream goes on. */
    noteDelivered: (record: RunRecord, sequence: number) => void;
    report: () => LoadReport;
    /** Forgets keys that can't be claimed any more. */
    expire: () => void;
    /** Resolves when nothing runs or waits. */
    drain: () => Promise<void>;
}

/** Creates a runner over one upstream. */
export function createRunner(
    ledger: Ledger,
    admission: AdmissionState,
    upstream: UpstreamClient,
    claims: ClaimsDriver,
): Runner {
    const pending = new Map<string, Pending>();
    const idle: (() => void)[] = [];
    let serviceMs = 0;

    const emit = (item: Pending, body: FrameBody) => {
        const { requestId, attempt, next: sequence } = item.record;
        recordFrame(ledger, item.record, { ...body, requestId, attempt, sequence }, Date.now());
        item.listeners.forEach(listener => listener());
    };
    const settleIdle = () => {
        if (pending.size === 0) {
            idle.splice(0).forEach(resolve => resolve());
        }
    };
    const finish = (id: string) => {
        pending.delete(id);
        const { started, expired } = releaseRequest(admission, id, Date.now());
        expired.forEach(item => refuse(item, "The request waited too long"));
        started.forEach(item => void execute(item.id));
        settleIdle();
    };
    const refuse = (item: QueuedRequest, title: string) => {
        const retryAfter = computeRetryAfter(admission, item.workspace, item.weight, Math.random());
        refuseRun(pending, item, emit, title, retryAfter);
        settleIdle();
    };
    const expireLater = (item: QueuedRequest) => {
        const expire = () => {
            if (cancelQueued(admission, item.id)) {
                refuse(item, "The request waited too long");
                finish(item.id);
            }
        };
        setTimeout(expire, item.expiresAt - item.arrivedAt).unref();
    };
    const execute = async (id: string) => {
        const item = pending.get(id);
        if (item === undefined) {
            return;
        }
        const startedAt = performance.now();
        await (isKeyed(item.params) ? executeKeyed(context, keyed, item) : executeRun(context, item));
        serviceMs += ((performance.now() - startedAt) - serviceMs) * 0.1;
        finish(id);
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
        const item = pending.get(formatId(record));
        item?.listeners.add(listener);
        return () => item?.listeners.delete(listener);
    };
    const context: RunContext = { ledger, upstream, emit, report, paused: new Set() };
    const keyed: KeyedContext = { keyed: createKeyedRuns(), claims, subscribe };

    return {
        start: (record, params, weight) => {
            const id = formatId(record);
            const item: Pending = {
                record,
                params,
                abort: new AbortController(),
                listeners: new Set(),
            };
            pending.set(id, item);
            emit(item, { kind: "accepted", incarnation: ledger.incarnation });
            const waiting = createWaiting(id, params, weight);
            const { decision, evicted } = admitRequest(admission, waiting, Date.now());
            if (decision === "run") {
                void execute(id);
            }
            else if (decision === "refuse") {
                refuse(waiting, "The upstream is at its limit");
            }
            else {
                expireLater(waiting);
            }
            evicted.forEach(other => refuse(other, "The upstream is at its limit"));
        },
        cancel: record => {
            const id = formatId(record);
            const item = pending.get(id);
            if (item !== undefined && cancelQueued(admission, id)) {
                refuseRun(pending, { id }, emit, "The caller has gone", 1);
                finish(id);
            }
            if (item !== undefined && !isKeyed(item.params)) {
                item.abort.abort();
            }
        },
        subscribe,
        noteDelivered: (record, sequence) => {
            noteDelivered(ledger, record, sequence);
            context.paused.forEach(wake => wake());
        },
        report,
        expire: () => expireKeys(keyed.keyed, Date.now()),
        drain: () => pending.size === 0 ? Promise.resolve() : new Promise(resolve => idle.push(resolve)),
    };
}

function refuseRun(
    pending: Map<string, Pending>,
    { id }: { id: string; },
    emit: RunContext["emit"],
    title: string,
    retryAfterSeconds: number,
): void {
    const item = pending.get(id);
    pending.delete(id);
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

function createWaiting(id: string, params: RunParams, weight: number): QueuedRequest {
    const { workspace, urgency, tokens } = params;
    const arrivedAt = Date.now();
    return { id, workspace, weight, urgency, tokens, arrivedAt, expiresAt: arrivedAt + params.deadlineMs / 2 };
}

function formatId(record: RunRecord): string {
    return `${record.requestId}/${record.attempt}`;
}
