/**
 * Requests and responses of the direct path, on which an entry (ingress proxy) sends requests straight to upstreams.
 * The types are independent of the header names on the wire.
 */
import type { ServingRoute, ServingWorkspace } from "../config/serving.js";
import type { ResponseFraming } from "../wire/responseFraming.js";
import type { Body } from "../wire/segmentedBody.js";

/** Decoded head of a caller's request. */
export interface RequestHead {
    host: string;
    requestId?: string;
    /** Time for which the caller waits, in milliseconds from when it sent the request. */
    timeoutMs?: number;
    /** API key. */
    key?: string;
    /** Id of the last event that the caller received, if it resumes a stream. */
    lastEventId?: string;
    promptTokens?: number;
    /** Ids of the parts of the prompt that other requests may share, in order. */
    sharedPromptParts?: string[];
    /** Id of the last part of the prompt, which belongs to the request or its session. */
    ownPromptPart?: string;
    maxOutputTokens?: number;
    /** The caller's estimate of the number of output tokens. */
    expectedOutputTokens?: number;
    /** Headers that are sent to the upstream unchanged, as alternating names and values. */
    forwardedHeaders: string[];
}

/** Fields that the entry sets on a request to one upstream. */
export interface UpstreamRequestFields {
    /** Id of the only upstream that may run the request. */
    upstream: string;
    /** Time that is left until the request's deadline, in milliseconds. */
    timeoutMs?: number;
    workspace?: string;
    /** 0 is the most urgent, 9 the least. */
    urgency?: number;
    /** Id of the event after which the upstream is to resume the stream. */
    lastEventId?: string;
    bodyLength?: number;
}

/** Load that an upstream reports in its responses. */
export interface ReportedLoad {
    running: number;
    waiting: number;
    /** Requests that the upstream can run at the same time. */
    slots: number;
}

/** Decoded head of an upstream's response. */
export interface ResponseHead {
    requestId?: string;
    /** Whether the upstream reports that it has not run the request. */
    isRefusal: boolean;
    /** Whether the response carries the signature header of an upstream. */
    isSigned: boolean;
    /** Whether the response has a content encoding. */
    isEncoded: boolean;
    contentLength?: number;
    contentType?: string;
    load?: ReportedLoad;
    /** Values of the field in which the upstream names its rate limit; see `parseRateLimit`. */
    rateLimitValues: string[];
    /** Whether the upstream says that it leaves. */
    isLeaving: boolean;
    /** Values of the field in which the upstream says when to return; see `findRequestedPause`. */
    retryAfterValues: string[];
    /** Server that keeps the upstream's group from running. */
    faultyServer?: string;
    /** Headers that are relayed to the caller, as alternating names and values. */
    relayedHeaders: string[];
}

/** Decodes and encodes heads; raw headers are alternating names and values. */
export interface HeadCodec {
    decodeRequestHead: (raw: string[]) => RequestHead;
    encodeUpstreamHead: (head: RequestHead, fields: UpstreamRequestFields) => string[];
    decodeResponseHead: (raw: string[]) => ResponseHead;
}

/** Decoded head of a request that is kept while the request lasts; its forwarded headers are packed. */
export type KeptRequestHead = Omit<RequestHead, "forwardedHeaders"> & {
    /** See `packFields`. */
    forwardedFields: Buffer;
};

/** Request that has been matched to a route and a pool. */
export interface DirectRequest {
    id: string;
    /** Digest of the whole request; see `computeRequestDigest`. */
    digest: string;
    method: string;
    target: string;
    head: KeptRequestHead;
    /** Empty once the request has ended. */
    body: Body;
    route: ServingRoute;
    workspace?: ServingWorkspace;
    pool: string;
    /** Time of arrival on the monotonic clock, in milliseconds. */
    receivedAt: number;
    /** Time at which the caller's timeout or the route's timeout expires, whichever is earlier, in milliseconds. */
    deadlineAt: number;
}

/** One attempt as it appears in the log line of its request. */
export interface AttemptRecord {
    upstream: string;
    /** Number of requests that the entry estimated at the upstream. */
    estimated: number;
    /** Age of the reported load behind the estimate, in milliseconds; undefined if there was none. */
    figuresAgeMs?: number;
    /** Time from sending the request to the head of the response, in milliseconds; undefined before the head. */
    headMs?: number;
    /** Time from sending the request to the end of the attempt, in milliseconds; undefined while it is open. */
    ms?: number;
    /** Rate limit that the response names, as it was received. */
    rateLimit?: string;
    /** How the end of the response body is determined; undefined before the response. */
    framing?: ResponseFraming;
    /** Number of stream events that the upstream has completed. */
    events?: number;
    /** Bytes of an incomplete event at the end of a stream. */
    unfinishedBytes?: number;
    /** How the attempt ended; undefined while it is open. */
    end?: string;
}
