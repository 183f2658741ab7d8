/** Calls the upstream beside a slot. */
import { Agent, type Dispatcher, request } from "undici";
import type { RunParams } from "../wire/messages.js";

/** Headers that belong to one connection and are not passed on. */
const hopHeaders = new Set([
    "connection",
    "content-length",
    "host",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
]);

export interface UpstreamAnswer {
    status: number;
    headers: Record<string, string>;
    body: AsyncIterable<Buffer>;
}

export interface UpstreamClient {
    run: (params: RunParams, signal: AbortSignal) => Promise<UpstreamAnswer>;
}

/** Creates a client for the upstream at `url`; idle connections are reused only for a moment. */
export function createUpstreamClient(url: string): UpstreamClient {
    const agent = new Agent({ connections: 256, keepAliveTimeout: 2000, headersTimeout: 0, bodyTimeout: 0 });
    return { run: (params, signal) => requestUpstream(agent, url, params, signal) };
}

async function requestUpstream(
    agent: Agent,
    url: string,
    params: RunParams,
    signal: AbortSignal,
): Promise<UpstreamAnswer> {
    const hasBody = params.body.length > 0;
    const response = await request(`${url}${params.path}`, {
        method: params.method as Dispatcher.HttpMethod,
        headers: { ...params.headers, "x-request-id": params.requestId, "x-workspace": params.workspace },
        body: hasBody ? Buffer.from(params.body, "latin1") : undefined,
        dispatcher: agent,
        signal,
    });
    return { status: response.statusCode, headers: filterHeaders(response.headers), body: response.body };
}

/** Drops connection headers and joins repeated ones. */
export function filterHeaders(headers: Record<string, string | string[] | undefined>): Record<string, string> {
    const kept: Record<string, string> = {};
    for (const [name, value] of Object.entries(headers)) {
        if (value !== undefined && !hopHeaders.has(name)) {
            kept[name] = Array.isArray(value) ? value.join(", ") : value;
        }
    }
    return kept;
}
