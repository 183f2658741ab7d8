/** Runs admitted requests at the upstream and records their answers in the ledger. */
import { RunOutcome } from "../core/types.js";
import type { LoadReport } from "../core/types.js";
import {
    type AdmissionState,
    admitRequest,
    cancelWaiting,
    releaseRequest,
    type Waiting,
} from "../routing/admission.js";
import type { Frame, RunParams } from "../wire/messages.js";
import { type Ledger, recordFrame, type RunRecord } from "./ledger.js";
import type { UpstreamClient } from "./upstream.js";

export interface Runner {
    /** Starts or queues a run that the ledger has admitted. */
    start: (record: RunRecord, params: RunParams, weight: number) => void;
    /** Stops a run whose caller has gone; returns whether it had not reached the upstream. */
    cancel: (record: RunRecord) => void;
    /** Calls `listener` on every new frame of a record until the returned function is called. */
    subscribe: (record: RunRecord, listener: (frame: Frame) => void) => () => void;
    report: () => LoadReport;
    /** Resolves when nothing runs or waits. */
    drain: () => Promise<void>;
}

interface Pending {
    record: RunRecord;
    params: RunParams;
    abort: AbortController;
    listeners: Set<(frame: Frame) => void>;
}

/** Creates a runner over one upstream. */
export function createRunner(ledger: Ledger, admission: AdmissionState, upstream: UpstreamClient): Runner {
    const pending = new Map<string, Pending>();
    const idle: (() => void)[] = [];
    let serviceMs = 0;

    const emit = (item: Pending, frame: Frame) => {
        recordFrame(item.record, frame, Date.now());
        item.listeners.forEach(listener => listener(frame));
    };
    const finish = (id: string) => {
        pending.delete(id);
        const { started, expired } = releaseRequest(admission, id, Date.now());
        expired.forEach(item => refuseRun(pending, item, emit, "The request waited too long"));
        started.forEach(item => void execute(item.id));
        if (pending.size === 0) {
            idle.splice(0).forEach(resolve => resolve());
        }
    };
    const execute = async (id: string) => {
        const item = pending.get(id);
        if (item === undefined) {
            return;
        }
        const startedAt = performance.now();
        await executeRun(item, upstream, emit, report);
        serviceMs += ((performance.now() - startedAt) - serviceMs) * 0.1;
        finish(id);
    };
    const report = (): LoadReport => ({
        incarnation: ledger.incarnation,
        tokensInFlight: admission.tokensInFlight,
        requestsInFlight: admission.running.size,
        queued: admission.waiting.length,
        state: ledger.leaving ? "leaving" : "live",
        serviceMs,
    });

    return {
        start: (record, params, weight) => {
            const id = formatId(record);
            const item: Pending = { record, params, abort: new AbortController(), listeners: new Set() };
            pending.set(id, item);
            emit(item, { ...createFrameBase(record), kind: "accepted", incarnation: ledger.incarnation });
            const waiting = createWaiting(id, params, weight);
            const decision = admitRequest(admission, waiting);
            if (decision === "run") {
                void execute(id);
            }
            else if (decision === "refuse") {
                refuseRun(pending, waiting, emit, "The upstream is at its limit");
            }
        },
        cancel: record => {
            const id = formatId(record);
            const item = pending.get(id);
            if (item !== undefined && cancelWaiting(admission, id)) {
                refuseRun(pending, { id }, emit, "The caller has gone");
            }
            item?.abort.abort();
        },
        subscribe: (record, listener) => {
            const item = pending.get(formatId(record));
            item?.listeners.add(listener);
            return () => item?.listeners.delete(listener);
        },
        report,
        drain: () => pending.size === 0 ? Promise.resolve() : new Promise(resolve => idle.push(resolve)),
    };
}

async function executeRun(
    item: Pending,
    upstream: UpstreamClient,
    emit: (item: Pending, frame: Frame) => void,
    report: () => LoadReport,
): Promise<void> {
    const { record, params, abort } = item;
    const deadline = setTimeout(() => abort.abort(), params.deadlineMs);
    let length = 0;
    try {
        const answer = await upstream.run(params, abort.signal);
        emit(item, { ...createFrameBase(record), kind: "head", status: answer.status, headers: answer.headers });
        for await (const chunk of answer.body) {
            length += chunk.length;
            emit(item, { ...createFrameBase(record), kind: "data", data: chunk.toString("latin1") });
        }
        emit(item, { ...createFrameBase(record), kind: "end", length, load: report() });
    }
    catch (error) {
        const outcome = hasNeverConnected(error) ? RunOutcome.notRun : RunOutcome.unknown;
        emit(item, {
            ...createFrameBase(record),
            kind: "failed",
            outcome,
            status: 502,
            title: "The upstream did not finish its answer",
        });
    }
    finally {
        clearTimeout(deadline);
    }
}

/** Whether the error says that no connection was made, so that no byte was sent. */
function hasNeverConnected(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}

function refuseRun(
    pending: Map<string, Pending>,
    { id }: { id: string; },
    emit: (item: Pending, frame: Frame) => void,
    title: string,
): void {
    const item = pending.get(id);
    pending.delete(id);
    if (item !== undefined) {
        emit(item, {
            ...createFrameBase(item.record),
            kind: "failed",
            outcome: RunOutcome.notRun,
            status: 503,
            title,
            retryAfterSeconds: 1 + Math.floor(Math.random() * 4),
        });
    }
}

function createWaiting(id: string, params: RunParams, weight: number): Waiting {
    const { workspace, urgency, tokens } = params;
    return { id, workspace, weight, urgency, tokens, expiresAt: Date.now() + params.deadlineMs / 2 };
}

function createFrameBase(record: RunRecord): { requestId: string; attempt: number; sequence: number; } {
    return { requestId: record.requestId, attempt: record.attempt, sequence: record.frames.length };
}

function formatId(record: RunRecord): string {
    return `${record.requestId}/${record.attempt}`;
}
