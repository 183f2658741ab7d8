import { createServer } from "node:http";
import { afterEach, expect, test } from "vitest";
import { callHttp } from "../httpCall.js";
import { listenOn } from "../listen.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

test("a response without end is given up at its maximum size, and its connection closed", async () => {
    let sentBytes = 0;
    let isClosed = false;
    const server = createServer((message, response) => {
        const piece = Buffer.alloc(16 * 1024);
        const send = () => {
            while (!response.destroyed && response.write(piece)) {
                sentBytes += piece.length;
            }
        };
        response.on("drain", send);
        response.on("close", () => isClosed = true);
        send();
    });
    const port = await listenOn(server, "127.0.0.1", 0);
    closers.push(() => server.closeAllConnections(), () => server.close());
    const call = callHttp({ host: "127.0.0.1", port, method: "GET", path: "/", timeoutMs: 5000, maxBytes: 100_000 });
    await expect(call).rejects.toThrow("sent more than 100000 bytes");
    await expect.poll(() => isClosed).toBe(true);
    expect(sentBytes).toBeLessThan(20_000_000);
});
