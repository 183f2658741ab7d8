/** Runs one request at the upstream and records its answer frame by frame. */
import { CallError } from "../core/errors.js";
import { type LoadReport, RunOutcome } from "../core/types.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { isBufferFull, type RunRecord, type RunStore } from "./runStore.js";
import type { UpstreamClient } from "./upstream.js";

/** A run that waits or runs. */
export interface ActiveRun {
    record: RunRecord;
    params: RunParams;
    abortController: AbortController;
    listeners: Set<() => void>;
}

/** What a run needs of its surroundings. */
export interface RunContext {
    ledger: RunStore;
    upstream: UpstreamClient;
    emit: (item: ActiveRun, frame: FrameBody) => void;
    report: () => LoadReport;
    /** Wakes the runs that wait until a reader has taken more. */
    resumeCallbacks: Set<() => void>;
}

/** Runs a request; every failure ends as a frame. */
export async function executeRun(context: RunContext, item: ActiveRun): Promise<void> {
    const { upstream, emit, report } = context;
    const { params, abortController: abort } = item;
    const deadline = setTimeout(() => abort.abort(), params.deadlineMs);
    const watch = createIdleTimer(() => {
        upstream.onTimeout();
        abort.abort(new CallError("the upstream is silent"));
    });
    let length = 0;
    try {
        watch.start(upstream.timeouts.headersTimeoutMs);
        const answer = await upstream.run(params, abort.signal);
        emit(item, { kind: "head", status: answer.status, headers: answer.headers });
        watch.start(upstream.timeouts.bodyTimeoutMs);
        for await (const chunk of answer.body) {
            watch.stop();
            length += chunk.length;
            emit(item, { kind: "data", data: chunk.toString("latin1") });
            await waitForBufferSpace(context, item);
            watch.start(upstream.timeouts.bodyTimeoutMs);
        }
        emit(item, { kind: "end", length, load: report() });
    }
    catch (error) {
        const outcome = isConnectFailure(error) ? RunOutcome.notRun : RunOutcome.unknown;
        const title = "The upstream did not finish its answer";
        emit(item, { kind: "failed", outcome, status: 502, title });
    }
    finally {
        clearTimeout(deadline);
        watch.stop();
    }
}

/** Waits while the answer's buffer is full; throws when the run is aborted meanwhile. */
async function waitForBufferSpace({ ledger, resumeCallbacks: paused }: RunContext, item: ActiveRun): Promise<void> {
    const { signal } = item.abortController;
    while (isBufferFull(ledger, item.record)) {
        await new Promise<void>(resolve => {
            const wake = () => {
                paused.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            paused.add(wake);
            signal.addEventListener("abort", wake);
        });
        signal.throwIfAborted();
    }
}

/** Calls `onSilence` when a started watch is neither stopped nor started again within its time. */
function createIdleTimer(onSilence: () => void) {
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
function isConnectFailure(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}
