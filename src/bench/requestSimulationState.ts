/** Slots, connections and requests of the driver of requests. */
import type { RunOutcome } from "../core/types.js";
import { type AttemptState, createAttemptState } from "../entry/attempt.js";
import type { RunRecord, RunStore } from "../slot/runStore.js";
import type { Frame, RunParams } from "../wire/messages.js";

export interface SimulatedSlot {
    incarnation: number;
    /** Undefined while the process is down. */
    runStore: RunStore | undefined;
    listeners: Map<RunRecord, Set<(frame: Frame) => void>>;
}

export interface SimulatedConnection {
    slot: SimulatedSlot;
    incarnation: number;
    isSilent: boolean;
    isClosed: boolean;
    lastFrameAt: number;
}

export interface SimulatedRequest {
    id: string;
    state: AttemptState;
    triedSlots: Set<SimulatedSlot>;
    slot: SimulatedSlot | undefined;
    incarnation: string | undefined;
    connection: SimulatedConnection | undefined;
    body: string;
    bodyAttempt: number;
    outcome: RunOutcome | undefined;
    isComplete: boolean;
    effects: number;
}

/** Time that a request has for its answer, in milliseconds. */
export const requestDeadlineMs = 20_000;

/** Creates a request that has just come in. */
export function createRequest(id: string, idempotent: boolean, now: number): SimulatedRequest {
    return {
        id,
        state: createAttemptState(idempotent, now + requestDeadlineMs),
        triedSlots: new Set(),
        slot: undefined,
        incarnation: undefined,
        connection: undefined,
        body: "",
        bodyAttempt: 0,
        outcome: undefined,
        isComplete: false,
        effects: 0,
    };
}

/** Creates the parts of the answer that an attempt gets. */
export function createResponseChunks(requestId: string, attempt: number): string[] {
    return Array.from({ length: 4 }, (part, index) => `${requestId}/${attempt}/${index};`);
}

/** Creates the call that begins the present attempt at its slot. */
export function createRunParams(request: SimulatedRequest): RunParams {
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
