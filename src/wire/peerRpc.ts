/**
 * Unsigned JSON-RPC 2.0 over HTTP between processes of the direct path (entries that send requests straight to
 * upstreams, and slots), on the internal network.
 */
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import type { Agent } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { deflateSync, inflateSync } from "node:zlib";
import { CallError } from "../core/errors.js";
import { HoldingStage } from "../routing/memoryAccount.js";
import type { CallerMemory } from "./callerMemory.js";
import { callHttp } from "./httpCall.js";
import { closeBehind } from "./lingeringClose.js";
import { receiveCall } from "./receiveCall.js";

const rpcPath = "/rpc";
/** Maximum size of a message in bytes, also after decompression; the largest ones hand over a document. */
const maxMessageBytes = 8 * 1024 * 1024;
/** Size from which messages are compressed, in bytes; a message that fits into one packet gains nothing. */
const minCompressedBytes = 1400;

export type PeerMethods = Record<string, (params: never) => unknown>;

export interface PeerCall {
    host: string;
    port: number;
    method: string;
    params: unknown;
    timeoutMs: number;
    /** Longest pause within the response, in milliseconds; with it, `timeoutMs` is the time until the response begins. */
    stallTimeoutMs?: number;
    agent?: Agent;
}

/** Calls a method of another process; rejects with a `CallError` if the response is not in time or not status 200. */
export async function callPeer<T>(call: PeerCall): Promise<T> {
    const { host, port, method, params, timeoutMs, stallTimeoutMs, agent } = call;
    const client = new JSONRPCClient(async payload => {
        const text = JSON.stringify(payload);
        const body = text.length < minCompressedBytes ?
            { body: text } :
            { body: deflateSync(text), bodyEncoding: "deflate" as const };
        const timeouts = { timeoutMs, stallTimeoutMs };
        const response = await callHttp({ host, port, method: "POST", path: rpcPath, ...timeouts, ...body, agent });
        if (response.status !== 200) {
            throw new CallError(`${host}:${port} responded with status ${response.status} to ${method}`);
        }
        client.receive(JSON.parse(response.body.toString()));
    });
    return await client.request(method, params) as T;
}

/**
 * Creates the request handler for calls from other processes, whose messages are held in `memory`; other requests are passed
 * to `fallback`.
 */
export function createPeerHandler(
    memory: CallerMemory,
    methods: PeerMethods,
    fallback: (message: IncomingMessage, response: ServerResponse) => void,
): (message: IncomingMessage, response: ServerResponse) => void {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
        server.addMethod(name, method as (params: unknown) => unknown);
    }
    return (message, response) => {
        if (message.method !== "POST" || message.url !== rpcPath) {
            fallback(message, response);
            return;
        }
        const call = receiveCall(message, response, memory, maxMessageBytes);
        void call.body.then(async body => {
            if (response.headersSent) {
                return;
            }
            if (body === undefined) {
                closeBehind(response);
            }
            call.reservation.setStage(HoldingStage.running);
            const text = body === undefined ? undefined : decodeMessage(message, body);
            const rpcResponse = text === undefined ? undefined : await server.receiveJSON(text);
            response.writeHead(rpcResponse === undefined ? 400 : 200, { "content-type": "application/json" });
            response.end(rpcResponse === undefined ? undefined : JSON.stringify(rpcResponse));
        }).catch(() => response.destroy());
    };
}

/** Decodes a message; undefined if its compression is invalid or the result is too long. */
function decodeMessage({ headers }: IncomingMessage, body: Buffer): string | undefined {
    if (headers["content-encoding"] !== "deflate") {
        return body.toString();
    }
    try {
        return inflateSync(body, { maxOutputLength: maxMessageBytes }).toString();
    }
    catch {
        // Any process can send to this port; the sender gets status 400.
        return undefined;
    }
}
