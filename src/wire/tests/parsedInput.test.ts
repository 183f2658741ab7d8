import { createServer } from "node:http";
import { connect, type Socket } from "node:net";
import { afterEach, expect, test, vi } from "vitest";
import { BodyReader } from "../body.js";
import { listenOn } from "../listen.js";
import { ParsedInput } from "../parsedInput.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

const emptyRequest = "GET /a HTTP/1.1\r\nHost: x\r\nX-Long: some words\r\n\r\n";
const lengthRequest = `POST /b HTTP/1.1\r\nHost: x\r\nContent-Length: 300\r\n\r\n${"b".repeat(300)}`;
const chunkedHead = "POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
const encodeChunk = (length: number) => `${length.toString(16)}\r\n${"c".repeat(length)}\r\n`;
const chunkedRequest = `${chunkedHead}${[1, 15, 16, 300].map(encodeChunk).join("")}0\r\n\r\n`;
const spacedRequest = `GET /a HTTP/1.1\r\nHost:   x  \r\n${"A:b\r\n".repeat(20)}\r\n`;
const halfHead = `GET /d HTTP/1.1\r\nHost: x\r\n${"X-Line: 1\r\n".repeat(20)}`;

/** Sends parts with a pause between them; returns how many bytes of an incomplete head there are after each. */
async function sendParts(parts: string[], isAnswered: boolean): Promise<number[]> {
    const inputs = new Map<Socket, ParsedInput>();
    const server = createServer((message, response) => {
        inputs.get(message.socket)!.beginMessage(message);
        const reader = new BodyReader(message);
        // The product drops the fields of requests that it holds.
        message.headers = {};
        message.rawHeaders = [];
        void reader.read(10_000).then(() => isAnswered && response.end());
    });
    server.on("connection", (socket: Socket) => inputs.set(socket, new ParsedInput(socket)));
    const port = await listenOn(server, "127.0.0.1", 0);
    const socket = connect({ host: "127.0.0.1", port, noDelay: true });
    closers.push(() => socket.destroy(), () => server.close());
    const counts: number[] = [];
    let sentBytes = 0;
    for (const part of parts) {
        socket.write(part);
        sentBytes += part.length;
        await vi.waitUntil(() => [...inputs.keys()][0]?.bytesRead === sentBytes);
        // Timers of this turn come behind the parser's events.
        await new Promise(resolve => setTimeout(resolve, 5));
        const [input] = inputs.values();
        input.observe();
        counts.push(input.countHeadBytes());
    }
    return counts;
}

test.each([
    ["nothing", ""],
    ["a request without a body", emptyRequest],
    ["a body of a known length", lengthRequest],
    ["a chunked body", chunkedRequest],
    ["three requests", emptyRequest + chunkedRequest + lengthRequest],
])("half a head behind %s is counted, answered or not", async (title, requests) => {
    const parts = [requests + halfHead];
    const expected = [halfHead.length];
    expect(await Promise.all([sendParts(parts, true), sendParts(parts, false)])).toEqual([expected, expected]);
});

test("nothing is counted while a body arrives, nor behind it", async () => {
    const parts = [
        chunkedHead + encodeChunk(300),
        encodeChunk(20),
        "0\r\n\r\n",
        lengthRequest.slice(0, -10),
        "b".repeat(10),
    ];
    expect(await sendParts(parts, true)).toEqual([0, 0, 0, 0, 0]);
});

test("what a head takes beyond its estimate does not add up", async () => {
    expect(await sendParts(Array.from({ length: 40 }, () => spacedRequest), true)).toEqual(Array(40).fill(0));
});
