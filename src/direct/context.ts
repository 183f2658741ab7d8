/** What the requests of an entry on the direct path have in common. */
import type { ServerResponse } from "node:http";
import type { UpstreamTracker } from "../routing/upstreamTracker.js";
import type { DirectDispatch } from "./directDispatch.js";
import type { AttemptRecord, DirectRequest, HeadCodec, ReportedLoad } from "./types.js";

/** Finds upstreams for requests, at once or when there is a place. */
export interface Scheduler {
    place: (dispatch: DirectDispatch) => void;
    /** Lets a request wait until its group runs again. */
    enqueue: (dispatch: DirectDispatch) => void;
    remove: (dispatch: DirectDispatch) => void;
}

export interface DirectContext {
    codec: HeadCodec;
    upstreamTracker: UpstreamTracker;
    scheduler: Scheduler;
    /** Monotonic time in milliseconds. */
    now: () => number;
    recordFirstAttempt: (request: DirectRequest) => void;
    /** Whether one more arrival at the request's pool is within the retry budget; counts it. */
    acquireRetry: (request: DirectRequest, now: number) => boolean;
    updateLoad: (upstream: string, load: ReportedLoad) => void;
    /** Notes that an upstream of the pool has sent part of a stream. */
    recordStreamProgress: (pool: string) => void;
    /** Whether no stream of the pool goes on. */
    isPoolStalled: (pool: string) => boolean;
    markGroupBroken: (pool: string, faultyServer: string) => void;
    estimateServiceMs: (request: DirectRequest) => number;
    /** Urgency at the upstream, from 0 to 9; undefined where upstreams know none. */
    computeUrgency: (request: DirectRequest, now: number) => number | undefined;
    computeRetryAfterMs: (request: DirectRequest) => number;
    /** Answers that the request has not run. */
    sendRefusal: (response: ServerResponse, retryAfterMs: number) => void;
    /** Answers that the request may have run. */
    sendFailure: (response: ServerResponse, status: number) => void;
    logRequest: (request: DirectRequest, outcome: string, attempts: AttemptRecord[]) => void;
}
