/** A server of streams, and a client that sends one stream after the other on a kept connection. */
import { Agent, createServer } from "node:http";
import { call, createHost, findPort, onClose, wait } from "./harness.js";
import { apiKey, routeHost } from "./load.js";

/**
 * Starts a sound model server. `plan` returns, for the path of a request, the number of events, the time between two of
 * them, a silence with the event after which it comes, the event after which the stream is broken off, and the status.
 * A request with Last-Event-Id is resumed after that event.
 */
export async function startModelServer(record, { id, index, plan }) {
    const host = createHost(index);
    const port = await findPort(host);
    const server = createServer(async (message, response) => {
        message.resume();
        const requestId = message.headers["beechdock-request-id"];
        const { events, gapMs, silenceMs = 0, silentAfter = 0, brokenAfter, status = 200 } = plan(message.url);
        let sent = Number(message.headers["last-event-id"] ?? 0);
        if (status !== 200) {
            const body = `${id} fails`;
            record.add(`${id} answers ${status} to ${requestId} after event ${sent}`);
            response.writeHead(status, {
                "Beechdock-Request-Id": requestId,
                "Beechdock-Server-Signature": `${id}.${requestId}`,
                "Content-Length": body.length,
            }).end(body);
            return;
        }
        record.add(`${id} runs ${requestId}${silenceMs > 0 ? `, with a silence of ${silenceMs} ms` : ""}`);
        response.on("close", () => {
            if (sent < events) {
                record.add(`${id}: the connection of ${requestId} was closed after event ${sent} of ${events}`);
            }
        });
        response.writeHead(200, {
            "Beechdock-Request-Id": requestId,
            "Beechdock-Server-Signature": `${id}.${requestId}`,
            "Content-Type": "text/event-stream",
        });
        while (sent < events && !response.destroyed) {
            if (sent === brokenAfter) {
                record.add(`${id} breaks off ${requestId} after event ${sent}`);
                response.socket.resetAndDestroy();
                return;
            }
            sent += 1;
            response.write(`id: ${sent}\ndata: ${requestId}\n\n`);
            await wait(silenceMs > 0 && sent === silentAfter ? silenceMs : gapMs);
        }
        response.end();
    });
    await new Promise(resolve => server.listen(port, host, resolve));
    onClose(() => {
        server.close();
        server.closeAllConnections();
    });
    return { id, service: "models", address: `${host}:${port}` };
}

/** Creates a client with a connection of its own; `send` resolves to the answer. */
export function createStreamClient(record, { host, port }) {
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    onClose(() => agent.destroy());
    return {
        send: async (id, path) => {
            const sentAt = performance.now();
            const headers = {
                Host: routeHost,
                "X-Api-Key": apiKey,
                "Beechdock-Request-Id": id,
                "Beechdock-Request-Deadline": "8000",
                "Beechdock-Token-Usage": "700,140",
            };
            const answer = await call({ host, port, method: "POST", path, headers, body: "{}", agent });
            const events = answer.body.split("\n\n").length - 1;
            const { status, error, ms, isReused } = answer;
            const connection = isReused ? "kept connection" : "new connection";
            record.add(`${id}, ${connection}: ${status}, ${events} events, ${error || "complete"} after ${ms} ms`);
            return { id, sentAt, events, ...answer };
        },
    };
}
