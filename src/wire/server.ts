/** Internal HTTP server of entries and slots: signed calls, and unauthenticated metrics. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { Registry } from "prom-client";
import { HoldingStage } from "../routing/memoryAccount.js";
import { authHeader, verifyCall } from "./auth.js";
import type { CallerMemory } from "./callerMemory.js";
import { closeBehind } from "./lingeringClose.js";
import { callTimeouts, receiveCall } from "./receiveCall.js";
import { createRpcServer, maxRpcBytes, type RpcIdentity, type RpcMethods } from "./rpc.js";

/** Handles a call whose signature has been verified. */
export type InternalHandler = (body: string, response: ServerResponse) => Promise<void> | void;

export interface InternalServerOptions {
    /** Memory that all servers of the process share. */
    memory: CallerMemory;
    identity: RpcIdentity;
    registry: Registry;
    /** Handlers of POST requests, by path. */
    handlers: Record<string, InternalHandler>;
}

/** Creates the server; the caller binds it to an address. */
export function createInternalServer(options: InternalServerOptions): Server {
    return createServer(callTimeouts, (message, response) => {
        response.sendDate = false;
        handleMessage(options, message, response).catch(() => {
            if (response.headersSent) {
                response.destroy();
            }
            else {
                response.writeHead(500).end();
            }
        });
    });
}

/** Creates the handler of JSON-RPC calls; invalid calls get a JSON-RPC 2.0 error. */
export function createRpcHandler(methods: RpcMethods): InternalHandler {
    const rpc = createRpcServer(methods);
    return async (body, response) => {
        const rpcResponse = await rpc.receiveJSON(body);
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(rpcResponse ?? {}));
    };
}

async function handleMessage(
    options: InternalServerOptions,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const path = message.url ?? "/";
    if (message.method === "GET" && path === "/metrics") {
        response.writeHead(200, { "content-type": "text/plain" }).end(await options.registry.metrics());
        return;
    }
    const handler = message.method === "POST" && Object.hasOwn(options.handlers, path) ?
        options.handlers[path] :
        undefined;
    if (handler === undefined) {
        response.writeHead(404).end();
        return;
    }
    const call = receiveCall(message, response, options.memory, maxRpcBytes);
    const body = await call.body;
    if (response.headersSent) {
        return;
    }
    if (body === undefined) {
        closeBehind(response);
        response.writeHead(413).end();
        return;
    }
    const { environment, internalKeys, instance: target } = options.identity;
    call.reservation.setStage(HoldingStage.running);
    const text = body.toString();
    const header = message.headers[authHeader] as string | undefined;
    if (!verifyCall(internalKeys, { environment, path, body: text, target }, header, Date.now())) {
        response.writeHead(401).end();
        return;
    }
    await handler(text, response);
}
