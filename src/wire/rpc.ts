/** JSON-RPC 2.0 over persistent HTTP connections; calls are signed with the shared keys. */
import { JSONRPCClient, JSONRPCServer } from "json-rpc-2.0";
import { type Dispatcher, request } from "undici";
import { CallError } from "../core/errors.js";
import { authHeader, signCall } from "./auth.js";
import { InternalPath } from "./messages.js";

const callTimeoutMs = 1000;
/** Maximum size of a message in bytes. */
export const maxRpcBytes = 8 * 1024 * 1024;

export interface RpcIdentity {
    environment: string;
    internalKeys: string[];
    /** Name of this instance; calls signed for another instance are refused. */
    instance?: string;
}

export interface RpcCallOptions {
    timeoutMs?: number;
    dispatcher?: Dispatcher;
    /** Name of the only instance that may accept the call; without it, any instance may. */
    target?: string;
}

export type RpcMethods = Record<string, (params: never) => unknown>;

/**
 * Calls `method` of the process at `url` and returns its result. Rejects with a `CallError` if the status is not 200,
 * and with the error of undici or JSON-RPC otherwise. The default timeout is 1 second.
 */
export async function requestRpc<T>(
    identity: RpcIdentity,
    url: string,
    method: string,
    params: unknown,
    options: RpcCallOptions = {},
): Promise<T> {
    const client = new JSONRPCClient(async payload => {
        const text = await postSigned(identity, url, InternalPath.rpc, JSON.stringify(payload), options);
        client.receive(JSON.parse(text));
    });
    return await client.request(method, params) as T;
}

async function postSigned(
    identity: RpcIdentity,
    url: string,
    path: string,
    body: string,
    options: RpcCallOptions,
): Promise<string> {
    const response = await request(`${url}${path}`, {
        method: "POST",
        headers: createSignedHeaders(identity, path, body, options.target),
        body,
        dispatcher: options.dispatcher,
        signal: AbortSignal.timeout(options.timeoutMs ?? callTimeoutMs),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new CallError(`${url} responded with status ${response.statusCode} to an internal call`);
    }
    return text;
}

/** Creates the headers of an internal call, including its signature. */
export function createSignedHeaders(
    identity: RpcIdentity,
    path: string,
    body: string,
    target?: string,
): Record<string, string> {
    const call = { environment: identity.environment, path, body, target };
    return { "content-type": "application/json", [authHeader]: signCall(identity.internalKeys, call, Date.now()) };
}

/** Creates a JSON-RPC server from methods by name. */
export function createRpcServer(methods: RpcMethods): JSONRPCServer {
    const server = new JSONRPCServer({ errorListener: () => undefined });
    for (const [name, method] of Object.entries(methods)) {
        server.addMethod(name, method as (params: unknown) => unknown);
    }
    return server;
}
