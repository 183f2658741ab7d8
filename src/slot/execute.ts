/** Runs one request at the upstream and records the response frame by frame. */
import { CallError } from "../core/errors.js";
import { type LoadReport, RunOutcome } from "../core/types.js";
import { createEventScanner, isEventStreamType, isLastEventId } from "../wire/eventStream.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { findTruncation } from "../wire/responseCompletion.js";
import { isBufferFull, type RunRecord, type RunStore } from "./runStore.js";
import type { UpstreamClient, UpstreamResponse } from "./upstream.js";

/** A run that is queued or in progress. */
export interface ActiveRun {
    record: RunRecord;
    params: RunParams;
    abortController: AbortController;
    /** Called after each new frame. */
    listeners: Set<() => void>;
}

/** Dependencies of a run. */
export interface RunContext {
    store: RunStore;
    upstream: UpstreamClient;
    /** Records a frame and notifies the listeners of the run. */
    emit: (run: ActiveRun, frame: FrameBody) => void;
    /** Returns the current load of the slot. */
    report: () => LoadReport;
    /** Records what the head of a response says of the upstream; returns whether it asks for a pause. */
    observeResponse: (run: ActiveRun, response: UpstreamResponse) => boolean;
    /** Wake the runs that wait for space in their buffers. */
    resumeCallbacks: Set<() => void>;
}

/** Header in which a caller names the last event that it has, in lower case. */
const lastEventIdHeader = "last-event-id";

/** Failure of a run that may be repeated at another slot, as its upstream has answered 503 and asked for a pause. */
const pauseFailure = {
    outcome: RunOutcome.unknown,
    status: 503,
    title: "The upstream asks for a pause",
    isPaused: true,
} as const;

/** Runs a request; a failure is recorded as a `failed` frame and does not reject. */
export async function executeRun(context: RunContext, run: ActiveRun): Promise<void> {
    const { upstream, emit, report } = context;
    const { params, abortController } = run;
    const deadlineTimer = setTimeout(() => abortController.abort(), params.deadlineMs);
    const idleTimer = createIdleTimer(() => {
        upstream.onTimeout();
        abortController.abort(new CallError("the upstream timed out"));
    });
    let length = 0;
    try {
        idleTimer.start(upstream.timeouts.headersTimeoutMs);
        const response = await upstream.run(params, abortController.signal);
        if (context.observeResponse(run, response) && params.idempotent) {
            response.discard();
            emit(run, { kind: "failed", ...pauseFailure, load: report() });
            return;
        }
        emit(run, { kind: "head", status: response.status, headers: response.headers });
        const contentType = [response.headers["content-type"]].flat()[0];
        const scanner = isEventStreamType(contentType) ? createEventScanner() : undefined;
        idleTimer.start(upstream.timeouts.bodyTimeoutMs);
        for await (const chunk of response.body) {
            idleTimer.stop();
            length += chunk.length;
            scanner?.push(chunk);
            emit(run, { kind: "data", data: chunk.toString("latin1") });
            await waitForBufferSpace(context, run);
            abortController.signal.throwIfAborted();
            idleTimer.start(upstream.timeouts.bodyTimeoutMs);
        }
        const requiresEvent = isSuccess(response.status) && !isLastEventId(params.headers[lastEventIdHeader]);
        const truncation = findTruncation({ framing: response.framing, scanner, requiresEvent });
        if (truncation !== undefined) {
            throw new CallError(truncation);
        }
        emit(run, { kind: "end", length, load: report() });
    }
    catch (error) {
        const outcome = isConnectFailure(error) ? RunOutcome.notRun : RunOutcome.unknown;
        const title = "The upstream did not finish its answer";
        const mayHaveCrashed = outcome === RunOutcome.unknown && !abortController.signal.aborted;
        const crash = mayHaveCrashed ? await upstream.findCrash?.() : undefined;
        emit(run, { kind: "failed", outcome, status: 502, title, crash });
    }
    finally {
        clearTimeout(deadlineTimer);
        idleTimer.stop();
    }
}

/** Waits while the buffer of the response is full, unless the run is aborted. */
export async function waitForBufferSpace({ store, resumeCallbacks }: RunContext, run: ActiveRun): Promise<void> {
    const { signal } = run.abortController;
    while (!signal.aborted && isBufferFull(store, run.record)) {
        await new Promise<void>(resolve => {
            const wake = () => {
                resumeCallbacks.delete(wake);
                signal.removeEventListener("abort", wake);
                resolve();
            };
            resumeCallbacks.add(wake);
            signal.addEventListener("abort", wake);
        });
    }
}

/** Creates a timer that calls `onTimeout` unless it is stopped or restarted in time. */
function createIdleTimer(onTimeout: () => void) {
    let timer: NodeJS.Timeout | undefined;
    const stop = () => clearTimeout(timer);
    return {
        stop,
        start: (timeoutMs: number | undefined) => {
            stop();
            timer = timeoutMs === undefined ? undefined : setTimeout(onTimeout, timeoutMs);
        },
    };
}

/** Whether no connection was established, so that the upstream cannot have received any of the request. */
function isConnectFailure(error: unknown): boolean {
    const code = (error as { code?: string; }).code;
    return code === "ECONNREFUSED" || code === "UND_ERR_CONNECT_TIMEOUT" || code === "EHOSTUNREACH";
}

function isSuccess(status: number): boolean {
    return status >= 200 && status < 300;
}
