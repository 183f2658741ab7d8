/**
 * Run records of a slot: which request ran, which was refused for good, and the buffered answer of each.
 * All functions change the given ledger and return what the caller has to do.
 */
import { RunOutcome } from "../core/types.js";
import type { Frame, ResumeParams, RevokeParams, RunParams } from "../wire/messages.js";

/** How long a finished answer or a tombstone is kept, in milliseconds. */
export const retentionMs = 120_000;

const RunState = { running: "running", ended: "ended", revoked: "revoked" } as const;
type RunState = (typeof RunState)[keyof typeof RunState];

export interface RunRecord {
    requestId: string;
    attempt: number;
    state: RunState;
    /** Frames from sequence 0 on. */
    frames: Frame[];
    bytes: number;
    expiresAt: number;
}

export interface Ledger {
    incarnation: string;
    leaving: boolean;
    records: Map<string, RunRecord>;
}

export type BeginResult =
    | { kind: "begin"; record: RunRecord; }
    | { kind: "refuse"; title: string; status: number; };

export type ResumeResult =
    | { kind: "replay"; record: RunRecord; }
    | { kind: "refuse"; outcome: RunOutcome; };

/** Creates an empty ledger for a process that has just started. */
export function createLedger(incarnation: string): Ledger {
    return { incarnation, leaving: false, records: new Map() };
}

/** Admits the first copy of a run; refuses copies, revoked runs and runs meant for an earlier process. */
export function beginRun(ledger: Ledger, params: RunParams, now: number): BeginResult {
    if (params.incarnation !== undefined && params.incarnation !== ledger.incarnation) {
        return { kind: "refuse", status: 503, title: "The slot has restarted" };
    }
    if (ledger.leaving) {
        return { kind: "refuse", status: 503, title: "The upstream is leaving" };
    }
    const key = formatRunKey(params.requestId, params.attempt);
    if (ledger.records.has(key)) {
        return { kind: "refuse", status: 409, title: "The run is already known" };
    }
    const record = createRecord(params.requestId, params.attempt, RunState.running, now);
    ledger.records.set(key, record);
    return { kind: "begin", record };
}

/** Finds the answer to replay; a run that never arrived is revoked, so that a late copy is refused too. */
export function resumeRun(ledger: Ledger, params: ResumeParams, now: number): ResumeResult {
    const record = ledger.records.get(formatRunKey(params.requestId, params.attempt));
    if (record !== undefined && record.state !== RunState.revoked) {
        return { kind: "replay", record };
    }
    return { kind: "refuse", outcome: revokeRun(ledger, params, now) };
}

/** Revokes a run unless it has begun; leaves a tombstone and tells what is known. */
export function revokeRun(ledger: Ledger, params: RevokeParams, now: number): RunOutcome {
    const key = formatRunKey(params.requestId, params.attempt);
    const record = ledger.records.get(key);
    if (record !== undefined && record.state !== RunState.revoked) {
        return RunOutcome.run;
    }
    ledger.records.set(key, createRecord(params.requestId, params.attempt, RunState.revoked, now));
    return params.incarnation === ledger.incarnation ? RunOutcome.notRun : RunOutcome.unknown;
}

/** Appends a frame to a record's answer. */
export function recordFrame(record: RunRecord, frame: Frame, now: number): void {
    record.frames.push(frame);
    record.bytes += frame.kind === "data" ? frame.data.length : 0;
    if (frame.kind === "end" || frame.kind === "failed") {
        record.state = RunState.ended;
        record.expiresAt = now + retentionMs;
    }
}

/** Drops records that have expired; running ones never do. */
export function expireRecords(ledger: Ledger, now: number): void {
    for (const [key, record] of ledger.records) {
        if (record.state !== RunState.running && record.expiresAt <= now) {
            ledger.records.delete(key);
        }
    }
}

function createRecord(requestId: string, attempt: number, state: RunState, now: number): RunRecord {
    return { requestId, attempt, state, frames: [], bytes: 0, expiresAt: now + retentionMs };
}

function formatRunKey(requestId: string, attempt: number): string {
    return `${requestId}/${attempt}`;
}
