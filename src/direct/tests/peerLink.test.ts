import { createServer } from "node:http";
import { afterEach, expect, test } from "vitest";
import { sendInPieces } from "../../standin/slowResponse.js";
import { listenOn } from "../../wire/listen.js";
import { fetchHandOver } from "../peerLink.js";

/** Size of a document with some 1,500 routes, in bytes. */
const documentBytes = 320_000;
/** Pause between two pieces of the response, in milliseconds, and bytes per piece: a link of 2.8 Mbit/s. */
const pieceIntervalMs = 100;
const pieceBytes = 35_000;

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

test("a hand-over completes over a link that takes a second for the document", async () => {
    const documents = [{ key: "config", offset: 3, value: "x".repeat(documentBytes) }];
    const server = createServer((message, response) => {
        const chunks: Buffer[] = [];
        message.on("data", (chunk: Buffer) => chunks.push(chunk));
        message.on("end", () => {
            const { id } = JSON.parse(Buffer.concat(chunks).toString()) as { id: number; };
            const result = { documents, documentEnd: 4, list: [], listEnd: 0 };
            const body = JSON.stringify({ jsonrpc: "2.0", id, result });
            sendInPieces(response, body, { pieceBytes, intervalMs: pieceIntervalMs });
        });
    });
    closers.push(() => server.close(), () => server.closeAllConnections());
    const port = await listenOn(server, "127.0.0.1", 0);
    const records = await fetchHandOver({ host: "127.0.0.1", port }, { documentEnd: 3, listEnd: 0 });
    expect(records?.documents.map(({ offset, value }) => [offset, value?.length])).toEqual([[3, documentBytes]]);
});
