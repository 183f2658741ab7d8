/**
 * Admission of a slot: how many requests and tokens run at once, which waiting request comes next and which one
 * is refused when too many wait. Workspaces share by weight (start-time fair queueing on tokens); within a workspace
 * the more urgent request goes first, unless the other has waited longer by a bounded time.
 */
import {
    addWaiting,
    createFairQueue,
    type FairQueue,
    findWorst,
    noteStarted,
    pickNext,
    pickOverloaded,
    removeWaiting,
    sumWeights,
    type Waiting,
} from "./fairQueue.js";

export interface AdmissionLimits {
    concurrency: number;
    tokens: number;
    queue: number;
}

interface Running {
    workspace: string;
    tokens: number;
    /** Time in milliseconds. */
    startedAt: number;
}

export interface AdmissionState {
    limits: AdmissionLimits;
    running: Map<string, Running>;
    /** What runs by workspace. */
    runningOf: Map<string, { requests: number; tokens: number; }>;
    /** Last time that each workspace had a request, in milliseconds. */
    activeAt: Map<string, { at: number; weight: number; }>;
    tokensInFlight: number;
    queue: FairQueue;
    throughput: Throughput;
    /** Recent mean time that a request runs, in milliseconds. */
    serviceMs: number;
    /** Time since which requests have been waiting without a break, in milliseconds; undefined when none waits. */
    waitingSince: number | undefined;
}

/** Work finished while requests were waiting, that is, at full load. */
interface Throughput {
    at: number;
    busyMs: number;
    tokens: number;
}

/** `evicted` had waited and gets its final answer now, to make place for the new request. */
export interface AdmitResult {
    decision: "run" | "wait" | "refuse";
    evicted: Waiting[];
}

/** Share of the concurrency that workspaces above their fair share leave free for others. */
const reservedShare = 1 / 8;
/** Time after its last request for which a workspace counts when shares are computed, in milliseconds. */
const activeMs = 30_000;
const throughputWindowMs = 20_000;
/** Least time at full load from which the wait is predicted, in milliseconds. */
const throughputMinMs = 2000;
const maxRetryAfterSeconds = 30;
/** Time, in mean service times, for which a full queue may last before it is kept short. */
const standingServices = 2;
const minStandingMs = 1000;
/** Length of a queue that is kept short, as a share of the concurrency. */
const shortQueueShare = 1 / 4;
const serviceWeight = 0.05;

/** Creates the state of an idle slot. */
export function createAdmission(limits: AdmissionLimits): AdmissionState {
    return {
        limits,
        running: new Map(),
        runningOf: new Map(),
        activeAt: new Map(),
        tokensInFlight: 0,
        queue: createFairQueue(),
        throughput: { at: 0, busyMs: 0, tokens: 0 },
        serviceMs: 0,
        waitingSince: undefined,
    };
}

/** Counts the requests that wait. */
export function countWaiting(state: AdmissionState): number {
    return state.queue.byId.size;
}

/** Sums the tokens of the requests that run or wait. */
export function sumTokens(state: AdmissionState): number {
    let tokens = state.tokensInFlight;
    for (const own of state.queue.workspaces.values()) {
        tokens += own.tokens;
    }
    return tokens;
}

/** Decides about a new request. */
export function admitRequest(state: AdmissionState, item: Waiting, now: number): AdmitResult {
    advanceThroughput(state, now);
    noteActive(state, item, now);
    const waitMs = estimateWait(state, item.workspace, item.weight);
    addWaiting(state.queue, item);
    if (pickEligible(state, now) === item && hasRoom(state, item)) {
        removeWaiting(state.queue, item.id);
        startRunning(state, item, now);
        return { decision: "run", evicted: [] };
    }
    if (now + waitMs > item.expiresAt) {
        removeWaiting(state.queue, item.id);
        return { decision: "refuse", evicted: [] };
    }
    state.waitingSince ??= now;
    const evicted = evictWaiting(state, now);
    return evicted.includes(item) ?
        { decision: "refuse", evicted: evicted.filter(other => other !== item) } :
        { decision: "wait", evicted };
}

/** Frees the room of a finished request and returns those that start now and those whose time is over. */
export function releaseRequest(
    state: AdmissionState,
    id: string,
    now: number,
): { started: Waiting[]; expired: Waiting[]; } {
    advanceThroughput(state, now);
    const ended = state.running.get(id);
    if (ended !== undefined) {
        state.running.delete(id);
        state.tokensInFlight -= ended.tokens;
        state.throughput.tokens += countWaiting(state) > 0 ? Math.max(1, ended.tokens) : 0;
        state.serviceMs += (now - ended.startedAt - state.serviceMs) * serviceWeight;
        countRunning(state, ended.workspace, -1, -ended.tokens);
    }
    return startWaiting(state, now);
}

/** Removes a request that no longer wants to run, or whose time is over; tells whether it was waiting. */
export function cancelWaiting(state: AdmissionState, id: string): boolean {
    return removeWaiting(state.queue, id) !== undefined;
}

/** Computes when a refused request should come back, in whole seconds; `random` is in [0, 1). */
export function computeRetryAfter(state: AdmissionState, workspace: string, weight: number, random: number): number {
    const waitSeconds = estimateWait(state, workspace, weight) / 1000;
    return Math.min(maxRetryAfterSeconds, 1 + Math.floor((1 + waitSeconds) * (0.5 + random)));
}

/** Estimates how long a new request of a workspace would wait, in milliseconds; 0 before anything is known. */
export function estimateWait(state: AdmissionState, workspace: string, weight: number): number {
    const { busyMs, tokens } = state.throughput;
    const own = state.queue.workspaces.get(workspace);
    if (busyMs < throughputMinMs || tokens === 0 || own === undefined) {
        return 0;
    }
    const share = weight / sumWeights(state.queue);
    return own.tokens / (share * tokens / busyMs);
}

function startWaiting(state: AdmissionState, now: number): { started: Waiting[]; expired: Waiting[]; } {
    const started: Waiting[] = [];
    const expired: Waiting[] = [];
    for (let next = pickEligible(state, now); next !== undefined; next = pickEligible(state, now)) {
        if (next.expiresAt <= now) {
            removeWaiting(state.queue, next.id);
            expired.push(next);
            continue;
        }
        if (!hasRoom(state, next)) {
            break;
        }
        removeWaiting(state.queue, next.id);
        startRunning(state, next, now);
        started.push(next);
    }
    return { started, expired };
}

/** Removes the requests that are too many, each of the workspace with most waiting for its weight. */
function evictWaiting(state: AdmissionState, now: number): Waiting[] {
    const evicted: Waiting[] = [];
    const getRunningTokens = (workspace: string) => state.runningOf.get(workspace)?.tokens ?? 0;
    while (countWaiting(state) > computeQueueLimit(state, now)) {
        const victim = findWorst(state.queue, pickOverloaded(state.queue, getRunningTokens));
        removeWaiting(state.queue, victim.id);
        evicted.push(victim);
    }
    return evicted;
}

/** Computes how many may wait: a queue that does not empty only adds delay, so that it is kept short. */
function computeQueueLimit({ limits, waitingSince, serviceMs }: AdmissionState, now: number): number {
    const standingMs = Math.max(minStandingMs, standingServices * serviceMs);
    const isStanding = waitingSince !== undefined && now - waitingSince > standingMs;
    return isStanding ? Math.min(limits.queue, Math.ceil(limits.concurrency * shortQueueShare)) : limits.queue;
}

function hasRoom(state: AdmissionState, item: Waiting): boolean {
    const { concurrency, tokens } = state.limits;
    return state.running.size === 0 ||
        (state.running.size < concurrency && state.tokensInFlight + item.tokens <= tokens);
}

/** Picks the next request, passing over workspaces that would use up what is reserved for others. */
function pickEligible(state: AdmissionState, now: number): Waiting | undefined {
    const { concurrency } = state.limits;
    const { size } = state.running;
    if (size === 0 || size < concurrency - Math.floor(concurrency * reservedShare)) {
        return pickNext(state.queue, () => true);
    }
    const total = sumActiveWeights(state, now);
    return pickNext(state.queue, (workspace, weight) => !isAboveShare(state, workspace, weight, total));
}

/** Whether a workspace runs at least its fair share of the concurrency among those of `total` weight. */
function isAboveShare(state: AdmissionState, workspace: string, weight: number, total: number): boolean {
    const requests = state.runningOf.get(workspace)?.requests ?? 0;
    return total > weight && requests >= state.limits.concurrency * weight / total;
}

/** Sums the weights of the workspaces that have had a request of late. */
function sumActiveWeights(state: AdmissionState, now: number): number {
    let total = 0;
    for (const active of state.activeAt.values()) {
        total += active.at > now - activeMs ? active.weight : 0;
    }
    return total;
}

function startRunning(state: AdmissionState, item: Waiting, now: number): void {
    state.running.set(item.id, { workspace: item.workspace, tokens: item.tokens, startedAt: now });
    state.tokensInFlight += item.tokens;
    countRunning(state, item.workspace, 1, item.tokens);
    noteStarted(state.queue, item);
}

function countRunning(state: AdmissionState, workspace: string, requests: number, tokens: number): void {
    const before = state.runningOf.get(workspace) ?? { requests: 0, tokens: 0 };
    const after = { requests: before.requests + requests, tokens: before.tokens + tokens };
    if (after.requests > 0) {
        state.runningOf.set(workspace, after);
    }
    else {
        state.runningOf.delete(workspace);
    }
}

function noteActive(state: AdmissionState, { workspace, weight }: Waiting, now: number): void {
    state.activeAt.delete(workspace);
    state.activeAt.set(workspace, { at: now, weight });
    for (const [name, active] of state.activeAt) {
        if (active.at > now - activeMs) {
            break;
        }
        state.activeAt.delete(name);
    }
}

function advanceThroughput(state: AdmissionState, now: number): void {
    const { throughput } = state;
    if (countWaiting(state) > 0) {
        throughput.busyMs += Math.max(0, now - throughput.at);
    }
    else {
        state.waitingSince = undefined;
    }
    throughput.at = now;
    if (throughput.busyMs > throughputWindowMs) {
        throughput.busyMs /= 2;
        throughput.tokens /= 2;
    }
}
