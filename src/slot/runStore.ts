/**
 * Run store of a slot: records of runs (executions of requests at the upstream), tombstones of revoked runs, and the
 * buffered response of each run.
 * All functions change the given store and return what the caller has to do.
 *
 * The outcome `not-run` is a guarantee. A run with the incarnation of this process either begins at once or is revoked
 * by a tombstone that outlives every copy of the call. A run with the incarnation of an earlier process was sent on a
 * connection to this process, that is, after the earlier one had ended, which therefore cannot have received a copy.
 */
import { RunOutcome } from "../core/types.js";
import type { Frame, ResumeParams, RevokeParams, RunParams } from "../wire/messages.js";

/**
 * Retention time of records of ended runs and of tombstones, in milliseconds. Longer than the time for which a copy of
 * a call is accepted after the call that revokes it, which is twice the validity of the call's signature.
 */
export const recordRetentionMs = 75_000;
/** Time after the end of a run for which its delivered response is retained, in milliseconds. */
export const deliveredResponseRetentionMs = 10_000;

/** Estimated memory of a frame without its data, in bytes. */
const frameOverheadBytes = 256;

/** Limits of a run store. */
export interface RunStoreLimits {
    /** Buffered bytes of one response above which reading from the upstream pauses. */
    responseBytes: number;
    /** Buffered bytes of all responses above which those of ended runs are dropped and reading pauses. */
    totalBytes: number;
    /** Maximum number of records, including tombstones; further runs are refused. */
    records: number;
}

export const defaultRunStoreLimits: RunStoreLimits = {
    responseBytes: 256 * 1024,
    totalBytes: 32 * 1024 * 1024,
    records: 200_000,
};

const RunState = { running: "running", ended: "ended", revoked: "revoked" } as const;
type RunState = (typeof RunState)[keyof typeof RunState];

/** State of a run and its buffered response; a revoked run is a tombstone. */
export interface RunRecord {
    requestId: string;
    attempt: number;
    state: RunState;
    /** Buffered frames, from sequence `first`. */
    frames: Frame[];
    /** Sequence of the oldest buffered frame; earlier ones have been dropped. */
    first: number;
    /** Sequence of the next frame. */
    next: number;
    /** Sequence of the first frame that has not been delivered to a reader. */
    delivered: number;
    /** Estimated memory of the buffered frames, in bytes. */
    bufferedBytes: number;
    /** Time at which the record of a run that has ended or was revoked expires, Unix time in milliseconds. */
    expiresAt: number;
    /** Whether the run has an idempotency key, with which its response may be requested again. */
    hasIdempotencyKey: boolean;
}

/** Run records and buffered responses of one process. */
export interface RunStore {
    /** Incarnation of this process. */
    incarnation: string;
    /** Whether the slot is leaving and refuses new runs. */
    leaving: boolean;
    limits: RunStoreLimits;
    /** Records by request id and attempt. */
    records: Map<string, RunRecord>;
    /** Ended runs whose responses are kept, in the order in which they ended. */
    endedResponses: Set<RunRecord>;
    /** Estimated memory of all buffered frames, in bytes. */
    bufferedBytes: number;
}

export type BeginResult =
    | { kind: "begin"; record: RunRecord; }
    /** Another copy of a run that has begun; it receives the same response. */
    | { kind: "replay"; record: RunRecord; }
    | { kind: "refuse"; title: string; status: number; };

export type ResumeResult =
    | { kind: "replay"; record: RunRecord; }
    | { kind: "refuse"; outcome: RunOutcome; title: string; };

/** Creates the empty store of a process that has just started. */
export function createRunStore(incarnation: string, limits = defaultRunStoreLimits): RunStore {
    return { incarnation, leaving: false, limits, records: new Map(), endedResponses: new Set(), bufferedBytes: 0 };
}

/** Begins the first copy of a run; refuses revoked runs and runs for another process. */
export function beginRun(store: RunStore, params: RunParams, now: number): BeginResult {
    if (params.incarnation === undefined) {
        return { kind: "refuse", status: 503, title: "The run names no incarnation of the slot" };
    }
    if (params.incarnation !== store.incarnation) {
        return { kind: "refuse", status: 503, title: "The slot has restarted" };
    }
    const runId = formatRunId(params.requestId, params.attempt);
    const existing = store.records.get(runId);
    if (existing !== undefined) {
        return existing.state === RunState.revoked ?
            { kind: "refuse", status: 409, title: "The run was revoked" } :
            { kind: "replay", record: existing };
    }
    if (store.records.size >= store.limits.records) {
        return { kind: "refuse", status: 503, title: "The slot keeps too many records" };
    }
    const record = createRecord(params.requestId, params.attempt, RunState.running, now);
    record.hasIdempotencyKey = params.idempotencyKey !== undefined;
    store.records.set(runId, record);
    if (store.leaving) {
        record.state = RunState.revoked;
        return { kind: "refuse", status: 503, title: "The upstream is leaving" };
    }
    return { kind: "begin", record };
}

/** Finds the response to replay; revokes a run that has not arrived, so that a late copy is refused. */
export function resumeRun(store: RunStore, params: ResumeParams, now: number): ResumeResult {
    const record = store.records.get(formatRunId(params.requestId, params.attempt));
    if (record === undefined || record.state === RunState.revoked) {
        return { kind: "refuse", outcome: revokeRun(store, params, now), title: "The slot does not know the run" };
    }
    return params.nextSequence < record.first ?
        { kind: "refuse", outcome: RunOutcome.unknown, title: "The slot no longer keeps this part of the answer" } :
        { kind: "replay", record };
}

/** Revokes a run with a tombstone unless it has begun; returns the known outcome. */
export function revokeRun(store: RunStore, params: RevokeParams, now: number): RunOutcome {
    if (params.incarnation !== store.incarnation) {
        return RunOutcome.unknown;
    }
    const runId = formatRunId(params.requestId, params.attempt);
    const record = store.records.get(runId);
    if (record !== undefined && record.state !== RunState.revoked) {
        return getOutcome(record);
    }
    if (record === undefined && store.records.size >= store.limits.records) {
        return RunOutcome.unknown;
    }
    store.records.set(runId, createRecord(params.requestId, params.attempt, RunState.revoked, now));
    return RunOutcome.notRun;
}

/** Appends a frame to the response of a run and drops frames above the limits. */
export function recordFrame(store: RunStore, record: RunRecord, frame: Frame, now: number): void {
    const size = measureFrame(frame);
    record.frames.push(frame);
    record.next += 1;
    record.bufferedBytes += size;
    store.bufferedBytes += size;
    if (frame.kind === "end" || frame.kind === "failed") {
        record.state = RunState.ended;
        record.expiresAt = now + recordRetentionMs;
        store.endedResponses.add(record);
    }
    dropDeliveredFrames(store, record);
    if (store.bufferedBytes > store.limits.totalBytes) {
        dropEndedResponses(store);
    }
}

/** Records that the frames before `sequence` have been delivered to a reader. */
export function acknowledgeFrames(store: RunStore, record: RunRecord, sequence: number): void {
    record.delivered = Math.max(record.delivered, sequence);
    dropDeliveredFrames(store, record);
}

/** Whether reading from the upstream must pause until more of the response has been delivered. */
export function isBufferFull(store: RunStore, record: RunRecord): boolean {
    const isTotalExceeded = store.bufferedBytes > store.limits.totalBytes && record.bufferedBytes > 0;
    return isTotalExceeded || record.bufferedBytes > store.limits.responseBytes;
}

/** Returns the buffered frames of a record from `sequence`. */
export function selectFrames(record: RunRecord, sequence: number): Frame[] {
    return record.frames.slice(Math.max(0, sequence - record.first));
}

/** Drops responses whose retention after delivery is over, then expired records; running runs never expire. */
export function expireRecords(store: RunStore, now: number): void {
    for (const record of store.endedResponses) {
        const endedAt = record.expiresAt - recordRetentionMs;
        if (endedAt + deliveredResponseRetentionMs > now) {
            break;
        }
        if (!record.hasIdempotencyKey && record.delivered === record.next) {
            dropResponse(store, record);
        }
    }
    for (const [runId, record] of store.records) {
        if (record.state !== RunState.running && record.expiresAt <= now) {
            dropResponse(store, record);
            store.records.delete(runId);
        }
    }
}

/**
 * Drops delivered frames above half of the response's limit, so that a reader can resume from recent ones; drops all of
 * them while the total exceeds its limit.
 */
function dropDeliveredFrames(store: RunStore, record: RunRecord): void {
    const limit = store.bufferedBytes > store.limits.totalBytes ? 0 : store.limits.responseBytes / 2;
    while (record.bufferedBytes > limit && record.first < record.delivered) {
        dropFirstFrame(store, record);
    }
}

/** Drops the responses of ended runs, oldest first, until the total is within its limit. */
function dropEndedResponses(store: RunStore): void {
    for (const record of store.endedResponses) {
        if (store.bufferedBytes <= store.limits.totalBytes) {
            return;
        }
        dropResponse(store, record);
    }
}

/** Drops the response of an ended run except for a final `failed` frame. */
export function dropResponse(store: RunStore, record: RunRecord): void {
    const last = record.frames[record.frames.length - 1];
    store.endedResponses.delete(record);
    store.bufferedBytes -= record.bufferedBytes;
    record.bufferedBytes = 0;
    record.frames = last?.kind === "failed" ? [last] : [];
    record.first = record.next - record.frames.length;
}

function dropFirstFrame(store: RunStore, record: RunRecord): void {
    const size = measureFrame(record.frames.shift()!);
    record.first += 1;
    record.bufferedBytes -= size;
    store.bufferedBytes -= size;
}

function measureFrame(frame: Frame): number {
    return frameOverheadBytes + (frame.kind === "data" ? frame.data.length : 0);
}

/** Returns the known outcome of a run that has begun. */
function getOutcome(record: RunRecord): RunOutcome {
    const last = record.frames[record.frames.length - 1];
    return last?.kind === "failed" ? last.outcome : RunOutcome.run;
}

function createRecord(requestId: string, attempt: number, state: RunState, now: number): RunRecord {
    return {
        requestId,
        attempt,
        state,
        frames: [],
        first: 0,
        next: 0,
        delivered: 0,
        bufferedBytes: 0,
        expiresAt: now + recordRetentionMs,
        hasIdempotencyKey: false,
    };
}

function formatRunId(requestId: string, attempt: number): string {
    return `${requestId}/${attempt}`;
}
