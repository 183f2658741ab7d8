/** Helpers of the stand-ins' HTTP servers. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listenOn } from "../wire/listen.js";

export type RequestHandler = (
    message: IncomingMessage,
    body: string,
    response: ServerResponse,
    url: URL,
) => Promise<void> | void;

/** Starts a server on the loopback interface; keys of `handlers` are a method and the first part of the path. */
export async function startHttpServer(
    port: number,
    handlers: Record<string, RequestHandler>,
): Promise<{ server: Server; url: string; }> {
    const server = createServer((message, response) => {
        void (async () => {
            const chunks: Buffer[] = [];
            for await (const chunk of message) {
                chunks.push(chunk as Buffer);
            }
            const url = new URL(message.url ?? "/", "http://standin");
            const route = `${message.method} /${url.pathname.split("/")[1]}`;
            const handler = handlers[route] ?? handlers.default;
            if (handler === undefined) {
                sendJson(response, 404, { error: `nothing at ${route}` });
                return;
            }
            await handler(message, Buffer.concat(chunks).toString(), response, url);
        })().catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    const boundPort = await listenOn(server, "127.0.0.1", port);
    return { server, url: `http://127.0.0.1:${boundPort}` };
}

/** Sends a JSON answer. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}
