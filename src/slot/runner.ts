/** Runs admitted requests at the upstream and records their answers in the ledger. */
import { CallError } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import type { LoadReport } from "../core/types.js";
import {
    type AdmissionState,
    admitRequest,
    cancelWaiting,
    releaseRequest,
    type Waiting,
} from "../routing/admission.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { isOverLimit, type Ledger, noteDelivered, recordFrame, type RunRecord } from "./ledger.js";
import type { UpstreamClient } from "./upstream.js";

export interface Runner {
    /** Starts or queues a run that the ledger has admitted. */
    start: (record: RunRecord, params: RunParams, weight: number) => void;
    /** Stops a run whose caller has gone; returns whether it had not reached the upstream. */
    cancel: (record: RunRecord) => void;
    /** Calls `listener` after every new frame of a record until the returned function is called. */
    subscribe: (record: RunRecord, listener: () => void) => () => void;
    /** Notes that a reader has taken the frames before `sequence`; reading from the upstream goes on. */
    noteDelivered: (record: RunRecord, sequence: number) => void;
    report: () => LoadReport;
    /** Resolves when nothing runs or waits. */
    drain: () => Promise<void>;
}

interface Pending {
    record: RunRecord;
    params: RunParams;
    abort: AbortController;
    listeners: Set<() => void>;
    /** Continues reading from the upstream. */
    wake: (() => void) | undefined;
}

/** What a run needs of its surroundings. */
interface RunContext {
    ledger: Ledger;
    upstream: UpstreamClient;
    emit: (item: Pending, frame: FrameBody) => void;
    report: () => LoadReport;
}

/** Creates a runner over one upstream. */
export function createRunner(ledger: Ledger, admission: AdmissionState, upstream: UpstreamClient): Runner {
    const pending = new Map<string, Pending>();
    const idle: (() => void)[] = [];
    let serviceMs = 0;

    const emit = (item: Pending, body: FrameBody) => {
        const { requestId, attempt, next: sequence } = item.record;
        recordFrame(ledger, item.record, { requestId, attempt, sequence, ...body }, Date.now());
        item.listeners.forEach(listener => listener());
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
        await executeRun(context, item);
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
    const context: RunContext = { ledger, upstream, emit, report };

    return {
        start: (record, params, weight) => {
            const id = formatId(record);
            const item: Pending = {
                record,
                params,
                abort: new AbortController(),
                listeners: new Set(),
                wake: undefined,
            };
            pending.set(id, item);
            emit(item, { kind: "accepted", incarnation: ledger.incarnation });
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
        noteDelivered: (record, sequence) => {
            noteDelivered(ledger, record, sequence);
            pending.forEach(item => item.wake?.());
        },
        report,
        drain: () => pending.size === 0 ? Promise.resolve() : new Promise(resolve => idle.push(resolve)),
    };
}

async function executeRun(context: RunContext, item: Pending): Promise<void> {
    const { upstream, emit, report } = context;
    const { params, abort } = item;
    const deadline = setTimeout(() => abort.abort(), params.deadlineMs);
    const watch = createSilenceWatch(() => abort.abort(new CallError("the upstream is silent")));
    let length = 0;
    try {
        watch.start(upstream.silence.headMs);
        const answer = await upstream.run(params, abort.signal);
        emit(item, { kind: "head", status: answer.status, headers: answer.headers });
        watch.start(upstream.silence.bodyMs);
        for await (const chunk of answer.body) {
            watch.stop();
            length += chunk.length;
            emit(item, { kind: "data", data: chunk.toString("latin1") });
            await waitForRoom(context.ledger, item);
            watch.start(upstream.silence.bodyMs);
        }
        emit(item, { kind: "end", length, load: report() });
    }
    catch (error) {
        const outcome = hasNeverConnected(error) ? RunOutcome.notRun : RunOutcome.unknown;
        const title = "The upstream did not finish its answer";
        emit(item, { kind: "failed", outcome, status: 502, title });
    }
    finally {
        clearTimeout(deadline);
        watch.stop();
    }
}

/** Waits while the answer's buffer is full; throws when the run is aborted meanwhile. */
async function waitForRoom(ledger: Ledger, item: Pending): Promise<void> {
    const { signal } = item.abort;
    while (isOverLimit(ledger, item.record)) {
        await new Promise<void>(resolve => {
            item.wake = resolve;
            signal.addEventListener("abort", () => resolve(), { once: true });
        });
        item.wake = undefined;
        signal.throwIfAborted();
    }
}

/** Calls `onSilence` when a started watch is neither stopped nor started again within its time. */
function createSilenceWatch(onSilence: () => void) {
    let timer: NodeJS.Timeout | undefined;
    const stop = () => clearTimeout(timer);
    return {
        stop,
        start: (limitMs: number | undefined) => {
            stop();
            timer = limitMs === undefined ? undefined : setTimeout(onSilence, limitMs);
        },
    };
}

/** Whether the error says that no connection was made, so that no byte was sent. */
function hasNeverConnected(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}

function refuseRun(
    pending: Map<string, Pending>,
    { id }: { id: string; },
    emit: RunContext["emit"],
    title: string,
): void {
    const item = pending.get(id);
    pending.delete(id);
    if (item !== undefined) {
        emit(item, {
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

function formatId(record: RunRecord): string {
    return `${record.requestId}/${record.attempt}`;
}
