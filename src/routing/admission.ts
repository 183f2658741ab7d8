/**
 * Admission of a slot: how many requests and tokens run at once, which waiting request comes next and which one
 * is refused when too many wait. Workspaces share by weight (start-time fair queueing on tokens); within a workspace
 * the more urgent request goes first, unless the other has waited longer by a bounded time.
 */
import {
    createFairQueue,
    enqueueRequest,
    type FairQueue,
    findLowestPriority,
    pickHeaviestWorkspace,
    pickNext,
    type QueuedRequest,
    recordStart,
    removeRequest,
    sumQueuedWeights,
} from "./fairQueue.js";

export interface AdmissionLimits {
    concurrency: number;
    tokens: number;
    queue: number;
}

interface RunningRequest {
    workspace: string;
    tokens: number;
    /** Time in milliseconds. */
    startedAt: number;
}

export interface AdmissionState {
    limits: AdmissionLimits;
    running: Map<string, RunningRequest>;
    /** What runs by workspace. */
    runningByWorkspace: Map<string, { requests: number; tokens: number; }>;
    /** Last time that each workspace had a request, in milliseconds. */
    activeWorkspaces: Map<string, { at: number; weight: number; }>;
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
    updatedAt: number;
    busyMs: number;
    tokens: number;
}

/** `evicted` had waited and gets its final answer now, to make place for the new request. */
export interface AdmitResult {
    decision: "run" | "wait" | "refuse";
    evicted: QueuedRequest[];
}

/** Share of the concurrency that workspaces above their fair share leave free for others. */
const reservedConcurrencyShare = 1 / 8;
/** Time after its last request for which a workspace counts when shares are computed, in milliseconds. */
const activityWindowMs = 30_000;
const throughputWindowMs = 20_000;
/** Least time at full load from which the wait is predicted, in milliseconds. */
const minThroughputMs = 2000;
const maxRetryAfterSeconds = 30;
/** Time, in mean service times, for which a full queue may last before it is kept short. */
const standingQueueServices = 2;
const minStandingQueueMs = 1000;
/** Length of a queue that is kept short, as a share of the concurrency. */
const standingQueueShare = 1 / 4;
const serviceTimeWeight = 0.05;

/** Creates the state of an idle slot. */
export function createAdmission(limits: AdmissionLimits): AdmissionState {
    return {
        limits,
        running: new Map(),
        runningByWorkspace: new Map(),
        activeWorkspaces: new Map(),
        tokensInFlight: 0,
        queue: createFairQueue(),
        throughput: { updatedAt: 0, busyMs: 0, tokens: 0 },
        serviceMs: 0,
        waitingSince: undefined,
    };
}

/** Counts the requests that wait. */
export function countQueued(state: AdmissionState): number {
    return state.queue.byId.size;
}

/** Sums the tokens of the requests that run or wait. */
export function sumTokens(state: AdmissionState): number {
    let tokens = state.tokensInFlight;
    for (const workspaceQueue of state.queue.workspaces.values()) {
        tokens += workspaceQueue.tokens;
    }
    return tokens;
}

/** Decides about a new request. */
export function admitRequest(state: AdmissionState, request: QueuedRequest, now: number): AdmitResult {
    updateThroughput(state, now);
    recordActivity(state, request, now);
    const waitMs = estimateWait(state, request.workspace, request.weight);
    enqueueRequest(state.queue, request);
    if (pickEligible(state, now) === request && hasCapacity(state, request)) {
        removeRequest(state.queue, request.id);
        startRequest(state, request, now);
        return { decision: "run", evicted: [] };
    }
    if (now + waitMs > request.expiresAt) {
        removeRequest(state.queue, request.id);
        return { decision: "refuse", evicted: [] };
    }
    state.waitingSince ??= now;
    const evicted = evictExcess(state, now);
    return evicted.includes(request) ?
        { decision: "refuse", evicted: evicted.filter(other => other !== request) } :
        { decision: "wait", evicted };
}

/** Frees the room of a finished request and returns those that start now and those whose time is over. */
export function releaseRequest(
    state: AdmissionState,
    id: string,
    now: number,
): { started: QueuedRequest[]; expired: QueuedRequest[]; } {
    updateThroughput(state, now);
    const ended = state.running.get(id);
    if (ended !== undefined) {
        state.running.delete(id);
        state.tokensInFlight -= ended.tokens;
        state.throughput.tokens += countQueued(state) > 0 ? Math.max(1, ended.tokens) : 0;
        state.serviceMs += (now - ended.startedAt - state.serviceMs) * serviceTimeWeight;
        updateRunningCounts(state, ended.workspace, -1, -ended.tokens);
    }
    return startQueued(state, now);
}

/** Removes a request that no longer wants to run, or whose time is over; tells whether it was waiting. */
export function cancelQueued(state: AdmissionState, id: string): boolean {
    return removeRequest(state.queue, id) !== undefined;
}

/** Computes when a refused request should come back, in whole seconds; `random` is in [0, 1). */
export function computeRetryAfter(state: AdmissionState, workspace: string, weight: number, random: number): number {
    const waitSeconds = estimateWait(state, workspace, weight) / 1000;
    return Math.min(maxRetryAfterSeconds, 1 + Math.floor((1 + waitSeconds) * (0.5 + random)));
}

/** Estimates how long a new request of a workspace would wait, in milliseconds; 0 before anything is known. */
export function estimateWait(state: AdmissionState, workspace: string, weight: number): number {
    const { busyMs, tokens } = state.throughput;
    const workspaceQueue = state.queue.workspaces.get(workspace);
    if (busyMs < minThroughputMs || tokens === 0 || workspaceQueue === undefined) {
        return 0;
    }
    const share = weight / sumQueuedWeights(state.queue);
    return workspaceQueue.tokens / (share * tokens / busyMs);
}

function startQueued(state: AdmissionState, now: number): { started: QueuedRequest[]; expired: QueuedRequest[]; } {
    const started: QueuedRequest[] = [];
    const expired: QueuedRequest[] = [];
    for (let next = pickEligible(state, now); next !== undefined; next = pickEligible(state, now)) {
        if (next.expiresAt <= now) {
            removeRequest(state.queue, next.id);
            expired.push(next);
            continue;
        }
        if (!hasCapacity(state, next)) {
            break;
        }
        removeRequest(state.queue, next.id);
        startRequest(state, next, now);
        started.push(next);
    }
    return { started, expired };
}

/** Removes the requests that are too many, each of the workspace with most waiting for its weight. */
function evictExcess(state: AdmissionState, now: number): QueuedRequest[] {
    const evicted: QueuedRequest[] = [];
    const getRunningTokens = (workspace: string) => state.runningByWorkspace.get(workspace)?.tokens ?? 0;
    while (countQueued(state) > computeQueueLimit(state, now)) {
        const victim = findLowestPriority(state.queue, pickHeaviestWorkspace(state.queue, getRunningTokens));
        removeRequest(state.queue, victim.id);
        evicted.push(victim);
    }
    return evicted;
}

/** Computes how many may wait: a queue that does not empty only adds delay, so that it is kept short. */
function computeQueueLimit({ limits, waitingSince, serviceMs }: AdmissionState, now: number): number {
    const standingMs = Math.max(minStandingQueueMs, standingQueueServices * serviceMs);
    const isStanding = waitingSince !== undefined && now - waitingSince > standingMs;
    return isStanding ? Math.min(limits.queue, Math.ceil(limits.concurrency * standingQueueShare)) : limits.queue;
}

function hasCapacity(state: AdmissionState, request: QueuedRequest): boolean {
    const { concurrency, tokens } = state.limits;
    return state.running.size === 0 ||
        (state.running.size < concurrency && state.tokensInFlight + request.tokens <= tokens);
}

/** Picks the next request, passing over workspaces that would use up what is reserved for others. */
function pickEligible(state: AdmissionState, now: number): QueuedRequest | undefined {
    const { concurrency } = state.limits;
    const { size } = state.running;
    if (size === 0 || size < concurrency - Math.floor(concurrency * reservedConcurrencyShare)) {
        return pickNext(state.queue, () => true);
    }
    const total = sumActiveWeights(state, now);
    return pickNext(state.queue, (workspace, weight) => !hasReachedFairShare(state, workspace, weight, total));
}

/** Whether a workspace runs at least its fair share of the concurrency among those of `total` weight. */
function hasReachedFairShare(state: AdmissionState, workspace: string, weight: number, total: number): boolean {
    const requests = state.runningByWorkspace.get(workspace)?.requests ?? 0;
    return total > weight && requests >= state.limits.concurrency * weight / total;
}

/** Sums the weights of the workspaces that have had a request of late. */
function sumActiveWeights(state: AdmissionState, now: number): number {
    let total = 0;
    for (const active of state.activeWorkspaces.values()) {
        total += active.at > now - activityWindowMs ? active.weight : 0;
    }
    return total;
}

function startRequest(state: AdmissionState, request: QueuedRequest, now: number): void {
    state.running.set(request.id, { workspace: request.workspace, tokens: request.tokens, startedAt: now });
    state.tokensInFlight += request.tokens;
    updateRunningCounts(state, request.workspace, 1, request.tokens);
    recordStart(state.queue, request);
}

function updateRunningCounts(state: AdmissionState, workspace: string, requests: number, tokens: number): void {
    const before = state.runningByWorkspace.get(workspace) ?? { requests: 0, tokens: 0 };
    const after = { requests: before.requests + requests, tokens: before.tokens + tokens };
    if (after.requests > 0) {
        state.runningByWorkspace.set(workspace, after);
    }
    else {
        state.runningByWorkspace.delete(workspace);
    }
}

function recordActivity(state: AdmissionState, { workspace, weight }: QueuedRequest, now: number): void {
    state.activeWorkspaces.delete(workspace);
    state.activeWorkspaces.set(workspace, { at: now, weight });
    for (const [name, active] of state.activeWorkspaces) {
        if (active.at > now - activityWindowMs) {
            break;
        }
        state.activeWorkspaces.delete(name);
    }
}

function updateThroughput(state: AdmissionState, now: number): void {
    const { throughput } = state;
    if (countQueued(state) > 0) {
        throughput.busyMs += Math.max(0, now - throughput.updatedAt);
    }
    else {
        state.waitingSince = undefined;
    }
    throughput.updatedAt = now;
    if (throughput.busyMs > throughputWindowMs) {
        throughput.busyMs /= 2;
        throughput.tokens /= 2;
    }
}
