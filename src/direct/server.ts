/**
 * HTTP server for callers of the direct path, on which an entry sends requests straight to upstreams. Reads requests,
 * resolves route and workspace (tenant), and dispatches them.
 */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { findServingRoute, pickPool, type ServingIndex } from "../config/serving.js";
import type { BodyReader } from "../wire/body.js";
import { type ConnectionCloser, createConnectionCloser } from "../wire/closeIdleConnections.js";
import { findInvalidField, isRequestTarget } from "../wire/httpSyntax.js";
import { interruptResponse } from "../wire/interruptResponse.js";
import { computeRequestDigest } from "../wire/requestDigest.js";
import { handleRequests } from "../wire/sequentialRequests.js";
import type { DirectContext } from "./context.js";
import { DirectDispatch } from "./directDispatch.js";
import type { QuarantineVerdict } from "./requestQuarantine.js";
import type { DirectRequest } from "./types.js";

/** Maximum size of a request's headers, in bytes; the document sets its own, lower limit. */
const maxHeaderBytes = 64 * 1024;
/** Time beyond the callers' idle and header timeouts after which the server closes a connection, in milliseconds. */
const idleMarginMs = 1000;
/** Retry-After of responses while there is no active document or the quarantine is not known, in milliseconds. */
const startupRetryAfterMs = 500;
/** Retry-After of responses while this entry stops, in milliseconds: another entry can take the request at once. */
const stoppingRetryAfterMs = 0;

/** Retry-After of a request behind too many others on its connection, in milliseconds: another connection can take it. */
const pipelineRetryAfterMs = 0;

export interface DirectServerOptions {
    context: DirectContext;
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
    const server = createServer({ maxHeaderSize: maxHeaderBytes, requireHostHeader: false, requestTimeout: 0 });
    const connectionCloser = createConnectionCloser(server);
    const takeRequest = (message: IncomingMessage, response: ServerResponse, body: BodyReader) => {
        arrivalCount += 1;
        inFlight.set(response, undefined);
        response.sendDate = false;
        response.shouldKeepAlive = response.shouldKeepAlive && !options.isStopping();
        response.on("close", () => inFlight.delete(response));
        response.on("error", options.context.reportFault);
        handleRequest(options, message, response, body, arrivalCount).then(dispatch => {
            if (dispatch !== undefined && inFlight.has(response)) {
                inFlight.set(response, dispatch);
            }
            dispatch?.begin();
        }).catch((error: Error) => {
            options.context.reportFault(error);
            options.context.sendRefusal(response, startupRetryAfterMs);
        });
    };
    handleRequests(server, {
        handle: takeRequest,
        refuse: response => options.context.sendRefusal(response, pipelineRetryAfterMs),
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

/** Reads a request; returns its dispatch, or undefined once it has been answered or its caller has gone. */
async function handleRequest(
    options: DirectServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
    reader: BodyReader,
    arrivalNumber: number,
): Promise<DirectDispatch | undefined> {
    const { context } = options;
    const receivedAt = context.now();
    const maxBodyBytes = options.getIndex()?.document.limits.maxBodyBytes ?? Infinity;
    const body = await reader.read(maxBodyBytes);
    if (response.destroyed) {
        return undefined;
    }
    if (body === undefined) {
        response.shouldKeepAlive = false;
        sendEmptyResponse(response, 413);
        return undefined;
    }
    const index = options.getIndex();
    if (index === undefined) {
        context.sendRefusal(response, startupRetryAfterMs);
        return undefined;
    }
    const request = resolveRequest(options, index, message, { body, hash: reader.computeHash() }, receivedAt);
    if (typeof request === "number") {
        sendEmptyResponse(response, request);
        return undefined;
    }
    if (!context.isQuarantineKnown() && (request.head.sharedPromptParts?.length ?? 0) > 0) {
        context.sendRefusal(response, startupRetryAfterMs);
        return undefined;
    }
    if (!options.isTaken(request.deadlineAt)) {
        context.sendRefusal(response, stoppingRetryAfterMs);
        return undefined;
    }
    return new DirectDispatch(context, request, response, arrivalNumber);
}

/** Resolves the route, the workspace and the pool of a request; returns the HTTP status if the request is rejected. */
function resolveRequest(
    { context, random }: DirectServerOptions,
    index: ServingIndex,
    message: IncomingMessage,
    { body, hash }: { body: Buffer; hash: string; },
    receivedAt: number,
): DirectRequest | number {
    const target = message.url ?? "/";
    if (!isRequestTarget(target) || findInvalidField(message.rawHeaders) !== undefined) {
        return 400;
    }
    const head = context.codec.decodeRequestHead(message.rawHeaders);
    const route = findServingRoute(index, head.host, target);
    if (route === undefined) {
        return 404;
    }
    const workspace = head.key === undefined ? undefined : index.workspaces.get(head.key);
    if (index.document.workspaces !== undefined && !route.isPublic && workspace === undefined) {
        return 401;
    }
    const pool = pickPool(route, random());
    if (pool === undefined) {
        return 404;
    }
    if (head.requestId === undefined) {
        return 400;
    }
    const timeoutMs = Math.min(head.timeoutMs ?? Infinity, route.timeoutMs);
    const method = message.method ?? "GET";
    return {
        id: head.requestId,
        digest: computeRequestDigest({
            caller: head.key ?? "",
            method,
            host: head.host,
            target,
            bodyHash: hash,
            promptParts: [...head.sharedPromptParts ?? [], head.ownPromptPart ?? ""],
        }),
        method,
        target,
        head,
        body,
        route,
        workspace,
        pool,
        receivedAt,
        deadlineAt: receivedAt + timeoutMs,
    };
}

/** Sends a response without a body; does nothing if a response has been started or the connection is closed. */
export function sendEmptyResponse(response: ServerResponse, status: number, headers: string[] = []): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, [...headers, "Content-Length", "0"]);
        response.end();
    }
}

/** Responds that a request has not run because it is quarantined; does nothing if a response has been started. */
export function sendQuarantineRejection(response: ServerResponse, { parts, upstreams }: QuarantineVerdict): void {
    if (!response.headersSent && !response.destroyed) {
        const isWhole = parts.length === 0;
        const partList = `its prompt's ${parts.length === 1 ? "part" : "parts"} ${parts.join(", ")}`;
        const detail = `The request has not run: ${upstreams.length} upstreams crashed under ${
            isWhole ? "it" : partList
        }.`;
        const title = isWhole ? "The request is quarantined" : "The prompt contains quarantined parts";
        const problem = { title, status: 503, detail, parts };
        const text = JSON.stringify(problem);
        const contentLength = String(Buffer.byteLength(text));
        response.writeHead(503, ["Content-Type", "application/problem+json", "Content-Length", contentLength]);
        response.end(text);
    }
}
