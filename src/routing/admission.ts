/**
 * Admission of a slot: how many requests and tokens run at once, and which waiting request comes next.
 * Workspaces share by weight; within a workspace the more urgent request goes first.
 */

export interface AdmissionLimits {
    concurrency: number;
    tokens: number;
    queue: number;
}

export interface Waiting {
    id: string;
    workspace: string;
    weight: number;
    urgency: number;
    tokens: number;
    /** Time after which the request is refused, in milliseconds. */
    expiresAt: number;
}

export interface AdmissionState {
    limits: AdmissionLimits;
    running: Map<string, number>;
    tokensInFlight: number;
    waiting: Waiting[];
    /** Virtual finish time of each workspace's last admitted request. */
    served: Map<string, number>;
    virtualTime: number;
}

export type AdmitDecision = "run" | "wait" | "refuse";

/** Creates the state of an idle slot. */
export function createAdmission(limits: AdmissionLimits): AdmissionState {
    return { limits, running: new Map(), tokensInFlight: 0, waiting: [], served: new Map(), virtualTime: 0 };
}

/** Decides about a new request. */
export function admitRequest(state: AdmissionState, item: Waiting): AdmitDecision {
    if (state.waiting.length === 0 && hasRoom(state, item)) {
        startRunning(state, item);
        return "run";
    }
    if (state.waiting.length >= state.limits.queue) {
        return "refuse";
    }
    state.waiting.push(item);
    return "wait";
}

/** Frees the room of a finished request and returns those that start now. */
export function releaseRequest(
    state: AdmissionState,
    id: string,
    now: number,
): { started: Waiting[]; expired: Waiting[]; } {
    state.tokensInFlight -= state.running.get(id) ?? 0;
    state.running.delete(id);
    const expired = state.waiting.filter(item => item.expiresAt <= now);
    state.waiting = state.waiting.filter(item => item.expiresAt > now);
    const started: Waiting[] = [];
    for (let next = pickNext(state); next !== undefined && hasRoom(state, next); next = pickNext(state)) {
        state.waiting.splice(state.waiting.indexOf(next), 1);
        startRunning(state, next);
        started.push(next);
    }
    return { started, expired };
}

/** Removes a request that no longer wants to run. */
export function cancelWaiting(state: AdmissionState, id: string): boolean {
    const index = state.waiting.findIndex(item => item.id === id);
    if (index >= 0) {
        state.waiting.splice(index, 1);
    }
    return index >= 0;
}

function hasRoom(state: AdmissionState, item: Waiting): boolean {
    if (state.running.size === 0) {
        return true;
    }
    return state.running.size < state.limits.concurrency && state.tokensInFlight + item.tokens <= state.limits.tokens;
}

function startRunning(state: AdmissionState, item: Waiting): void {
    state.running.set(item.id, item.tokens);
    state.tokensInFlight += item.tokens;
    const start = computeStart(state, item);
    state.virtualTime = Math.max(state.virtualTime, start);
    state.served.set(item.workspace, start + Math.max(1, item.tokens) / item.weight);
}

function computeStart(state: AdmissionState, item: Waiting): number {
    return Math.max(state.virtualTime, state.served.get(item.workspace) ?? 0);
}

function pickNext(state: AdmissionState): Waiting | undefined {
    let best: Waiting | undefined;
    for (const item of state.waiting) {
        if (best === undefined || compareWaiting(state, item, best) < 0) {
            best = item;
        }
    }
    return best;
}

function compareWaiting(state: AdmissionState, a: Waiting, b: Waiting): number {
    if (a.workspace === b.workspace) {
        return a.urgency - b.urgency;
    }
    return computeStart(state, a) - computeStart(state, b);
}
