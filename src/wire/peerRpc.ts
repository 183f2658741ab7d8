/** JSON-RPC 2.0 between processes of the direct path, over short HTTP calls on the internal network. */
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import type { Agent } from "node:http";
import type { IncomingMessage, ServerResponse } from "node:http";
import { deflateSync, inflateSync } from "node:zlib";
import { CallError } from "../core/errors.js";
import { readBody } from "./body.js";
import { callHttp } from "./httpCall.js";

const rpcPath = "/rpc";
/** Longest message that is read, in bytes; the largest is a handed-over document. */
const maxMessageBytes = 8 * 1024 * 1024;
/** Length from which messages are compressed, in bytes: one packet; what fits into it arrives no sooner when shorter. */
const minCompressedBytes = 1400;

export type PeerMethods = Record<string, (params: never) => unknown>;

export interface PeerCall {
    host: string;
    port: number;
    method: string;
    params: unknown;
    timeoutMs: number;
    agent?: Agent;
}

/** Calls a method of another process; rejects with a `CallError` when it does not answer in time. */
export async function callPeer<T>({ host, port, method, params, timeoutMs, agent }: PeerCall): Promise<T> {
    const client = new JSONRPCClient(async payload => {
        const text = JSON.stringify(payload);
        const body = text.length < minCompressedBytes ?
            { body: text } :
            { body: deflateSync(text), bodyEncoding: "deflate" as const };
        const response = await callHttp({ host, port, method: "POST", path: rpcPath, timeoutMs, ...body, agent });
        if (response.status !== 200) {
            throw new CallError(`${host}:${port} answered ${response.status} to ${method}`);
        }
        client.receive(JSON.parse(response.body.toString()));
    });
    return await client.request(method, params) as T;
}

/** Creates the handler of calls from other processes; it passes on what is no call. */
export function createPeerHandler(
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
        void readBody(message, maxMessageBytes).then(async body => {
            const text = body === undefined ? undefined : decodeMessage(message, body);
            const answer = text === undefined ? undefined : await server.receiveJSON(text);
            response.writeHead(answer === undefined ? 400 : 200, { "content-type": "application/json" });
            response.end(answer === undefined ? undefined : JSON.stringify(answer));
        });
    };
}

/** Decodes a message; undefined when it is not well formed or too long. */
function decodeMessage({ headers }: IncomingMessage, body: Buffer): string | undefined {
    if (headers["content-encoding"] !== "deflate") {
        return body.toString();
    }
    try {
        return inflateSync(body, { maxOutputLength: maxMessageBytes }).toString();
    }
    catch {
        // Anyone may send to the port; the sender gets 400.
        return undefined;
    }
}
