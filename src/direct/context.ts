/** What the requests of an entry on the direct path have in common. */
import type { ServerResponse } from "node:http";
import type { UpstreamTracker } from "../routing/upstreamTracker.js";
import type { DirectDispatch } from "./dispatch.js";
import type { AttemptRecord, DirectRequest, HeadCodec, LoadFigures } from "./types.js";

/** Finds upstreams for requests, at once or when there is a place. */
export interface Scheduler {
    place: (dispatch: DirectDispatch) => void;
    /** Lets a request wait until its group runs again. */
    wait: (dispatch: DirectDispatch) => void;
    leave: (dispatch: DirectDispatch) => void;
}

export interface DirectContext {
    codec: HeadCodec;
    board: UpstreamTracker;
    scheduler: Scheduler;
    /** Monotonic time in milliseconds. */
    now: () => number;
    noteFirstSend: (request: DirectRequest) => void;
    /** Whether one more arrival at the request's pool is within the retry budget; counts it. */
    admitRepeat: (request: DirectRequest, now: number) => boolean;
    noteLoad: (upstream: string, load: LoadFigures) => void;
    /** Notes that an upstream of the pool has sent part of a stream. */
    noteProgress: (pool: string) => void;
    /** Whether no stream of the pool goes on. */
    isStalled: (pool: string) => boolean;
    noteGroupFault: (pool: string, faultAt: string) => void;
    estimateServiceMs: (request: DirectRequest) => number;
    /** Urgency at the upstream, from 0 to 9; undefined where upstreams know none. */
    computeUrgency: (request: DirectRequest, now: number) => number | undefined;
    computeRetryAfterMs: (request: DirectRequest) => number;
    /** Answers that the request has not run. */
    answerRefusal: (response: ServerResponse, retryAfterMs: number) => void;
    /** Answers that the request may have run. */
    answerFailure: (response: ServerResponse, status: number) => void;
    logRequest: (request: DirectRequest, outcome: string, attempts: AttemptRecord[]) => void;
}
