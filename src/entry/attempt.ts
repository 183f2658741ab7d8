/**
 * Decides how a request proceeds: which slot it goes to, when its answer is resumed,
 * when it may be tried elsewhere and what its caller is told at the end.
 */
import { RunOutcome } from "../core/types.js";
import type { Frame } from "../wire/messages.js";

export const maxAttempts = 3;
const maxResumes = 3;

/** Why a request is tried again. */
export const RetryReason = {
    refused: "refused",
    /** The slot proved that the request had not reached it. */
    neverArrived: "never-arrived",
    unreachable: "unreachable",
    lost: "lost",
} as const;
export type RetryReason = (typeof RetryReason)[keyof typeof RetryReason];

const Phase = { choosing: "choosing", waiting: "waiting", streaming: "streaming", done: "done" } as const;
type Phase = (typeof Phase)[keyof typeof Phase];

export interface AttemptState {
    phase: Phase;
    attempt: number;
    /** Sequence number of the next frame wanted. */
    nextSequence: number;
    bodyLength: number;
    resumes: number;
    /** Whether a connection to the slot of the present attempt may have carried the run. */
    mayHaveReachedSlot: boolean;
    /** Whether part of the answer has reached the caller. */
    responseStarted: boolean;
    idempotent: boolean;
    /** Time by which the answer has to be complete, in milliseconds. */
    deadline: number;
    /** Whether an earlier attempt may have run. */
    earlierAttemptMayHaveRun: boolean;
    /** Frames of other requests are dropped; without it, frames count as this request's. */
    requestId?: string;
}

export type AttemptEvent =
    | { kind: "chosen"; }
    | { kind: "no-candidate"; retryAfterSeconds?: number; }
    | { kind: "frame"; frame: Frame; }
    /** The connection broke, was silent too long or carried something unreadable. */
    | { kind: "broken"; }
    /** A connection to the slot could not be made, so that nothing was sent. */
    | { kind: "unreachable"; }
    /** The retry budget does not admit the attempt that was about to begin. */
    | { kind: "retry-refused"; retryAfterSeconds: number; }
    | { kind: "deadline"; }
    | { kind: "caller-gone"; };

export type AttemptAction =
    | { kind: "choose"; }
    | { kind: "send"; }
    | { kind: "resume"; nextSequence: number; }
    | { kind: "relay"; frame: Frame; }
    | { kind: "drop"; }
    | { kind: "retry"; reason: RetryReason; }
    /** Tells the slot that nobody waits for the answer. */
    | { kind: "cancel"; }
    | { kind: "finish"; }
    /** Ends the answer with an error, or breaks it visibly when it has begun. */
    | { kind: "fail"; outcome: RunOutcome; status: number; title: string; retryAfterSeconds?: number; };

/** Creates the state of a request that has no upstream yet. */
export function createAttemptState(idempotent: boolean, deadline: number, requestId?: string): AttemptState {
    return {
        phase: Phase.choosing,
        attempt: 1,
        nextSequence: 0,
        bodyLength: 0,
        resumes: 0,
        mayHaveReachedSlot: false,
        responseStarted: false,
        idempotent,
        deadline,
        earlierAttemptMayHaveRun: false,
        requestId,
    };
}

type Handlers = {
    [K in AttemptEvent["kind"]]: (
        state: AttemptState,
        event: Extract<AttemptEvent, { kind: K; }>,
        now: number,
    ) => AttemptAction[];
};

const handlers: Handlers = {
    chosen: state => {
        state.phase = Phase.waiting;
        return [{ kind: "send" }];
    },
    "no-candidate": (state, event) =>
        failRequest(state, RunOutcome.notRun, 503, "No upstream is available", event.retryAfterSeconds ?? 2),
    frame: (state, event, now) => handleFrame(state, event.frame, now),
    broken: (state, event, now) => handleBrokenStream(state, now),
    unreachable: (state, event, now) =>
        state.mayHaveReachedSlot ?
            handleBrokenStream(state, now) :
            retryOnOtherSlot(state, RunOutcome.notRun, now, RetryReason.unreachable, 502, "The slot cannot be reached"),
    "retry-refused": (state, event) =>
        failRequest(state, RunOutcome.notRun, 503, "Too many requests are being retried", event.retryAfterSeconds),
    deadline: state => {
        const outcome = state.phase === Phase.choosing ? RunOutcome.notRun : RunOutcome.unknown;
        return failRequest(state, outcome, 504, "The deadline has passed");
    },
    "caller-gone": state => {
        const sent = state.phase !== Phase.choosing;
        state.phase = Phase.done;
        return sent ? [{ kind: "cancel" }] : [];
    },
};

/** Applies an event to the state and returns what to do, in order. */
export function advanceAttempt(state: AttemptState, event: AttemptEvent, now: number): AttemptAction[] {
    if (state.phase === Phase.done) {
        return event.kind === "frame" ? [{ kind: "drop" }] : [];
    }
    return handlers[event.kind](state, event as never, now);
}

function handleFrame(state: AttemptState, frame: Frame, now: number): AttemptAction[] {
    if (isStaleFrame(state, frame)) {
        return [{ kind: "drop" }];
    }
    state.mayHaveReachedSlot = true;
    if (frame.kind === "keepalive") {
        return frame.sequence > state.nextSequence ? handleBrokenStream(state, now) : [];
    }
    if (frame.kind === "failed") {
        return handleFailedFrame(state, frame, now);
    }
    if (frame.sequence > state.nextSequence) {
        return handleBrokenStream(state, now);
    }
    state.nextSequence += 1;
    state.resumes = 0;
    return applyFrame(state, frame);
}

/** Whether a frame belongs to another request or attempt, or has been applied before. */
function isStaleFrame(state: AttemptState, frame: Frame): boolean {
    if (frame.attempt !== state.attempt || (state.requestId ?? frame.requestId) !== frame.requestId) {
        return true;
    }
    return frame.kind !== "keepalive" && frame.kind !== "failed" && frame.sequence < state.nextSequence;
}

function applyFrame(state: AttemptState, frame: Exclude<Frame, { kind: "failed"; }>): AttemptAction[] {
    if (frame.kind === "accepted") {
        return [];
    }
    if ((frame.kind === "head") === state.responseStarted || (frame.kind === "head" && !isFinalStatus(frame.status))) {
        return failRequest(state, RunOutcome.unknown, 502, "The slot broke the protocol");
    }
    if (frame.kind === "data") {
        state.bodyLength += frame.data.length;
    }
    if (frame.kind === "end") {
        if (frame.length !== state.bodyLength) {
            return failRequest(state, RunOutcome.run, 502, "The answer is incomplete");
        }
        state.phase = Phase.done;
        return [{ kind: "relay", frame }, { kind: "finish" }];
    }
    state.phase = Phase.streaming;
    state.responseStarted = true;
    return [{ kind: "relay", frame }];
}

function isFinalStatus(status: number): boolean {
    return status >= 200 && status <= 599;
}

function handleFailedFrame(
    state: AttemptState,
    frame: Extract<Frame, { kind: "failed"; }>,
    now: number,
): AttemptAction[] {
    if (state.responseStarted) {
        return failRequest(state, frame.outcome, frame.status, frame.title);
    }
    const isResumption = state.resumes > 0 && state.nextSequence === 0;
    const reason = isResumption && frame.outcome === RunOutcome.notRun ? RetryReason.neverArrived : RetryReason.refused;
    return retryOnOtherSlot(state, frame.outcome, now, reason, frame.status, frame.title, frame.retryAfterSeconds);
}

function handleBrokenStream(state: AttemptState, now: number): AttemptAction[] {
    state.mayHaveReachedSlot = true;
    if (state.resumes >= maxResumes) {
        return state.responseStarted ?
            failRequest(state, RunOutcome.unknown, 502, "The slot was lost") :
            retryOnOtherSlot(state, RunOutcome.unknown, now, RetryReason.lost, 502, "The slot was lost");
    }
    state.resumes += 1;
    return [{ kind: "resume", nextSequence: state.nextSequence }];
}

/** Retries at another slot when that cannot run a non-idempotent request twice. */
function retryOnOtherSlot(
    state: AttemptState,
    outcome: RunOutcome,
    now: number,
    reason: RetryReason,
    status: number,
    title: string,
    retryAfterSeconds?: number,
): AttemptAction[] {
    const isRetrySafe = outcome === RunOutcome.notRun || state.idempotent;
    state.earlierAttemptMayHaveRun = state.earlierAttemptMayHaveRun || outcome !== RunOutcome.notRun;
    if (!isRetrySafe || state.attempt >= maxAttempts || now >= state.deadline) {
        return failRequest(state, outcome, status, title, retryAfterSeconds);
    }
    state.phase = Phase.choosing;
    state.attempt += 1;
    state.nextSequence = 0;
    state.bodyLength = 0;
    state.resumes = 0;
    state.mayHaveReachedSlot = false;
    return [{ kind: "retry", reason }, { kind: "choose" }];
}

function failRequest(
    state: AttemptState,
    outcome: RunOutcome,
    status: number,
    title: string,
    retryAfterSeconds?: number,
): AttemptAction[] {
    state.phase = Phase.done;
    const overallOutcome = outcome === RunOutcome.notRun && state.earlierAttemptMayHaveRun ?
        RunOutcome.unknown :
        outcome;
    const reportedOutcome = state.responseStarted ? RunOutcome.run : overallOutcome;
    return [{ kind: "fail", outcome: reportedOutcome, status, title, retryAfterSeconds }];
}
