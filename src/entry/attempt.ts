/**
 * State machine of a request across its attempts: when a slot (an upstream's sidecar) is chosen, when a broken stream
 * is resumed, when the request may be retried at another slot, and which outcome is reported to the caller. It does no
 * I/O: it takes events and returns actions.
 */
import { RunOutcome } from "../core/types.js";
import type { Frame } from "../wire/messages.js";

/** Maximum number of attempts for a request, including the first. */
export const maxAttempts = 3;
/** Maximum number of resumptions in a row without a new frame. */
const maxResumes = 3;

/** Why a request is retried. */
export const RetryReason = {
    /** The slot or its upstream reported a failure before the response began. */
    refused: "refused",
    /** The upstream has asked for a pause, and the slot knows no reason to wait for its end. */
    paused: "paused",
    /** On resumption the slot stated that the run had never arrived. */
    neverArrived: "never-arrived",
    /** No connection to the slot could be made. */
    unreachable: "unreachable",
    /** All resumptions failed. */
    lost: "lost",
} as const;
export type RetryReason = (typeof RetryReason)[keyof typeof RetryReason];

export const Phase = { choosing: "choosing", waiting: "waiting", streaming: "streaming", done: "done" } as const;
type Phase = (typeof Phase)[keyof typeof Phase];

/** State of a request and of its current attempt. */
export interface AttemptState {
    phase: Phase;
    /** Number of the current attempt, from 1. */
    attempt: number;
    /** Sequence number of the next expected frame. */
    nextSequence: number;
    /** Body bytes relayed so far. */
    bodyLength: number;
    /** Resumptions since the last new frame. */
    resumes: number;
    /** Whether the run of the current attempt may have reached the slot. */
    mayHaveReachedSlot: boolean;
    /** Whether the slot of the current attempt has sent a frame of the run. */
    hasSlotResponded: boolean;
    /** Whether the head of the response has been relayed to the caller. */
    responseStarted: boolean;
    idempotent: boolean;
    /** Time by which the response must be complete, in milliseconds. */
    deadline: number;
    /** Whether the request may have run in an attempt that failed. */
    earlierAttemptMayHaveRun: boolean;
    /** Frames with another request id are dropped; if undefined, the request id of frames is not checked. */
    requestId?: string;
}

/** What leaving a silent slot depends on, besides the state of the request. */
interface SilenceConditions {
    /** Whether another slot can take the request, and the retry budget has admitted it. */
    canLeaveSlot?: boolean;
}

export type AttemptEvent =
    | { kind: "chosen"; }
    /** No upstream can take the attempt. */
    | { kind: "no-candidate"; retryAfterSeconds?: number; }
    | { kind: "frame"; frame: Frame; }
    /** The stream ended early, was idle for too long or carried invalid data. */
    | ({ kind: "broken"; } & SilenceConditions)
    /** No connection to the slot could be made, so nothing was sent. */
    | ({ kind: "unreachable"; } & SilenceConditions)
    /** The retry budget does not allow the next attempt. */
    | { kind: "retry-refused"; retryAfterSeconds: number; }
    /** The prompt must not be sent to an upstream (again). */
    | { kind: "obstructed"; title: string; retryAfterSeconds?: number; }
    | { kind: "deadline"; }
    | { kind: "caller-gone"; };

export type AttemptAction =
    | { kind: "choose"; }
    | { kind: "send"; }
    | { kind: "resume"; nextSequence: number; }
    | { kind: "relay"; frame: Frame; }
    /** Ignores a frame that is a duplicate or belongs to another attempt or request. */
    | { kind: "drop"; }
    /** Ends the current attempt; a `choose` action follows. */
    | { kind: "retry"; reason: RetryReason; }
    /** Tells the slot to cancel the run, since the caller has disconnected. */
    | { kind: "cancel"; }
    | { kind: "finish"; }
    /** Responds with an error, or interrupts a response that has begun so that the caller can tell it is incomplete. */
    | { kind: "fail"; outcome: RunOutcome; status: number; title: string; retryAfterSeconds?: number; };

/** Creates the state of a request before its first attempt; `deadline` is in milliseconds. */
export function createAttemptState(idempotent: boolean, deadline: number, requestId?: string): AttemptState {
    return {
        phase: Phase.choosing,
        attempt: 1,
        nextSequence: 0,
        bodyLength: 0,
        resumes: 0,
        mayHaveReachedSlot: false,
        hasSlotResponded: false,
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
    broken: (state, event, now) => handleBrokenStream(state, now, event.canLeaveSlot),
    unreachable: (state, event, now) =>
        state.mayHaveReachedSlot ?
            handleBrokenStream(state, now, event.canLeaveSlot) :
            retryOnOtherSlot(state, RunOutcome.notRun, now, RetryReason.unreachable, 502, "The slot cannot be reached"),
    "retry-refused": (state, event) =>
        failRequest(state, RunOutcome.notRun, 503, "Too many requests are being retried", event.retryAfterSeconds),
    obstructed: (state, { title, retryAfterSeconds }) =>
        failRequest(state, RunOutcome.notRun, 503, title, retryAfterSeconds),
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

/** Applies an event to the state and returns the resulting actions in order; `now` is in milliseconds. */
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
    state.hasSlotResponded = true;
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

/** Whether a frame belongs to another request or attempt, or was applied before. */
function isStaleFrame(state: AttemptState, frame: Frame): boolean {
    if (frame.attempt !== state.attempt || (state.requestId ?? frame.requestId) !== frame.requestId) {
        return true;
    }
    return frame.kind !== "keepalive" && frame.kind !== "failed" && frame.sequence < state.nextSequence;
}

/** Applies the next frame in sequence; fails the request if the frame violates the protocol. */
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

/** Handles a failure reported by the slot: retries the request, or fails it if its response has begun. */
function handleFailedFrame(
    state: AttemptState,
    frame: Extract<Frame, { kind: "failed"; }>,
    now: number,
): AttemptAction[] {
    if (state.responseStarted) {
        return failRequest(state, frame.outcome, frame.status, frame.title);
    }
    const isResumption = state.resumes > 0 && state.nextSequence === 0;
    const reason = frame.isPaused === true ? RetryReason.paused : RetryReason.refused;
    return retryOnOtherSlot(
        state,
        frame.outcome,
        now,
        isResumption && frame.outcome === RunOutcome.notRun ? RetryReason.neverArrived : reason,
        frame.status,
        frame.title,
        frame.retryAfterSeconds,
    );
}

/** Whether the slot of an idempotent request may have gone silent, so that another one should run it if one can. */
export function isSlotSilent(state: AttemptState): boolean {
    return !state.hasSlotResponded && state.idempotent && state.attempt < maxAttempts;
}

/** Resumes the stream, or treats the slot as lost after too many resumptions without a new frame, or when it is silent. */
function handleBrokenStream(state: AttemptState, now: number, canLeaveSlot = false): AttemptAction[] {
    state.mayHaveReachedSlot = true;
    if (state.resumes >= maxResumes || (canLeaveSlot && isSlotSilent(state))) {
        return state.responseStarted ?
            failRequest(state, RunOutcome.unknown, 502, "The slot was lost") :
            retryOnOtherSlot(state, RunOutcome.unknown, now, RetryReason.lost, 502, "The slot was lost");
    }
    state.resumes += 1;
    return [{ kind: "resume", nextSequence: state.nextSequence }];
}

/**
 * Retries the request at another slot, unless that could run a non-idempotent request twice, no attempts are left or
 * the deadline has passed; fails it then.
 */
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
    state.hasSlotResponded = false;
    return [{ kind: "retry", reason }, { kind: "choose" }];
}

/** Ends the request with an error; "not-run" is reported only if no attempt may have run. */
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
