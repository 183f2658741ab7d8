/** A caller's request on its way to an upstream, in the product's words. */
import type { ServingRoute, ServingWorkspace } from "../config/serving.js";

/** What the head of a request says. */
export interface RequestHead {
    host: string;
    requestId?: string;
    /** Time that the caller waits from when the request was sent, in milliseconds. */
    timeoutMs?: number;
    key?: string;
    /** Last event of a stream that the caller has. */
    lastEventId?: string;
    promptTokens?: number;
    maxOutputTokens?: number;
    /** Caller's estimate of the answer's tokens. */
    expectedOutputTokens?: number;
    /** Headers that go on to the upstream unchanged, names and values by turns. */
    forwardedHeaders: string[];
}

/** What the system adds to a request for one upstream. */
export interface UpstreamRequestFields {
    /** Upstream that alone may run the request. */
    upstream: string;
    timeoutMs?: number;
    workspace?: string;
    /** 0 is the most urgent, 9 the least. */
    urgency?: number;
    lastEventId?: string;
    bodyLength?: number;
}

export interface ReportedLoad {
    running: number;
    waiting: number;
    slots: number;
}

/** What the head of an answer says. */
export interface ResponseHead {
    requestId?: string;
    /** Whether the upstream says that it has not run the request. */
    isRefusal: boolean;
    isSigned: boolean;
    isEncoded: boolean;
    contentLength?: number;
    load?: ReportedLoad;
    /** Rank that keeps the group from running. */
    faultyServer?: string;
    /** Headers for the caller, names and values by turns. */
    relayedHeaders: string[];
}

/** Translates heads between the wire and the product. */
export interface HeadCodec {
    decodeRequestHead: (raw: string[]) => RequestHead;
    encodeUpstreamHead: (head: RequestHead, fields: UpstreamRequestFields) => string[];
    decodeResponseHead: (raw: string[]) => ResponseHead;
}

/** A request that a route serves. */
export interface DirectRequest {
    id: string;
    method: string;
    target: string;
    head: RequestHead;
    body: Buffer;
    route: ServingRoute;
    workspace?: ServingWorkspace;
    pool: string;
    /** Time of arrival, in milliseconds of the monotonic clock. */
    receivedAt: number;
    /** Time after which the caller no longer waits or the route's timeout has passed. */
    deadlineAt: number;
}

/** What the log line of a request says of one attempt. */
export interface AttemptRecord {
    upstream: string;
    /** Requests that were estimated there, and the age of the figures in milliseconds. */
    estimated: number;
    figuresAgeMs?: number;
    end?: string;
}
