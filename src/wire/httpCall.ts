/** HTTP client for control traffic between processes and to the platform, with one timeout for the whole call. */
import { type Agent, request } from "node:http";
import { CallError } from "../core/errors.js";

export interface HttpCall {
    host: string;
    port: number;
    method: "GET" | "POST";
    path: string;
    /** Time within which the response must be complete, in milliseconds. */
    timeoutMs: number;
    body?: string | Buffer;
    /** Content encoding of a compressed body. */
    bodyEncoding?: "deflate";
    /** Agent that reuses connections; without it, each call opens its own. */
    agent?: Agent;
    signal?: AbortSignal;
}

export interface HttpResponse {
    status: number;
    body: Buffer;
}

/** Calls a server; rejects with a `CallError` if there is no complete response in time. Any status resolves. */
export function callHttp(call: HttpCall): Promise<HttpResponse> {
    const { host, port, method, path, timeoutMs, body, bodyEncoding, agent, signal } = call;
    return new Promise((resolve, reject) => {
        const headers = body === undefined ?
            undefined :
            {
                "content-type": "application/json",
                "content-length": Buffer.byteLength(body),
                ...(bodyEncoding === undefined ? {} : { "content-encoding": bodyEncoding }),
            };
        const outgoing = request({ host, port, method, path, headers, agent: agent ?? false, signal });
        const timer = setTimeout(() => fail("timed out"), timeoutMs);
        const fail = (reason: string) => {
            clearTimeout(timer);
            outgoing.destroy();
            reject(new CallError(`${method} ${path} at ${host}:${port} ${reason}`));
        };
        outgoing.on("error", error => fail(`failed: ${error.message}`));
        outgoing.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", error => fail(`failed during the response: ${error.message}`));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) });
            });
        });
        outgoing.end(body);
    });
}
