/**
 * Run records of a slot: which request ran, which was refused for good, and the buffered answer of each.
 * All functions change the given ledger and return what the caller has to do.
 *
 * A `not-run` from here is a proof. A run that names this process is either begun at once or revoked by a
 * tombstone that outlives every copy of it. A run that names an earlier process was sent on a connection to this
 * process, hence after the earlier one had ended, which therefore can't have received a copy of it.
 */
import { RunOutcome } from "../core/types.js";
import type { Frame, ResumeParams, RevokeParams, RunParams } from "../wire/messages.js";

/**
 * How long the record of an ended run or a tombstone is kept, in milliseconds. Longer than the time for which a copy of a
 * call is accepted after the call that revokes it, which is twice the window of the call's signature.
 */
export const recordRetentionMs = 75_000;
/** How long the answer of an ended run is kept after a reader has taken it, in milliseconds. */
export const deliveredResponseRetentionMs = 10_000;

/** Memory of a frame beside its data, in bytes. */
const frameOverheadBytes = 256;

export interface RunStoreLimits {
    /** Bytes of one answer that wait for a reader before reading from the upstream pauses. */
    responseBytes: number;
    /** Bytes of all answers before those of ended runs are dropped and reading pauses. */
    totalBytes: number;
    /** Records, tombstones included, before new runs are refused. */
    records: number;
}

export const defaultRunStoreLimits: RunStoreLimits = {
    responseBytes: 1024 * 1024,
    totalBytes: 64 * 1024 * 1024,
    records: 200_000,
};

const RunState = { running: "running", ended: "ended", revoked: "revoked" } as const;
type RunState = (typeof RunState)[keyof typeof RunState];

export interface RunRecord {
    requestId: string;
    attempt: number;
    state: RunState;
    /** Frames from sequence `first` on. */
    frames: Frame[];
    /** Sequence of the oldest frame that is kept; earlier ones have been delivered and dropped. */
    first: number;
    /** Sequence of the next frame. */
    next: number;
    /** Sequence up to which a reader has taken the frames. */
    delivered: number;
    bufferedBytes: number;
    expiresAt: number;
    /** Whether the run has a key, by which its answer may be asked for again. */
    hasIdempotencyKey: boolean;
}

export interface RunStore {
    incarnation: string;
    leaving: boolean;
    limits: RunStoreLimits;
    records: Map<string, RunRecord>;
    /** Ended runs whose answers are kept, in the order of their ends. */
    endedResponses: Set<RunRecord>;
    /** Bytes of all buffered answers. */
    bufferedBytes: number;
}

export type BeginResult =
    | { kind: "begin"; record: RunRecord; }
    /** A further copy of a run that has begun: it gets the answer of the first. */
    | { kind: "replay"; record: RunRecord; }
    | { kind: "refuse"; title: string; status: number; };

export type ResumeResult =
    | { kind: "replay"; record: RunRecord; }
    | { kind: "refuse"; outcome: RunOutcome; title: string; };

/** Creates an empty ledger for a process that has just started. */
export function createRunStore(incarnation: string, limits = defaultRunStoreLimits): RunStore {
    return { incarnation, leaving: false, limits, records: new Map(), endedResponses: new Set(), bufferedBytes: 0 };
}

/** Admits the first copy of a run; refuses revoked runs and runs that are not meant for this process. */
export function beginRun(ledger: RunStore, params: RunParams, now: number): BeginResult {
    if (params.incarnation === undefined) {
        return { kind: "refuse", status: 503, title: "The run names no incarnation of the slot" };
    }
    if (params.incarnation !== ledger.incarnation) {
        return { kind: "refuse", status: 503, title: "The slot has restarted" };
    }
    const key = formatRunId(params.requestId, params.attempt);
    const known = ledger.records.get(key);
    if (known !== undefined) {
        return known.state === RunState.revoked ?
            { kind: "refuse", status: 409, title: "The run was revoked" } :
            { kind: "replay", record: known };
    }
    if (ledger.records.size >= ledger.limits.records) {
        return { kind: "refuse", status: 503, title: "The slot keeps too many records" };
    }
    const record = createRecord(params.requestId, params.attempt, RunState.running, now);
    record.hasIdempotencyKey = params.idempotencyKey !== undefined;
    ledger.records.set(key, record);
    if (ledger.leaving) {
        record.state = RunState.revoked;
        return { kind: "refuse", status: 503, title: "The upstream is leaving" };
    }
    return { kind: "begin", record };
}

/** Finds the answer to replay; a run that never arrived is revoked, so that a late copy is refused too. */
export function resumeRun(ledger: RunStore, params: ResumeParams, now: number): ResumeResult {
    const record = ledger.records.get(formatRunId(params.requestId, params.attempt));
    if (record === undefined || record.state === RunState.revoked) {
        return { kind: "refuse", outcome: revokeRun(ledger, params, now), title: "The slot does not know the run" };
    }
    return params.nextSequence < record.first ?
        { kind: "refuse", outcome: RunOutcome.unknown, title: "The slot no longer keeps this part of the answer" } :
        { kind: "replay", record };
}

/** Revokes a run unless it has begun; leaves a tombstone and tells what is known. */
export function revokeRun(ledger: RunStore, params: RevokeParams, now: number): RunOutcome {
    if (params.incarnation !== ledger.incarnation) {
        return RunOutcome.unknown;
    }
    const key = formatRunId(params.requestId, params.attempt);
    const record = ledger.records.get(key);
    if (record !== undefined && record.state !== RunState.revoked) {
        return getOutcome(record);
    }
    if (record === undefined && ledger.records.size >= ledger.limits.records) {
        return RunOutcome.unknown;
    }
    ledger.records.set(key, createRecord(params.requestId, params.attempt, RunState.revoked, now));
    return RunOutcome.notRun;
}

/** Appends a frame to a record's answer and drops what is past the limits. */
export function recordFrame(ledger: RunStore, record: RunRecord, frame: Frame, now: number): void {
    const size = measureFrame(frame);
    record.frames.push(frame);
    record.next += 1;
    record.bufferedBytes += size;
    ledger.bufferedBytes += size;
    if (frame.kind === "end" || frame.kind === "failed") {
        record.state = RunState.ended;
        record.expiresAt = now + recordRetentionMs;
        ledger.endedResponses.add(record);
    }
    dropDeliveredFrames(ledger, record);
    if (ledger.bufferedBytes > ledger.limits.totalBytes) {
        dropEndedResponses(ledger);
    }
}

/** Notes that a reader has taken the frames before `sequence`. */
export function acknowledgeFrames(ledger: RunStore, record: RunRecord, sequence: number): void {
    record.delivered = Math.max(record.delivered, sequence);
    dropDeliveredFrames(ledger, record);
}

/** Whether reading from the upstream has to wait until a reader has taken more of the answer. */
export function isBufferFull(ledger: RunStore, record: RunRecord): boolean {
    const total = ledger.bufferedBytes > ledger.limits.totalBytes && record.bufferedBytes > 0;
    return total || record.bufferedBytes > ledger.limits.responseBytes;
}

/** Frames of a record from `sequence` on. */
export function selectFrames(record: RunRecord, sequence: number): Frame[] {
    return record.frames.slice(Math.max(0, sequence - record.first));
}

/** Drops what has expired: answers that were delivered a while ago, then records; running ones never do. */
export function expireRecords(ledger: RunStore, now: number): void {
    for (const record of ledger.endedResponses) {
        const endedAt = record.expiresAt - recordRetentionMs;
        if (endedAt + deliveredResponseRetentionMs > now) {
            break;
        }
        if (!record.hasIdempotencyKey && record.delivered === record.next) {
            dropResponse(ledger, record);
        }
    }
    for (const [key, record] of ledger.records) {
        if (record.state !== RunState.running && record.expiresAt <= now) {
            dropResponse(ledger, record);
            ledger.records.delete(key);
        }
    }
}

/** Drops delivered frames while the record holds more than half of its limit, so that recent ones can be resumed. */
function dropDeliveredFrames(ledger: RunStore, record: RunRecord): void {
    const limit = ledger.bufferedBytes > ledger.limits.totalBytes ? 0 : ledger.limits.responseBytes / 2;
    while (record.bufferedBytes > limit && record.first < record.delivered) {
        dropFirstFrame(ledger, record);
    }
}

/** Drops the answers of ended runs, oldest first, until the total is within its limit. */
function dropEndedResponses(ledger: RunStore): void {
    for (const record of ledger.endedResponses) {
        if (ledger.bufferedBytes <= ledger.limits.totalBytes) {
            return;
        }
        dropResponse(ledger, record);
    }
}

/** Drops the answer of an ended run, but for the frame that says how it failed. */
function dropResponse(ledger: RunStore, record: RunRecord): void {
    const last = record.frames[record.frames.length - 1];
    ledger.endedResponses.delete(record);
    ledger.bufferedBytes -= record.bufferedBytes;
    record.bufferedBytes = 0;
    record.frames = last?.kind === "failed" ? [last] : [];
    record.first = record.next - record.frames.length;
}

function dropFirstFrame(ledger: RunStore, record: RunRecord): void {
    const size = measureFrame(record.frames.shift()!);
    record.first += 1;
    record.bufferedBytes -= size;
    ledger.bufferedBytes -= size;
}

function measureFrame(frame: Frame): number {
    return frameOverheadBytes + (frame.kind === "data" ? frame.data.length : 0);
}

/** What is known about a run that has begun. */
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
