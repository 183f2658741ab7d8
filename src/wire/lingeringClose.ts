/**
 * Closes connections whose caller may still be sending. A connection that closes with bytes that were not read is reset, and
 * the reset may take the response away from the caller.
 */
import type { ServerResponse } from "node:http";
import type { Socket } from "node:net";
import type { BodyReader } from "./body.js";

/** Limits of what is read behind a refused request. */
const drainLimits = {
    /** Maximum number of bytes, of a body whose connection stays open or before the connection closes. */
    bytes: 8 * 1024 * 1024,
    /** Maximum time between the response and the close, in milliseconds. */
    ms: 2000,
};

/** Connections whose input is dropped. */
const discardedSockets = new WeakSet<Socket>();

/** Whether whatever arrives on a connection is dropped. */
export function isInputDiscarded(socket: Socket): boolean {
    return discardedSockets.has(socket);
}

/** Reads and drops whatever arrives on a connection, on which no further request is taken. */
export function discardInput(socket: Socket): void {
    discardedSockets.add(socket);
    // The parser would go on to create requests.
    socket.removeAllListeners("data");
    let bytes = 0;
    socket.on("data", (chunk: Buffer) => {
        bytes += chunk.length;
        if (bytes > drainLimits.bytes) {
            socket.destroy();
        }
    });
    socket.resume();
}

/**
 * Prepares the end of a response to a request whose body is not wanted: a rest of known length is read and dropped; otherwise
 * the connection closes behind the response, in a way that the caller can read it. The response must be sent once it resolves.
 */
export async function dropUnreadBody(response: ServerResponse, body: BodyReader): Promise<void> {
    body.discard();
    // The rest may have arrived with the head. In a turn of the event loop more is read: requests behind this one would pile up.
    await body.waitForArrived();
    if (body.countMissingBytes() > drainLimits.bytes) {
        closeBehind(response);
    }
}

/** Lets the connection close behind a response, in a way that the caller can read it. */
export function closeBehind(response: ServerResponse): void {
    const { socket } = response;
    response.shouldKeepAlive = false;
    if (socket) {
        socket.destroySoon = () => drainAndClose(socket);
    }
}

/** Ends the sending side of a connection, and closes it once the caller has ended its side or sends too much. */
export function drainAndClose(socket: Socket): void {
    if (socket.destroyed) {
        return;
    }
    // Node.js answers an end inside a request with an error response.
    socket.removeAllListeners("end");
    discardInput(socket);
    const timer = setTimeout(() => socket.destroy(), drainLimits.ms);
    socket.on("close", () => clearTimeout(timer));
    const closeIfEnded = () => {
        if (socket.readableEnded && socket.writableFinished) {
            socket.destroy();
        }
    };
    socket.on("end", closeIfEnded);
    socket.on("finish", closeIfEnded);
    socket.end();
}
