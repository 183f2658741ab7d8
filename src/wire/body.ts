/** Reads request bodies. */
import type { IncomingMessage } from "node:http";

/** Reads a request body; resolves to undefined if it is longer than `maxBytes` or incomplete. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    return new Promise(resolve => {
        const chunks: Buffer[] = [];
        let size = 0;
        message.on("data", (chunk: Buffer) => {
            size += chunk.length;
            if (size > maxBytes) {
                message.pause();
                resolve(undefined);
                return;
            }
            chunks.push(chunk);
        });
        message.on("end", () => resolve(chunks.length === 1 ? chunks[0] : Buffer.concat(chunks, size)));
        message.on("error", () => resolve(undefined));
        message.on("close", () => resolve(undefined));
    });
}
