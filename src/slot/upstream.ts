/** HTTP client of the upstream that a slot serves. */
import { randomUUID } from "node:crypto";
import { type buildConnector, Client, type Dispatcher, errors } from "undici";
import { CallError } from "../core/errors.js";
import { isRefused } from "../direct/crashMonitor.js";
import { hopByHopHeaders } from "../wire/hopByHopHeaders.js";
import type { ResponseHeaders, RunParams } from "../wire/messages.js";
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";
import { classifyFraming, findUndecodedCoding, type ResponseFraming } from "../wire/responseFraming.js";
import { callUpstream } from "./upstreamCall.js";

/** Headers that are not forwarded; the client sets the last two itself. */
const droppedHeaders = new Set<string>([...hopByHopHeaders, "content-length", "host"]);

/** Header in which an upstream names the requests per second that it accepts, in lower case. */
const rateLimitHeader = "request-rate-limit";
/** Header in which an upstream says that it leaves, in lower case, and its value. */
const leavingHeader = "upstream-leaving";
const leavingValue = "1";
/** Header in which an upstream that answers 503 asks for a pause, in lower case. */
const pauseHeader = "retry-after";

/** Response of the upstream; the headers are already filtered. */
export interface UpstreamResponse {
    status: number;
    headers: ResponseHeaders;
    framing: ResponseFraming;
    /** Values of the header in which the upstream names its rate limit; see `parseRateLimit`. */
    rateLimitValues: string[];
    /** Whether the upstream says that it leaves. */
    isLeaving: boolean;
    /** Values of the header in which the upstream asks for a pause; see `findRequestedPause`. */
    pauseValues: string[];
    body: AsyncIterable<Buffer>;
    /** Ends the response without its body. */
    discard: () => void;
}

/** Time without data after which the connection to an upstream is considered lost, in milliseconds. */
export interface UpstreamTimeouts {
    /** Until the response headers arrive; if undefined, only the deadline of the request applies. */
    headersTimeoutMs: number | undefined;
    /** Between two chunks of the body. */
    bodyTimeoutMs: number;
}

/** Engines stream tokens steadily; a plain service may take long before it responds. */
export const upstreamTimeouts: Record<"engine" | "plain", UpstreamTimeouts> = {
    engine: { headersTimeoutMs: 10_000, bodyTimeoutMs: 2000 },
    plain: { headersTimeoutMs: undefined, bodyTimeoutMs: 5000 },
};

/** Client of one upstream. */
export interface UpstreamClient {
    timeouts: UpstreamTimeouts;
    /** Called when a request is aborted because one of the timeouts expired. */
    onTimeout: () => void;
    /** Sends a request; rejects if it is aborted or fails before the response headers arrive. */
    run: (params: RunParams, signal: AbortSignal) => Promise<UpstreamResponse>;
    /** Names the crash of the upstream after a run has failed; undefined if it still accepts connections. */
    findCrash?: () => Promise<string | undefined>;
}

/**
 * Creates a client for the upstream at `url`; calls `onRun` for each request that is sent. Every request has a connection of its own: nothing tells a late second copy
 * of an earlier response from the response to the next request, and an idle connection may have been lost.
 */
export function createUpstreamClient(
    url: string,
    timeouts: UpstreamTimeouts,
    onTimeout: () => void,
    onRun: () => void = () => undefined,
): UpstreamClient {
    return {
        timeouts,
        onTimeout,
        run: (params, signal) => {
            onRun();
            return requestUpstream(url, params, signal);
        },
        findCrash: createCrashFinder(url),
    };
}

/** Time after a failed run until the upstream is checked, in milliseconds; a crashing process may still accept at first. */
const crashCheckDelayMs = 20;
/** Time within which failed runs belong to the same crash, in milliseconds; upstreams need longer to restart. */
const sameCrashMs = 1000;

function createCrashFinder(url: string): () => Promise<string | undefined> {
    const address = parseAddress(url);
    const incarnation = randomUUID();
    let crashes = 0;
    let lastCrashAt = -Infinity;
    return async () => {
        await new Promise(resolve => setTimeout(resolve, crashCheckDelayMs));
        if (!await isRefused(address)) {
            return undefined;
        }
        const now = performance.now();
        crashes += now - lastCrashAt > sameCrashMs ? 1 : 0;
        lastCrashAt = now;
        return `${incarnation}/${crashes}`;
    };
}

const defaultPorts: Record<string, number> = { "http:": 80, "https:": 443 };

/** Parses the address of the server at `url`. */
export function parseAddress(url: string): { host: string; port: number; } {
    const { hostname, port, protocol } = new URL(url);
    return { host: hostname, port: Number(port === "" ? defaultPorts[protocol] : port) };
}

/** Timeout for connecting, in milliseconds. */
const connectTimeoutMs = 10_000;

/** Length of the pieces in which received bytes are handed to the parser, which can pause between them, in bytes. */
const maxReadBytes = 8 * 1024;

/**
 * Hands out what it has received in pieces. A parser that pauses gives the rest back, and a read of all bytes would let the
 * socket receive more each time.
 */
class UpstreamSocket extends ResetDetectingSocket {
    override read(size?: number): unknown {
        return super.read(size === undefined && this.readableLength > maxReadBytes ? maxReadBytes : size);
    }
}

/** Stands for the missing error or socket in undici's callbacks. */
const noValue = null; // eslint-disable-line no-restricted-syntax -- required by undici

/** Connects to an upstream by a socket that reports resets, which undici's own connector does not. */
function connectUpstream({ hostname, port }: buildConnector.Options, callback: buildConnector.Callback): void {
    const socket = new UpstreamSocket().setNoDelay(true);
    const timer = setTimeout(() => socket.destroy(new errors.ConnectTimeoutError()), connectTimeoutMs);
    const settle = (...result: Parameters<buildConnector.Callback>) => {
        clearTimeout(timer);
        socket.off("error", handleError);
        callback(...result);
    };
    const handleError = (error: Error) => settle(error, noValue);
    socket.on("error", handleError);
    socket.connect({ host: hostname, port: Number(port) }, () => settle(noValue, socket));
}

/** Creates the client of one request, which has to be destroyed: it would connect again after an abort. */
function createRequestClient(origin: string): Client {
    return new Client(origin, {
        connect: connectUpstream,
        maxRequestsPerClient: 1,
        pipelining: 0,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

async function requestUpstream(url: string, params: RunParams, signal: AbortSignal): Promise<UpstreamResponse> {
    const hasBody = params.body.length > 0;
    const { origin, pathname, search } = new URL(`${url}${params.path}`);
    const client = createRequestClient(origin);
    const destroy = () => void client.destroy();
    const options = {
        path: `${pathname}${search}`,
        method: params.method as Dispatcher.HttpMethod,
        headers: { ...params.headers, "x-request-id": params.requestId, "x-workspace": params.workspace },
        body: hasBody ? Buffer.from(params.body, "latin1") : undefined,
    };
    const { status, headers, body, discard } = await callUpstream(client, options, signal, destroy);
    const framing = classifyFraming(params.method, status, headers);
    const undecodedCoding = findUndecodedCoding(framing, headers);
    if (undecodedCoding !== undefined) {
        discard();
        throw new CallError(undecodedCoding);
    }
    return {
        status,
        headers: filterResponseHeaders(headers),
        framing,
        rateLimitValues: [headers[rateLimitHeader] ?? []].flat(),
        isLeaving: [headers[leavingHeader] ?? []].flat().includes(leavingValue),
        pauseValues: [headers[pauseHeader] ?? []].flat(),
        body,
        discard,
    };
}

/** Removes connection headers of a response and joins repeated ones, except cookies, which cannot be joined. */
export function filterResponseHeaders(headers: Record<string, string | string[] | undefined>): ResponseHeaders {
    const cookies = headers["set-cookie"];
    const filtered: ResponseHeaders = filterHeaders({ ...headers, "set-cookie": undefined });
    return cookies === undefined ? filtered : { ...filtered, "set-cookie": cookies };
}

/** Removes connection headers and joins repeated ones with commas. */
export function filterHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
    const filtered: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !droppedHeaders.has(name)) {
            filtered[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return filtered;
}
