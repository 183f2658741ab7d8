/** Receives calls of other processes, whose bodies are held in the memory that all servers of a process share. */
import type { IncomingMessage, ServerResponse } from "node:http";
import { BodyReader, readWhole } from "./body.js";
import type { CallerMemory, MemoryReservation } from "./callerMemory.js";
import { closeBehind } from "./lingeringClose.js";

/** Time limits for receiving a call, in milliseconds. */
export const callTimeouts = { headersTimeout: 5000, requestTimeout: 10_000, connectionsCheckingInterval: 1000 };

export interface ReceivedCall {
    /** Memory of the call until its response closes. */
    reservation: MemoryReservation;
    /** Resolves to undefined if the body is too long, incomplete or given up; a call that was given up has its response. */
    body: Promise<Buffer | undefined>;
}

/** Reads the body of a call, up to `maxBytes`. */
export function receiveCall(
    message: IncomingMessage,
    response: ServerResponse,
    memory: CallerMemory,
    maxBytes: number,
): ReceivedCall {
    const reservation = memory.open(() => {
        reader.discard();
        refuseCall(response);
    });
    const reader = new BodyReader(message, { reservation });
    // A response may close long before its connection, which keeps the message.
    response.on("close", () => {
        reservation.close();
        reader.discard();
    });
    return { reservation, body: readWhole(reader, maxBytes) };
}

/** Ends a call because the process is short of memory; one that runs is broken off. */
function refuseCall(response: ServerResponse): void {
    if (response.headersSent) {
        response.destroy();
        return;
    }
    closeBehind(response);
    response.writeHead(503).end();
}
