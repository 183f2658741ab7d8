/** Slots, connections and requests of the driver of requests. */
import type { RunOutcome } from "../core/types.js";
import { type AttemptState, createAttemptState } from "../entry/attempt.js";
import type { RunRecord, RunStore } from "../slot/runStore.js";
import type { Frame, RunParams } from "../wire/messages.js";

export interface Slot {
    incarnation: number;
    /** Undefined while the process is down. */
    ledger: RunStore | undefined;
    listeners: Map<RunRecord, Set<(frame: Frame) => void>>;
}

export interface Connection {
    slot: Slot;
    incarnation: number;
    silent: boolean;
    over: boolean;
    lastFrameAt: number;
}

export interface Request {
    id: string;
    state: AttemptState;
    tried: Set<Slot>;
    slot: Slot | undefined;
    incarnation: string | undefined;
    connection: Connection | undefined;
    body: string;
    bodyAttempt: number;
    told: RunOutcome | undefined;
    whole: boolean;
    effects: number;
}

/** Time that a request has for its answer, in milliseconds. */
export const requestDeadlineMs = 20_000;

/** Creates a request that has just come in. */
export function createRequest(id: string, idempotent: boolean, now: number): Request {
    return {
        id,
        state: createAttemptState(idempotent, now + requestDeadlineMs),
        tried: new Set(),
        slot: undefined,
        incarnation: undefined,
        connection: undefined,
        body: "",
        bodyAttempt: 0,
        told: undefined,
        whole: false,
        effects: 0,
    };
}

/** Creates the parts of the answer that an attempt gets. */
export function createParts(requestId: string, attempt: number): string[] {
    return Array.from({ length: 4 }, (part, index) => `${requestId}/${attempt}/${index};`);
}

/** Creates the call that begins the present attempt at its slot. */
export function createParams(request: Request): RunParams {
    return {
        requestId: request.id,
        attempt: request.state.attempt,
        incarnation: request.incarnation,
        workspace: "w",
        method: "POST",
        path: "/",
        headers: {},
        body: "",
        idempotent: request.state.idempotent,
        urgency: 3,
        tokens: 1,
        deadlineMs: requestDeadlineMs,
    };
}
