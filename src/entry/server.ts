/** The HTTP server of an entry for callers: passes each request through a chain of filters. */
import { randomUUID } from "node:crypto";
import { createServer, type Server } from "node:http";
import type { ActiveConfig } from "../config/fold.js";
import { RefusalError } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import type { Logger } from "../observe/logger.js";
import type { CallerLimits } from "../wire/callerLimits.js";
import { createConnectionCloser } from "../wire/closeIdleConnections.js";
import { dropUnreadBody } from "../wire/lingeringClose.js";
import { type CallerRequest, handleRequests } from "../wire/sequentialRequests.js";
import { createAcceptFilter, createBodyFilter } from "./accept.js";
import { authenticateWorkspace } from "./authenticate.js";
import { type DispatchContext, dispatchRequest } from "./dispatch.js";
import { rejectMalformedRequests } from "./malformedRequests.js";
import { sendProblem } from "./relay.js";
import { checkPath, routeRequest } from "./route.js";
import type { Exchange, Filter } from "./types.js";

const maxHeaderBytes = 16_384;
/** Response to a request that was given up for want of memory. */
const memoryProblem = {
    status: 503,
    outcome: RunOutcome.notRun,
    title: "The entry is short of memory",
    retryAfterSeconds: 1,
};

/** Time limits for receiving a request, in milliseconds. */
export interface ReceiveTimeouts {
    /** For the headers. */
    headersMs: number;
    /** For the whole request, headers and body. */
    requestMs: number;
    /** Interval at which the limits are checked. */
    checkMs: number;
}

const defaultReceiveTimeouts: ReceiveTimeouts = { headersMs: 10_000, requestMs: 60_000, checkMs: 1000 };

export interface EntryContext extends DispatchContext {
    maxBodyBytes: number;
    limits: CallerLimits;
    /** Overrides the default limits. */
    timeouts?: ReceiveTimeouts;
    logger: Logger;
    getConfig: () => ActiveConfig;
    /** Result of the readiness check: whether the load balancer in front may send requests to this entry. */
    isReady: () => boolean;
    /**
     * Whether the entry is shutting down; responses then close their connections, so that callers reconnect elsewhere.
     */
    isStopping: () => boolean;
}

export interface EntryServer {
    server: Server;
    /**
     * Resolves when no request is in flight: every response was handed to the operating system or its connection reset.
     */
    drain: () => Promise<void>;
    /** Stops to listen, and closes all connections once no request is in flight. */
    stop: () => Promise<void>;
}

/** Creates the server, which does not listen yet. */
export function createEntryServer(context: EntryContext): EntryServer {
    const filters: Filter[] = [
        createAcceptFilter(context.maxBodyBytes),
        authenticateWorkspace,
        checkPath,
        createBodyFilter(context.maxBodyBytes),
        routeRequest,
        exchange => dispatchRequest(context, exchange),
    ];
    const { headersMs, requestMs, checkMs } = context.timeouts ?? defaultReceiveTimeouts;
    let inFlight = 0;
    const drainWaiters: (() => void)[] = [];
    const server = createServer({
        headersTimeout: headersMs,
        requestTimeout: requestMs,
        connectionsCheckingInterval: checkMs,
        maxHeaderSize: maxHeaderBytes,
        requireHostHeader: false,
    });
    // Node drops the header lines beyond its own limit and passes on the others.
    server.maxHeadersCount = 0;
    context.limits.guard.watch(server);
    const { closeListener, closeIdleConnections } = createConnectionCloser(server);
    const handle = (request: CallerRequest) => {
        const { message, response } = request;
        if (message.url === "/healthz/ready") {
            response.writeHead(context.isReady() ? 200 : 503).end();
            return;
        }
        response.shouldKeepAlive = response.shouldKeepAlive && !context.isStopping();
        inFlight += 1;
        response.on("close", () => {
            inFlight -= 1;
            if (inFlight === 0) {
                drainWaiters.splice(0).forEach(resolve => resolve());
            }
        });
        void runFilters(context, filters, createExchange(context, request));
    };
    const refuse: Parameters<typeof handleRequests>[2]["refuse"] = response => {
        sendProblem(response, randomUUID(), memoryProblem);
        context.metrics.requests.inc({ outcome: RunOutcome.notRun });
    };
    handleRequests(server, context.limits.memory, { handle, refuse });
    rejectMalformedRequests(server);
    const drain = () => inFlight === 0 ? Promise.resolve() : new Promise<void>(resolve => drainWaiters.push(resolve));
    return {
        server,
        drain,
        stop: async () => {
            closeListener();
            closeIdleConnections();
            await drain();
            // A request that is taken from now on would be cut when the process exits.
            server.closeAllConnections();
        },
    };
}

async function runFilters(
    context: EntryContext,
    filters: Filter[],
    exchange: Exchange,
): Promise<void> {
    try {
        for (const filter of filters) {
            await filter(exchange);
            if (exchange.response.headersSent) {
                return;
            }
        }
    }
    catch (error) {
        if (!exchange.response.headersSent) {
            await dropUnreadBody(exchange.response, exchange.bodyReader);
        }
        handleFilterError(context, exchange, error as Error);
    }
}

/** Responds with the error that a filter threw; one that is no `RefusalError` is logged and becomes status 500. */
function handleFilterError(context: EntryContext, exchange: Exchange, error: Error): void {
    if (error instanceof RefusalError) {
        sendProblem(exchange.response, exchange.requestId, { ...error.details, title: error.message });
        context.metrics.requests.inc({ outcome: error.details.outcome });
        return;
    }
    context.logger.error("A request failed unexpectedly.", { requestId: exchange.requestId, error: error.stack });
    sendProblem(exchange.response, exchange.requestId, {
        status: 500,
        outcome: RunOutcome.unknown,
        title: "Internal error",
    });
    context.metrics.requests.inc({ outcome: RunOutcome.unknown });
}

function createExchange(
    context: EntryContext,
    { message, response, body, fields, reservation, setEvictor }: CallerRequest,
): Exchange {
    return {
        requestId: randomUUID(),
        receivedAt: Date.now(),
        message,
        response,
        bodyReader: body,
        fields,
        reservation,
        setEvictor,
        config: context.getConfig(),
        body: Buffer.alloc(0),
        workspace: undefined,
        route: undefined,
        urgency: 0,
        idempotencyKey: undefined,
        tokens: 0,
    };
}
