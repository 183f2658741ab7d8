import { createServer } from "node:net";
import { afterEach, expect, it } from "vitest";
import type { RunParams } from "../../wire/messages.js";
import { createUpstreamClient } from "../upstream.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** Time after which the upstream sends a second copy of each response, and that it needs for a response, in milliseconds. */
const copyAfterMs = 40;
const serviceMs = 80;

/** Starts an upstream that keeps connections open and sends a late second copy of its first response on each. */
async function startCopyingUpstream(): Promise<string> {
    const server = createServer(socket => {
        let requests = 0;
        socket.on("error", () => undefined);
        socket.on("data", chunk => {
            const path = chunk.toString().split(" ")[1];
            const response = `HTTP/1.1 200 OK\r\nContent-Length: ${path.length}\r\n\r\n${path}`;
            const send = () => !socket.destroyed && socket.write(response);
            requests += 1;
            if (requests === 1) {
                send();
                setTimeout(send, copyAfterMs);
            }
            else {
                setTimeout(send, serviceMs);
            }
        });
    });
    closers.push(() => server.close());
    const port = await new Promise<number>(resolve =>
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number; }).port))
    );
    return `http://127.0.0.1:${port}`;
}

const createParams = (path: string, idempotent: boolean): RunParams => ({
    requestId: path,
    attempt: 1,
    workspace: "w",
    method: "GET",
    path,
    headers: {},
    body: "",
    idempotent,
    urgency: 3,
    tokens: 1,
    deadlineMs: 1000,
});

it.each([true, false])(
    "a late second copy of a response is not taken for the next one (idempotent: %s)",
    async idempotent => {
        const client = createUpstreamClient(await startCopyingUpstream(), {
            headersTimeoutMs: undefined,
            bodyTimeoutMs: 1000,
        }, () => undefined);
        const bodies: string[] = [];
        for (const path of ["/first", "/second", "/third"]) {
            const response = await client.run(createParams(path, idempotent), new AbortController().signal);
            let body = "";
            for await (const chunk of response.body) {
                body += chunk.toString();
            }
            bodies.push(body);
        }
        expect(bodies).toEqual(["/first", "/second", "/third"]);
    },
);
