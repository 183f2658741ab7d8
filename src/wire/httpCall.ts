/** Calls over HTTP with a limit of time for the whole call, for control traffic between processes and to the platform. */
import { type Agent, request } from "node:http";
import { CallError } from "../core/errors.js";

export interface HttpCall {
    host: string;
    port: number;
    method: "GET" | "POST";
    path: string;
    /** Time until the whole answer has to be there, in milliseconds. */
    timeoutMs: number;
    body?: string | Buffer;
    /** Encoding of the body, when it is compressed. */
    bodyEncoding?: "deflate";
    /** Keeps connections; without it, each call makes its own. */
    agent?: Agent;
    signal?: AbortSignal;
}

export interface HttpResponse {
    status: number;
    body: Buffer;
}

/** Makes a call; rejects with a `CallError` when there is no complete answer in time. */
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
        const timer = setTimeout(() => fail("took too long"), timeoutMs);
        const fail = (reason: string) => {
            clearTimeout(timer);
            outgoing.destroy();
            reject(new CallError(`${method} ${path} at ${host}:${port} ${reason}`));
        };
        outgoing.on("error", error => fail(`failed: ${error.message}`));
        outgoing.on("response", response => {
            const chunks: Buffer[] = [];
            response.on("data", (chunk: Buffer) => chunks.push(chunk));
            response.on("error", error => fail(`was cut: ${error.message}`));
            response.on("end", () => {
                clearTimeout(timer);
                resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks) });
            });
        });
        outgoing.end(body);
    });
}
