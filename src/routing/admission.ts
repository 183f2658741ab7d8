/**
 * Admission control of a slot (an upstream's sidecar): limits the running requests and tokens, picks the next request
 * from the queue, and refuses requests when the queue is full. Workspaces (tenants) share capacity by weight
 * (start-time fair queueing on tokens); within a workspace the more urgent request starts first, unless the other one
 * has waited longer by a bounded time.
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
import {
    computePauseWaitMs,
    createServedUpstream,
    getPauseEnd,
    recordServedSend,
    type ServedUpstream,
} from "./servedUpstream.js";
import { computePermitWaitMs, createUpstreamRate, takeUpstreamPermit, type UpstreamRate } from "./upstreamRate.js";

export interface AdmissionLimits {
    /** Running requests. */
    concurrency: number;
    /** Tokens of the running requests. */
    tokens: number;
    /** Queued requests. */
    queue: number;
}

interface RunningRequest {
    workspace: string;
    tokens: number;
    /** Time of the start, in milliseconds. */
    startedAt: number;
}

export interface AdmissionState {
    limits: AdmissionLimits;
    running: Map<string, RunningRequest>;
    /** Running requests and their tokens, by workspace. */
    runningByWorkspace: Map<string, { requests: number; tokens: number; }>;
    /** Time of the last request in milliseconds and weight, by workspace; least recent first. */
    activeWorkspaces: Map<string, { at: number; weight: number; }>;
    tokensInFlight: number;
    queue: FairQueue;
    throughput: Throughput;
    /** Moving average of the time that a request runs, in milliseconds. */
    serviceMs: number;
    /** Rate limit that the upstream names. */
    rate: UpstreamRate;
    /** What the upstream says of itself. */
    served: ServedUpstream;
    /** Time since which the queue has not been empty, in milliseconds; undefined when it is empty. */
    waitingSince: number | undefined;
}

/** Work finished at full load, that is, while requests were queued. */
interface Throughput {
    updatedAt: number;
    busyMs: number;
    tokens: number;
}

/** `evicted` lists queued requests that are refused now, so that the queue stays within its limit. */
export interface AdmitResult {
    decision: "run" | "wait" | "refuse";
    evicted: QueuedRequest[];
}

export interface StartResult {
    started: QueuedRequest[];
    expired: QueuedRequest[];
    /** Time until the upstream takes the next queued request, in milliseconds; undefined or 0 if it waits for something else. */
    sendWaitMs: number | undefined;
}

/** Share of the concurrency that is reserved for workspaces below their fair share. */
const reservedConcurrencyShare = 1 / 8;
/** Time after its last request for which a workspace counts in fair shares, in milliseconds. */
const activityWindowMs = 30_000;
/** Time at full load after which the measured throughput is halved, in milliseconds. */
const throughputWindowMs = 20_000;
/** Time at full load that must be measured before waits are estimated, in milliseconds. */
const minThroughputMs = 2000;
const maxRetryAfterSeconds = 30;
/** Time for which the queue may stay non-empty before it is limited as a standing queue, in mean service times. */
const standingQueueServices = 2;
const minStandingQueueMs = 1000;
/** Limit of a standing queue, as a share of the concurrency. */
const standingQueueShare = 1 / 4;
/** Weight of a new sample in the moving average of service times. */
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
        rate: createUpstreamRate(),
        served: createServedUpstream(),
        waitingSince: undefined,
    };
}

/** Counts the queued requests. */
export function countQueued(state: AdmissionState): number {
    return state.queue.byId.size;
}

/** Sums the tokens of the running and queued requests. */
export function sumTokens(state: AdmissionState): number {
    let tokens = state.tokensInFlight;
    for (const workspaceQueue of state.queue.workspaces.values()) {
        tokens += workspaceQueue.tokens;
    }
    return tokens;
}

/** Decides whether a new request runs at once, is queued or is refused. */
export function admitRequest(state: AdmissionState, request: QueuedRequest, now: number): AdmitResult {
    updateThroughput(state, now);
    recordActivity(state, request, now);
    const waitMs = estimateWait(state, request.workspace, request.weight);
    enqueueRequest(state.queue, request);
    if (pickEligible(state, now) === request && hasCapacity(state, request, now)) {
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

/**
 * Releases the capacity of a finished request; returns the queued requests that start now and those that have expired.
 */
export function releaseRequest(
    state: AdmissionState,
    id: string,
    now: number,
): StartResult {
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

/** Removes a cancelled or expired request from the queue; returns whether it was queued. */
export function cancelQueued(state: AdmissionState, id: string): boolean {
    return removeRequest(state.queue, id) !== undefined;
}

/**
 * Computes the time after which a refused request should be retried, in whole seconds; `random` in [0, 1) adds jitter.
 */
export function computeRetryAfter(state: AdmissionState, workspace: string, weight: number, random: number): number {
    const waitSeconds = estimateWait(state, workspace, weight) / 1000;
    return Math.min(maxRetryAfterSeconds, 1 + Math.floor((1 + waitSeconds) * (0.5 + random)));
}

/**
 * Estimates how long a new request of a workspace would wait, in milliseconds; without a rate limit or a pause 0 before
 * throughput has been measured.
 */
export function estimateWait(state: AdmissionState, workspace: string, weight: number): number {
    const { updatedAt } = state.throughput;
    const sendWaitMs = computeSendWaitMs(state, countQueued(state) + 1, updatedAt) ?? 0;
    return Math.max(sendWaitMs, estimateThroughputWait(state, workspace, weight));
}

/**
 * Computes the time until the upstream takes `count` more requests with regard to its rate limit and to a pause, in
 * milliseconds; undefined if it has named neither.
 */
export function computeSendWaitMs({ rate, served }: AdmissionState, count: number, now: number): number | undefined {
    const permitWaitMs = computePermitWaitMs(rate, count, now);
    const pauseWaitMs = computePauseWaitMs(served, now);
    return pauseWaitMs === undefined ? permitWaitMs : Math.max(pauseWaitMs, permitWaitMs ?? 0);
}

function estimateThroughputWait(state: AdmissionState, workspace: string, weight: number): number {
    const { busyMs, tokens } = state.throughput;
    const workspaceQueue = state.queue.workspaces.get(workspace);
    if (busyMs < minThroughputMs || tokens === 0 || workspaceQueue === undefined) {
        return 0;
    }
    const share = weight / sumQueuedWeights(state.queue);
    return workspaceQueue.tokens / (share * tokens / busyMs);
}

/** Starts the queued requests for which there is capacity now; returns them and those that have expired. */
export function startQueued(state: AdmissionState, now: number): StartResult {
    const started: QueuedRequest[] = [];
    const expired: QueuedRequest[] = [];
    for (let next = pickEligible(state, now); next !== undefined; next = pickEligible(state, now)) {
        if (next.expiresAt <= now) {
            removeRequest(state.queue, next.id);
            expired.push(next);
            continue;
        }
        if (!hasCapacity(state, next, now)) {
            return { started, expired, sendWaitMs: computeSendWaitMs(state, 1, now) };
        }
        removeRequest(state.queue, next.id);
        startRequest(state, next, now);
        started.push(next);
    }
    return { started, expired, sendWaitMs: undefined };
}

/** Evicts requests above the queue limit, each from the workspace with the highest load relative to its weight. */
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

/**
 * Computes the queue limit: a burst, or what waits for the end of a pause, may use the whole queue, but a standing queue only
 * adds delay and is kept short.
 */
function computeQueueLimit({ limits, waitingSince, serviceMs, served }: AdmissionState, now: number): number {
    const standingMs = Math.max(minStandingQueueMs, standingQueueServices * serviceMs);
    const isStanding = waitingSince !== undefined && now - Math.max(waitingSince, getPauseEnd(served)) > standingMs;
    return isStanding ? Math.min(limits.queue, Math.ceil(limits.concurrency * standingQueueShare)) : limits.queue;
}

function hasCapacity(state: AdmissionState, request: QueuedRequest, now: number): boolean {
    const { concurrency, tokens } = state.limits;
    if ((computeSendWaitMs(state, 1, now) ?? 0) > 0) {
        return false;
    }
    return state.running.size === 0 ||
        (state.running.size < concurrency && state.tokensInFlight + request.tokens <= tokens);
}

/** Picks the next request, skipping workspaces that would use the concurrency reserved for others. */
function pickEligible(state: AdmissionState, now: number): QueuedRequest | undefined {
    const { concurrency } = state.limits;
    const { size } = state.running;
    if (size === 0 || size < concurrency - Math.floor(concurrency * reservedConcurrencyShare)) {
        return pickNext(state.queue, () => true);
    }
    const total = sumActiveWeights(state, now);
    return pickNext(state.queue, (workspace, weight) => !hasReachedFairShare(state, workspace, weight, total));
}

/**
 * Whether a workspace runs at least its fair share of the concurrency; `total` is the weight of all active workspaces.
 */
function hasReachedFairShare(state: AdmissionState, workspace: string, weight: number, total: number): boolean {
    const requests = state.runningByWorkspace.get(workspace)?.requests ?? 0;
    return total > weight && requests >= state.limits.concurrency * weight / total;
}

/** Sums the weights of the recently active workspaces. */
function sumActiveWeights(state: AdmissionState, now: number): number {
    let total = 0;
    for (const active of state.activeWorkspaces.values()) {
        total += active.at > now - activityWindowMs ? active.weight : 0;
    }
    return total;
}

function startRequest(state: AdmissionState, request: QueuedRequest, now: number): void {
    takeUpstreamPermit(state.rate, now);
    recordServedSend(state.served, now);
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
