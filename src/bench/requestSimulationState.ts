/**
 * State of the simulation in `requestSimulation.ts`: slots (the sidecars that run requests at upstreams), the entry's
 * connections to them, and requests with their attempts.
 */
import type { RunOutcome } from "../core/types.js";
import { type AttemptState, createAttemptState } from "../entry/attempt.js";
import type { RunRecord, RunStore } from "../slot/runStore.js";
import type { Frame, RunParams } from "../wire/messages.js";

export interface SimulatedSlot {
    /** Number of the slot's current process, or of the last one while the slot is down. */
    incarnation: number;
    /** Run store of the current process; undefined while the slot is down. */
    runStore: RunStore | undefined;
    /** Subscribers to the frames of each run. */
    listeners: Map<RunRecord, Set<(frame: Frame) => void>>;
}

export interface SimulatedConnection {
    slot: SimulatedSlot;
    /** Incarnation of the process that accepted the connection. */
    incarnation: number;
    /** Whether frames are lost although the connection looks open. */
    isSilent: boolean;
    isClosed: boolean;
    /** Simulated time of the last frame, in milliseconds. */
    lastFrameAt: number;
}

export interface SimulatedRequest {
    id: string;
    state: AttemptState;
    triedSlots: Set<SimulatedSlot>;
    /** Slot of the current attempt. */
    slot: SimulatedSlot | undefined;
    /** Incarnation of the slot as the entry knows it. */
    incarnation: string | undefined;
    connection: SimulatedConnection | undefined;
    /** Response body received so far. */
    body: string;
    /** Attempt that the latest data of `body` belongs to. */
    bodyAttempt: number;
    /** Outcome reported to the caller; undefined before the response. */
    outcome: RunOutcome | undefined;
    /** Whether the response was reported to the caller as complete. */
    isComplete: boolean;
    /** Number of times that the request took effect at an upstream. */
    effects: number;
}

/** Time after which a request fails, in milliseconds. */
export const requestDeadlineMs = 20_000;

/** Creates a request that has just arrived. */
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

/** Creates the chunks of the response body of an attempt. */
export function createResponseChunks(requestId: string, attempt: number): string[] {
    return Array.from({ length: 4 }, (chunk, index) => `${requestId}/${attempt}/${index};`);
}

/** Creates the parameters of the call that begins the current attempt at its slot. */
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
