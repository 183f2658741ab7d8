/** HTTP server helpers of the fakes. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { listenOn } from "../wire/listen.js";

export type RequestHandler = (
    request: IncomingMessage,
    body: string,
    response: ServerResponse,
    url: URL,
) => Promise<void> | void;

/**
 * Starts a server on the loopback interface; port 0 picks a free port. Keys of `handlers` are a method and the first
 * segment of the path, as in `GET /instances`; the key `default` handles all other requests.
 */
export async function startHttpServer(
    port: number,
    handlers: Record<string, RequestHandler>,
): Promise<{ server: Server; url: string; }> {
    const server = createServer((request, response) => {
        void (async () => {
            const chunks: Buffer[] = [];
            for await (const chunk of request) {
                chunks.push(chunk as Buffer);
            }
            const url = new URL(request.url ?? "/", "http://standin");
            const route = `${request.method} /${url.pathname.split("/")[1]}`;
            const handler = handlers[route] ?? handlers.default;
            if (handler === undefined) {
                sendJson(response, 404, { error: `nothing at ${route}` });
                return;
            }
            await handler(request, Buffer.concat(chunks).toString(), response, url);
        })().catch(() => response.destroy());
    });
    server.keepAliveTimeout = 30_000;
    const boundPort = await listenOn(server, "127.0.0.1", port);
    return { server, url: `http://127.0.0.1:${boundPort}` };
}

/** Sends a JSON response. */
export function sendJson(response: ServerResponse, status: number, body: unknown): void {
    response.writeHead(status, { "content-type": "application/json" }).end(JSON.stringify(body));
}
