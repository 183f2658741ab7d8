/** Calls the upstream beside a slot. */
import { Agent, type Dispatcher, request } from "undici";
import { hopByHopHeaders } from "../wire/hopByHopHeaders.js";
import type { ResponseHeaders, RunParams } from "../wire/messages.js";

/** Headers that are not passed on; the client sets the last two itself. */
const droppedHeaders = new Set<string>([...hopByHopHeaders, "content-length", "host"]);

export interface UpstreamResponse {
    status: number;
    headers: ResponseHeaders;
    body: AsyncIterable<Buffer>;
}

/** Longest silences of an upstream's connection before it counts as lost, in milliseconds. */
export interface UpstreamTimeouts {
    /** Before the head of the answer; only the deadline limits it when absent. */
    headersTimeoutMs: number | undefined;
    /** Between two parts of the body. */
    bodyTimeoutMs: number;
}

/** Engines stream tokens steadily; a plain service may work for long before it answers. */
export const upstreamTimeouts: Record<"engine" | "plain", UpstreamTimeouts> = {
    engine: { headersTimeoutMs: 10_000, bodyTimeoutMs: 2000 },
    plain: { headersTimeoutMs: undefined, bodyTimeoutMs: 5000 },
};

export interface UpstreamClient {
    timeouts: UpstreamTimeouts;
    /** Called when a connection is given up for silence. */
    onTimeout: () => void;
    run: (params: RunParams, signal: AbortSignal) => Promise<UpstreamResponse>;
}

/** Longest time that a connection may have been idle before a request rides on it, in milliseconds. */
const maxIdleMs = { idempotent: 2000, nonIdempotent: 250 };

/**
 * Creates a client for the upstream at `url`. Connections that were idle for a moment may have been lost, so they
 * are not used again, whatever the upstream proposes; requests that can't be repeated get fresher ones.
 */
export function createUpstreamClient(url: string, silence: UpstreamTimeouts, onSilence: () => void): UpstreamClient {
    const idempotent = createAgent(maxIdleMs.idempotent);
    const nonIdempotent = createAgent(maxIdleMs.nonIdempotent);
    return {
        timeouts: silence,
        onTimeout: onSilence,
        run: (params, signal) => requestUpstream(params.idempotent ? idempotent : nonIdempotent, url, params, signal),
    };
}

function createAgent(idleMs: number): Agent {
    return new Agent({
        connections: 256,
        keepAliveTimeout: idleMs,
        keepAliveMaxTimeout: idleMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

async function requestUpstream(
    agent: Agent,
    url: string,
    params: RunParams,
    signal: AbortSignal,
): Promise<UpstreamResponse> {
    const hasBody = params.body.length > 0;
    const response = await request(`${url}${params.path}`, {
        method: params.method as Dispatcher.HttpMethod,
        headers: { ...params.headers, "x-request-id": params.requestId, "x-workspace": params.workspace },
        body: hasBody ? Buffer.from(params.body, "latin1") : undefined,
        dispatcher: agent,
        signal,
    });
    return { status: response.statusCode, headers: filterResponseHeaders(response.headers), body: response.body };
}

/** Drops connection headers of an answer and joins repeated ones, but for cookies, which cannot be joined. */
export function filterResponseHeaders(headers: Record<string, string | string[] | undefined>): ResponseHeaders {
    const cookies = headers["set-cookie"];
    const kept: ResponseHeaders = filterHeaders({ ...headers, "set-cookie": undefined });
    return cookies === undefined ? kept : { ...kept, "set-cookie": cookies };
}

/** Drops connection headers and joins repeated ones. */
export function filterHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
    const kept: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !droppedHeaders.has(name)) {
            kept[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return kept;
}
