/** Answers bytes that are no HTTP request, before any filter sees them. */
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type Server, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { RunOutcome } from "../core/types.js";
import { createProblemBody, outcomeHeader, problemType, requestIdHeader } from "./relay.js";

const rejections: Record<string, { status: number; title: string; }> = {
    HPE_HEADER_OVERFLOW: { status: 431, title: "The headers are too large" },
    HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, title: "The chunk extensions are too large" },
    ERR_HTTP_REQUEST_TIMEOUT: { status: 408, title: "The request did not arrive in time" },
};
const defaultRejection = { status: 400, title: "The request is not valid HTTP/1.1" };

/**
 * Refuses unreadable requests with a problem document and closes their connection.
 * A connection that owes an answer to an earlier request is reset instead, since the document would be taken for it.
 */
export function rejectMalformedRequests(server: Server): void {
    const latestExchanges = new WeakMap<Socket, { message: IncomingMessage; answered: boolean; }>();
    server.on("request", (message, response) => {
        const current = { message, answered: false };
        latestExchanges.set(message.socket, current);
        response.on("close", () => {
            current.answered = true;
        });
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const current = latestExchanges.get(socket);
        const hasPendingResponse = current !== undefined && !current.answered && current.message.complete;
        if (hasPendingResponse || !socket.writable || error.code === "ECONNRESET") {
            socket.resetAndDestroy();
            return;
        }
        socket.end(createRejectionText(rejections[error.code ?? ""] ?? defaultRejection));
    });
}

function createRejectionText({ status, title }: { status: number; title: string; }): string {
    const requestId = randomUUID();
    const body = createProblemBody(requestId, { status, title, outcome: RunOutcome.notRun });
    const lines = [
        `HTTP/1.1 ${status} ${STATUS_CODES[status]}`,
        `content-type: ${problemType}`,
        `content-length: ${Buffer.byteLength(body)}`,
        `${requestIdHeader}: ${requestId}`,
        `${outcomeHeader}: ${RunOutcome.notRun}`,
        "connection: close",
    ];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}
