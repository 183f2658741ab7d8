/**
 * HTTP server for callers of the direct path, on which an entry sends requests straight to upstreams. Reads requests,
 * resolves route and workspace (tenant), and dispatches them.
 */
import { createServer, type Server, type ServerResponse } from "node:http";
import type { ServingIndex } from "../config/serving.js";
import type { CallerLimits } from "../wire/callerLimits.js";
import { type ConnectionCloser, createConnectionCloser } from "../wire/closeIdleConnections.js";
import { interruptResponse } from "../wire/interruptResponse.js";
import { type CallerRequest, handleRequests } from "../wire/sequentialRequests.js";
import type { DirectContext } from "./context.js";
import type { DirectDispatch } from "./directDispatch.js";
import { receiveRequest, startupRetryAfterMs } from "./receiveRequest.js";

/** Maximum size of a request's headers, in bytes; the document sets its own, lower limit. */
const maxHeaderBytes = 64 * 1024;
/** Time beyond the callers' idle and header timeouts after which the server closes a connection, in milliseconds. */
const idleMarginMs = 1000;
/**
 * Pause after which the caller of a request that was given up for want of memory should return, and the time over which the
 * callers' return is spread, in milliseconds.
 */
const memoryRetryAfterMs = { min: 200, spread: 800 };

export interface DirectServerOptions {
    context: DirectContext;
    limits: CallerLimits;
    /** Returns the index of the active document; undefined before the first one. */
    getIndex: () => ServingIndex | undefined;
    isStopping: () => boolean;
    /** Whether a request may be taken that ends by `deadlineAt`, in milliseconds; not if this entry stops before. */
    isTaken: (deadlineAt: number) => boolean;
    /** Returns a random number in [0, 1). */
    random: () => number;
}

export interface DirectServer extends ConnectionCloser {
    server: Server;
    /** Returns the number of requests whose response has not ended. */
    countInFlight: () => number;
    /** Ends the requests in flight: refuses those that have not run, and breaks off responses that have begun. */
    endRequests: () => void;
    /** Breaks off the responses that have been written to their end but not been sent. */
    interruptUnsent: () => void;
}

/** Creates the server without starting to listen. */
export function createDirectServer(options: DirectServerOptions): DirectServer {
    /** Responses that have not ended, with their dispatch once it has begun. */
    const inFlight = new Map<ServerResponse, DirectDispatch | undefined>();
    let arrivalCount = 0;
    const server = createServer({
        maxHeaderSize: maxHeaderBytes,
        requireHostHeader: false,
        // The deadline of a request ends its body.
        requestTimeout: 0,
    });
    // Node drops the header lines beyond its own limit and passes on the others.
    server.maxHeadersCount = 0;
    options.limits.guard.watch(server);
    const connectionCloser = createConnectionCloser(server);
    const takeRequest = (request: CallerRequest) => {
        const { response } = request;
        arrivalCount += 1;
        inFlight.set(response, undefined);
        response.sendDate = false;
        response.shouldKeepAlive = response.shouldKeepAlive && !options.isStopping();
        response.on("close", () => inFlight.delete(response));
        response.on("error", options.context.reportFault);
        receiveRequest(options, request, arrivalCount).then(dispatch => {
            if (dispatch !== undefined && inFlight.has(response)) {
                inFlight.set(response, dispatch);
            }
            if (dispatch?.isReleased === false) {
                dispatch.begin();
            }
        }).catch((error: Error) => {
            options.context.reportFault(error);
            options.context.sendRefusal(response, startupRetryAfterMs);
        });
    };
    handleRequests(server, options.limits.memory, {
        handle: takeRequest,
        refuse: response => {
            const { min, spread } = memoryRetryAfterMs;
            response.sendDate = false;
            options.context.sendRefusal(response, min + options.random() * spread);
        },
    });
    return {
        server,
        ...connectionCloser,
        countInFlight: () => inFlight.size,
        endRequests: () =>
            [...inFlight].forEach(([response, dispatch]) =>
                dispatch === undefined ? interruptResponse(response) : dispatch.stop()
            ),
        interruptUnsent: () => [...inFlight.keys()].forEach(interruptResponse),
    };
}

/** Applies the document's timeouts to the server. */
export function applyLimits(server: Server, index: ServingIndex): void {
    const { headerTimeoutMs, idleTimeoutMs } = index.document.limits;
    server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
    server.headersTimeout = headerTimeoutMs + idleMarginMs;
}
