/** Internal HTTP interface of an entry: metrics and signed JSON-RPC calls. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { EntrySettings } from "../config/settings.js";
import type { Metrics } from "../observe/metrics.js";
import { authHeader, verifyCall } from "../wire/auth.js";
import { InternalPath } from "../wire/messages.js";
import { createRpcServer, maxRpcBytes, readBody, type RpcMethods } from "../wire/rpc.js";

/** Creates the server; the caller listens on it. */
export function createInternalServer(settings: EntrySettings, metrics: Metrics, methods: RpcMethods): Server {
    const rpc = createRpcServer(methods);
    const handleMetrics = async (response: ServerResponse) => {
        response.writeHead(200, { "content-type": "text/plain" }).end(await metrics.registry.metrics());
    };
    const handleRpc = async (message: IncomingMessage, response: ServerResponse) => {
        const body = (await readBody(message, maxRpcBytes))?.toString();
        const { environment, instance: target } = settings;
        const call = { environment, path: InternalPath.rpc, body: body ?? "", target };
        const header = message.headers[authHeader] as string | undefined;
        if (body === undefined || !verifyCall(settings.internalKeys, call, header, Date.now())) {
            response.writeHead(401).end();
            return;
        }
        const answer = await rpc.receiveJSON(body);
        response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(answer ?? {}));
    };
    return createServer((message, response) => {
        const isRpc = message.method === "POST" && message.url === InternalPath.rpc;
        void (isRpc ? handleRpc(message, response) : handleMetrics(response)).catch(() => response.destroy());
    });
}
