/** Error responses for input that the HTTP parser rejects; no filter of the entry runs for it. */
import { randomUUID } from "node:crypto";
import { type IncomingMessage, type Server, STATUS_CODES } from "node:http";
import type { Socket } from "node:net";
import { RunOutcome } from "../core/types.js";
import { createProblemBody, outcomeHeader, problemType, requestIdHeader } from "./relay.js";

/** Responses by the code of the parser's error. */
const rejections: Record<string, { status: number; title: string; }> = {
    HPE_HEADER_OVERFLOW: { status: 431, title: "The headers are too large" },
    HPE_CHUNK_EXTENSIONS_OVERFLOW: { status: 413, title: "The chunk extensions are too large" },
    ERR_HTTP_REQUEST_TIMEOUT: { status: 408, title: "The request did not arrive in time" },
};
const defaultRejection = { status: 400, title: "The request is not valid HTTP/1.1" };

/**
 * Responds to malformed requests with a problem document and closes the connection. If the response to an earlier
 * request on the connection is pending, the connection is reset instead, as the caller would take the document for that
 * response.
 */
export function rejectMalformedRequests(server: Server): void {
    const latestExchanges = new WeakMap<Socket, { message: IncomingMessage; responseClosed: boolean; }>();
    server.on("request", (message, response) => {
        const current = { message, responseClosed: false };
        latestExchanges.set(message.socket, current);
        response.on("close", () => {
            current.responseClosed = true;
        });
    });
    server.on("clientError", (error: NodeJS.ErrnoException, socket: Socket) => {
        const current = latestExchanges.get(socket);
        const hasPendingResponse = current !== undefined && !current.responseClosed && current.message.complete;
        if (hasPendingResponse || !socket.writable || error.code === "ECONNRESET") {
            socket.resetAndDestroy();
            return;
        }
        socket.end(createRejectionText(rejections[error.code ?? ""] ?? defaultRejection));
    });
}

/** Formats a complete HTTP response with a problem document as its body. */
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
