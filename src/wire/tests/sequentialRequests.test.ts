import { createServer } from "node:http";
import { connect } from "node:net";
import { afterEach, expect, test } from "vitest";
import { createCallerMemory } from "../callerMemory.js";
import { dropUnreadBody } from "../lingeringClose.js";
import { listenOn } from "../listen.js";
import { handleRequests } from "../sequentialRequests.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** Memory of the requests of some reads from a connection; the limit for one connection is four times as much. */
const maxPeakBytes = 1024 * 1024;
const requestCount = 400;

// Guards against an entry that reads requests faster than it rejects them: the callers that it then has to give up.
test.each([
    ["without a body", "GET", "Content-Length: 0", ""],
    ["with a short body", "POST", "Content-Length: 5", "12345"],
    ["with a chunk", "POST", "Transfer-Encoding: chunked", "5\r\n12345\r\n0\r\n\r\n"],
])("pipelined requests that are rejected do not pile up, %s", async (name, method, framing, body) => {
    const memory = createCallerMemory(2 ** 30, () => performance.now());
    let peakBytes = 0;
    const server = createServer();
    handleRequests(server, memory, {
        handle: ({ response, body: reader }) => {
            peakBytes = Math.max(peakBytes, memory.getUsedBytes());
            void dropUnreadBody(response, reader).then(() => response.writeHead(404, ["Content-Length", "0"]).end());
        },
        refuse: response => response.destroy(),
    });
    const port = await listenOn(server, "127.0.0.1", 0);
    const socket = connect({ host: "127.0.0.1", port });
    closers.push(() => server.close(), () => socket.destroy());
    const lines = [
        `${method} / HTTP/1.1`,
        "Host: h",
        `X-Long: ${"x".repeat(12_000)}`,
        framing,
    ];
    socket.write(`${lines.join("\r\n")}\r\n\r\n${body}`.repeat(requestCount));
    let text = "";
    for await (const chunk of socket) {
        text += String(chunk);
        if (text.split("404 Not Found").length > requestCount) {
            break;
        }
    }
    expect(peakBytes).toBeLessThan(maxPeakBytes);
});
