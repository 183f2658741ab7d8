/** The callers' server of the direct path: reads requests whole, finds their route and workspace, dispatches them. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { findServingRoute, pickPool, type ServingIndex } from "../config/serving.js";
import { readBody } from "../wire/body.js";
import type { DirectContext } from "./context.js";
import { DirectDispatch } from "./directDispatch.js";
import type { DirectRequest } from "./types.js";

/** Longest header block that is read, in bytes; documents give their own bound below this. */
const maxHeaderBytes = 64 * 1024;
/** Time beyond the callers' idle limit for which idle connections are kept, in milliseconds. */
const idleMarginMs = 1000;
/** Time that callers are told to stay away while no document is known, in milliseconds. */
const noDocumentRetryAfterMs = 500;

export interface DirectServerOptions {
    context: DirectContext;
    /** The document in force; undefined before the first one. */
    getIndex: () => ServingIndex | undefined;
    isStopping: () => boolean;
    random: () => number;
}

export interface DirectServer {
    server: Server;
    countInFlight: () => number;
}

/** Creates the server; the caller listens on it. */
export function createDirectServer(options: DirectServerOptions): DirectServer {
    let inFlight = 0;
    let arrivalCount = 0;
    const server = createServer({ maxHeaderSize: maxHeaderBytes, requireHostHeader: false, requestTimeout: 0 });
    server.on("request", (message: IncomingMessage, response: ServerResponse) => {
        arrivalCount += 1;
        inFlight += 1;
        response.sendDate = false;
        response.shouldKeepAlive = response.shouldKeepAlive && !options.isStopping();
        response.on("close", () => inFlight -= 1);
        void handleRequest(options, message, response, arrivalCount);
    });
    return { server, countInFlight: () => inFlight };
}

/** Applies the document's limits to new and open connections. */
export function applyLimits(server: Server, index: ServingIndex): void {
    const { headerTimeoutMs, idleTimeoutMs } = index.document.limits;
    server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
    server.headersTimeout = headerTimeoutMs + idleMarginMs;
}

async function handleRequest(
    options: DirectServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
    arrivalNumber: number,
): Promise<void> {
    const { context } = options;
    const receivedAt = context.now();
    const maxBodyBytes = options.getIndex()?.document.limits.maxBodyBytes ?? Infinity;
    const body = await readBody(message, maxBodyBytes);
    if (response.destroyed) {
        return;
    }
    if (body === undefined) {
        response.shouldKeepAlive = false;
        sendEmptyResponse(response, 413);
        return;
    }
    const index = options.getIndex();
    if (index === undefined) {
        context.sendRefusal(response, noDocumentRetryAfterMs);
        return;
    }
    const request = resolveRequest(options, index, message, body, receivedAt);
    if (typeof request === "number") {
        sendEmptyResponse(response, request);
        return;
    }
    new DirectDispatch(context, request, response, arrivalNumber).begin();
}

/** Finds the route, the workspace and the pool of a request, or the status that refuses it. */
function resolveRequest(
    { context, random }: DirectServerOptions,
    index: ServingIndex,
    message: IncomingMessage,
    body: Buffer,
    receivedAt: number,
): DirectRequest | number {
    const head = context.codec.decodeRequestHead(message.rawHeaders);
    const target = message.url ?? "/";
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
    return {
        id: head.requestId,
        method: message.method ?? "GET",
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

/** Answers without a body; does nothing when the answer has begun or nobody waits for it. */
export function sendEmptyResponse(response: ServerResponse, status: number, headers: string[] = []): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, [...headers, "Content-Length", "0"]);
        response.end();
    }
}
