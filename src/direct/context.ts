/**
 * Interfaces through which a request on the direct path (from an entry straight to upstreams) uses its entry's shared
 * state.
 */
import type { ServerResponse } from "node:http";
import type { UpstreamTracker } from "../routing/upstreamTracker.js";
import type { ConnectionGuard } from "../wire/connectionGuard.js";
import type { DirectDispatch } from "./directDispatch.js";
import type { AppliedNotice, NoticeRecorder } from "./noticeRecorder.js";
import type { AppliedRateLimit, RateLimiter } from "./rateLimiter.js";
import type { QuarantineVerdict, RequestQuarantine } from "./requestQuarantine.js";
import type { AttemptRecord, DirectRequest, HeadCodec, ReportedLoad } from "./types.js";

/** Sends requests to upstreams, at once or when capacity becomes free. */
export interface Scheduler {
    /** Sends a request to an upstream now, or queues it if no upstream can take it. */
    place: (dispatch: DirectDispatch) => void;
    /** The same once a check has ended that the request waits for, if there is one. */
    placeAfter: (dispatch: DirectDispatch, check: Promise<void> | undefined) => void;
    /** Queues a request without trying to send it first, for example because its group does not run. */
    enqueue: (dispatch: DirectDispatch) => void;
    /** Removes a request from the queue; does nothing if it is not queued. */
    remove: (dispatch: DirectDispatch) => void;
}

/** Shared state and services of an entry. */
export interface DirectContext {
    codec: HeadCodec;
    upstreamTracker: UpstreamTracker;
    scheduler: Scheduler;
    connections: Pick<ConnectionGuard, "trackUpstream" | "recordConnectFailure">;
    quarantine: Pick<
        RequestQuarantine,
        "find" | "computeDeferralMs" | "getLatestCrashes" | "recordAnswer" | "recordLoss"
    >;
    /** Whether the quarantine has been read, without which requests with shared prompt parts must not be sent. */
    isQuarantineKnown: () => boolean;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Records the first attempt of a request, which adds to the retry budget of its pool. */
    recordFirstAttempt: (request: DirectRequest) => void;
    /** Returns whether the retry budget of the request's pool allows one more attempt, and records it if so. */
    acquireRetry: (request: DirectRequest, now: number) => boolean;
    /** Records the load that an upstream reported in a response. */
    updateLoad: (upstream: string, load: ReportedLoad) => void;
    /** Records the rate limit that an upstream names in a response, or that it names none. */
    observeRateLimit: RateLimiter["observeResponse"];
    /** Records what the head of a response of the upstream itself says of the upstream. */
    observeNotices: NoticeRecorder["observe"];
    /** Records that an upstream of the pool has sent part of a stream. */
    recordStreamProgress: (pool: string) => void;
    /** Whether no stream of the pool has received data recently. */
    isPoolStalled: (pool: string) => boolean;
    /** Whether this entry stops, so that responses must not be given up only because they are slow. */
    isStopping: () => boolean;
    /** Records that the pool's group does not run because of `faultyServer`. */
    markGroupBroken: (pool: string, faultyServer: string) => void;
    /** Estimates how long an upstream needs for the request, in milliseconds; 0 if the pool has no engine settings. */
    estimateServiceMs: (request: DirectRequest) => number;
    /** Computes the urgency to send to the upstream, from 0 to 9; undefined if the pool does not support it. */
    computeUrgency: (request: DirectRequest, now: number) => number | undefined;
    /** Computes after how many milliseconds the caller of a refused request should retry. */
    computeRetryAfterMs: (request: DirectRequest) => number;
    /** Responds that the request has not run, and when to retry. */
    sendRefusal: (response: ServerResponse, retryAfterMs: number) => void;
    /** Responds that the request has not run because it is quarantined. */
    sendRejection: (response: ServerResponse, quarantined: QuarantineVerdict) => void;
    /** Responds with `status` that the request failed and may have run. */
    sendFailure: (response: ServerResponse, status: number) => void;
    /** Counts and logs an error that ended a request in this process, with its cause. */
    reportFault: (error: Error, requestId?: string) => void;
    /** Counts and logs a finished request. */
    logRequest: (
        request: DirectRequest,
        outcome: string,
        attempts: AttemptRecord[],
        /** Rate limits that kept the request from upstreams when it was last placed. */
        rateLimits: AppliedRateLimit[],
        /** Notices of upstreams that kept the request from them when it was last placed. */
        notices: AppliedNotice[],
    ) => void;
}
