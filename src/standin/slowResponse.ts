/** Sends HTTP responses over a fake slow link. */
import type { ServerResponse } from "node:http";

export interface SlowLink {
    /** Size of a piece, in bytes. */
    pieceBytes: number;
    /** Pause before each piece, in milliseconds. */
    intervalMs: number;
    /** Number of bytes after which nothing more is sent and the response stays open; undefined if all are sent. */
    limitBytes?: number;
}

/** Sends a body in pieces, until the connection is closed, and ends the response. */
export function sendInPieces(response: ServerResponse, body: Buffer | string, link: SlowLink): void {
    const { pieceBytes, intervalMs, limitBytes } = link;
    const bytes = Buffer.from(body);
    const end = Math.min(limitBytes ?? Infinity, bytes.length);
    let sent = 0;
    response.flushHeaders();
    const timer = setInterval(() => {
        response.write(bytes.subarray(sent, Math.min(sent + pieceBytes, end)));
        sent += pieceBytes;
        if (sent >= end) {
            clearInterval(timer);
            if (end === bytes.length) {
                response.end();
            }
        }
    }, intervalMs);
    response.on("close", () => clearInterval(timer));
}
