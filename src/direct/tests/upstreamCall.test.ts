import { createServer, type Socket } from "node:net";
import { afterEach, expect, test } from "vitest";
import { emptyBody } from "../../wire/segmentedBody.js";
import { callUpstream } from "../upstreamCall.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** Sends one request to a server that responds with `respond`; resolves with the listener's events, in order. */
async function callOnce(respond: (socket: Socket) => void): Promise<string[]> {
    const server = createServer(socket => {
        socket.on("error", () => undefined);
        socket.once("data", () => respond(socket));
    });
    closers.push(() => server.close());
    const port = await new Promise<number>(resolve =>
        server.listen(0, "127.0.0.1", () => resolve((server.address() as { port: number; }).port))
    );
    const events: string[] = [];
    await new Promise<void>(resolve =>
        callUpstream({
            target: { host: "127.0.0.1", port },
            method: "POST",
            path: "/",
            encodeHeaders: () => ["Host", "upstream", "Content-Length", "0"],
            body: emptyBody,
            listener: {
                onConnected: () => events.push("connected"),
                onHead: status => events.push(`head ${status}`),
                onChunk: () => undefined,
                onEnd: () => {
                    events.push("end");
                    resolve();
                },
                onFault: () => undefined,
                onFailure: () => {
                    events.push("broken");
                    resolve();
                },
            },
        })
    );
    return events;
}

const head = "HTTP/1.1 200 OK\r\n";

test.each<[string, (socket: Socket) => void, string]>([
    ["a length", socket => socket.end(`${head}Content-Length: 5\r\n\r\nhello`), "end"],
    ["no length, closed in good order", socket => socket.end(`${head}\r\nhello`), "end"],
    [
        "no length, reset with the last bytes",
        socket => socket.write(`${head}\r\nhello`, () => socket.resetAndDestroy()),
        "broken",
    ],
    ["a length, closed early", socket => socket.end(`${head}Content-Length: 9\r\n\r\nhello`), "broken"],
    ["chunks, closed early", socket => socket.end(`${head}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n`), "broken"],
    ["chunks, unreadable", socket => socket.write(`${head}Transfer-Encoding: chunked\r\n\r\nZZ\r\nhello`), "broken"],
    ["a second answer behind it", socket => socket.write(`${head}Content-Length: 5\r\n\r\nhello${head}\r\n`), "end"],
    ["no head", socket => socket.end("hello"), "broken"],
])("hears the end of an answer with %s", async (title, respond, end) => {
    // A reset may overtake the bytes before it, so each case runs several times.
    for (let i = 0; i < 20; i++) {
        const events = await callOnce(respond);
        expect(events.at(-1)).toBe(end);
    }
});

test("hears that nothing was sent when no connection is made", async () => {
    const failures: boolean[] = [];
    await new Promise<void>(resolve =>
        callUpstream({
            target: { host: "127.0.0.1", port: 1 },
            method: "GET",
            path: "/",
            encodeHeaders: () => ["Host", "upstream"],
            body: emptyBody,
            listener: {
                onConnected: () => undefined,
                onHead: () => undefined,
                onChunk: () => undefined,
                onEnd: () => undefined,
                onFault: () => undefined,
                onFailure: isConnected => {
                    failures.push(isConnected);
                    resolve();
                },
            },
        })
    );
    expect(failures).toEqual([false]);
});
