/** One attempt of a request at an upstream, from sending it to the end of its connection. */
import { isSilent } from "../routing/upstreamSilence.js";
import {
    recordConnection,
    recordRefusedConnection,
    recordSent,
    type TrackedUpstream,
} from "../routing/upstreamTracker.js";
import { unpackFields } from "../wire/packedFields.js";
import { type AttemptObserver, observeAttempt } from "./attemptObserver.js";
import type { DirectContext } from "./context.js";
import type { HeldResponse } from "./responseRelay.js";
import type { AttemptRecord, DirectRequest, ResponseHead } from "./types.js";
import { callUpstream, type UpstreamCall, type UpstreamListener } from "./upstreamCall.js";

export interface UpstreamRun {
    /** Undefined until the request is sent. */
    call: UpstreamCall | undefined;
    readonly upstream: TrackedUpstream;
    readonly observer: AttemptObserver;
    readonly record: AttemptRecord;
    /** Time at which the request was sent, in milliseconds. */
    readonly sentAt: number;
    /** Records the end of the attempt for the load estimate. */
    readonly recordEnd: (endedAt: number) => void;
}

/** Run of a silent stream that is kept open until another run continues the stream. */
export interface HeldRun {
    run: UpstreamRun;
    response: HeldResponse;
}

/** Records that a request is being sent to an upstream, at which `estimated` requests are assumed. */
export function beginRun(
    context: DirectContext,
    request: DirectRequest,
    upstream: TrackedUpstream,
    estimated: number,
): UpstreamRun {
    const { record: { id }, load } = upstream;
    const now = context.now();
    const figuresAgeMs = load === undefined ? undefined : Math.round(now - load.observedAt);
    return {
        call: undefined,
        upstream,
        observer: observeAttempt(context, request, upstream.record),
        record: { upstream: id, estimated, figuresAgeMs },
        sentAt: now,
        recordEnd: recordSent(context.upstreamTracker, id, now),
    };
}

/** Opens the connection of a run and sends the request; `lastEventId` is the last event of its stream that the caller has. */
export function openRun(
    context: DirectContext,
    request: DirectRequest,
    run: UpstreamRun,
    lastEventId: string | undefined,
    listener: UpstreamListener,
): void {
    const { record } = run.upstream;
    run.call = callUpstream({
        target: record,
        method: request.method,
        path: request.target,
        encodeHeaders: () => encodeRequestHead(context, request, record.id, lastEventId),
        body: request.body,
        onSocket: context.connections.trackUpstream,
        listener,
    });
}

/** Whether a run that has been idle may have lost its upstream or, if it is a stream, its connection. */
export function isRunSilent(
    context: DirectContext,
    request: DirectRequest,
    { upstream }: UpstreamRun,
    isStream: boolean,
): boolean {
    const isStreamSilent = isStream && !context.isPoolStalled(request.pool) && !context.isStopping();
    return isStreamSilent || isSilent(context.upstreamTracker, upstream);
}

/** Records that the upstream has accepted the connection of a run. */
export function recordRunConnection(
    { upstreamTracker, now }: DirectContext,
    { upstream }: Pick<UpstreamRun, "upstream">,
): void {
    recordConnection(upstreamTracker, upstream.record.id, now());
}

/** Error code of a connect that the upstream's machine has refused. */
const refusalCode = "ECONNREFUSED";

/**
 * Records that the connection of a run has failed. Returns what resolves once it is known whether the upstream has crashed;
 * undefined if that is not in question.
 */
export function recordRunFailure(
    { upstreamTracker, now }: DirectContext,
    { upstream, observer }: UpstreamRun,
    isConnected: boolean,
    code: string | undefined,
): Promise<void> | undefined {
    if (!isConnected && code === refusalCode) {
        recordRefusedConnection(upstreamTracker, upstream.record.id, now());
    }
    return isConnected ? observer.recordBreak() : undefined;
}

/** Records what the upstream of a run reports of itself in a response. */
export function recordReports(
    context: DirectContext,
    { upstream: { record } }: UpstreamRun,
    { load, rateLimitValues }: ResponseHead,
): void {
    context.observeRateLimit(record, rateLimitValues);
    if (load !== undefined) {
        context.updateLoad(record.id, load);
    }
}

/** Closes the connection of a run that is open and records its end, with the reason if there is one. */
export function endRun({ call, record, sentAt, recordEnd }: UpstreamRun, endedAt: number, reason?: string): void {
    call?.cancel();
    record.end ??= reason;
    record.ms = Math.round(endedAt - sentAt);
    recordEnd(endedAt);
}

/** Encodes the head of a request to an upstream; `lastEventId` is the last event of its stream that the caller has. */
function encodeRequestHead(
    context: DirectContext,
    request: DirectRequest,
    upstream: string,
    lastEventId: string | undefined,
): string[] {
    const now = context.now();
    const hasBody = request.body.length > 0 || request.method === "POST" || request.method === "PUT";
    const { forwardedFields, ...head } = request.head;
    return context.codec.encodeUpstreamHead({ ...head, forwardedHeaders: unpackFields(forwardedFields) }, {
        upstream,
        timeoutMs: request.deadlineAt - now,
        workspace: request.workspace?.name,
        urgency: context.computeUrgency(request, now),
        lastEventId,
        bodyLength: hasBody ? request.body.length : undefined,
    });
}
