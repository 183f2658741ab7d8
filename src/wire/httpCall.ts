/** HTTP client for control traffic between processes and to the platform, with timeouts. */
import { type Agent, type IncomingHttpHeaders, request } from "node:http";
import { CallError } from "../core/errors.js";

export interface HttpCall {
    host: string;
    port: number;
    method: "GET" | "POST";
    path: string;
    /** Time within which the response must be complete or, with `stallTimeoutMs`, must begin, in milliseconds. */
    timeoutMs: number;
    /**
     * Longest pause within the response, in milliseconds, for responses whose size has no useful bound: a transfer that
     * makes progress is not given up, since a new call would have to begin with the first byte again.
     */
    stallTimeoutMs?: number;
    /** Maximum size of the response's body, in bytes; 64 MiB if absent. */
    maxBytes?: number;
    body?: string | Buffer;
    /** Content encoding of a compressed body. */
    bodyEncoding?: "deflate";
    /** Agent that reuses connections; without it, each call opens its own. */
    agent?: Agent;
    signal?: AbortSignal;
    /** Called whenever a part of the response has arrived. */
    onData?: () => void;
}

export interface HttpResponse {
    status: number;
    headers: IncomingHttpHeaders;
    body: Buffer;
}

/** Maximum size of a response's body without a limit of its own, in bytes; a server in trouble may send without end. */
const defaultMaxBytes = 64 * 1024 * 1024;

/** Calls a server; rejects with a `CallError` if the response is too long or not in time. Any status resolves. */
export function callHttp(call: HttpCall): Promise<HttpResponse> {
    const { host, port, method, path, timeoutMs, stallTimeoutMs, body, bodyEncoding, agent, signal, onData } = call;
    const { maxBytes = defaultMaxBytes } = call;
    return new Promise((resolve, reject) => {
        const headers = body === undefined ?
            undefined :
            {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                ...(bodyEncoding === undefined ? {} : { "content-encoding": bodyEncoding }),
            };
        const outgoing = request({ host, port, method, path, headers, agent: agent ?? false, signal });
        let timer = setTimeout(() => fail("timed out"), timeoutMs);
        const recordProgress = () => {
            onData?.();
            if (stallTimeoutMs !== undefined) {
                clearTimeout(timer);
                timer = setTimeout(() => fail("timed out"), stallTimeoutMs);
            }
        };
        const fail = (reason: string) => {
            clearTimeout(timer);
            outgoing.destroy();
            reject(new CallError(`${method} ${path} at ${host}:${port} ${reason}`));
        };
        outgoing.on("error", error => fail(`failed: ${error.message}`));
        outgoing.on("response", response => {
            const chunks: Buffer[] = [];
            recordProgress();
            let size = 0;
            response.on("data", (chunk: Buffer) => {
                size += chunk.length;
                if (size > maxBytes) {
                    fail(`sent more than ${maxBytes} bytes`);
                    return;
                }
                chunks.push(chunk);
                recordProgress();
            });
            response.on("error", error => fail(`failed during the response: ${error.message}`));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks) });
            });
        });
        outgoing.end(body);
    });
}
