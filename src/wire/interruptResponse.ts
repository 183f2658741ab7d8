/** Ends responses to callers early, so that no caller takes them for complete. */
import type { ServerResponse } from "node:http";

/** Resets the caller's connection unless the response was sent completely. */
export function resetConnection(response: ServerResponse): void {
    const { socket } = response;
    if (socket && !response.writableFinished) {
        socket.resetAndDestroy();
    }
    response.destroy();
}

/**
 * Interrupts a response that has begun. A missing last chunk shows the break after an orderly close, which loses nothing
 * on its way to the caller; a response that ends with its connection, as to callers of HTTP/1.0, needs a reset.
 */
export function interruptResponse(response: ServerResponse): void {
    if (response.chunkedEncoding) {
        response.destroy();
    }
    else {
        resetConnection(response);
    }
}
