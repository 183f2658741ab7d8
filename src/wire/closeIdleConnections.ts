/**
 * Closes the listener and the idle connections of an HTTP server. Node's own `close` and `closeIdleConnections` also close
 * connections whose response has been ended but not sent, which cuts it; `close` stops the receive timeouts besides.
 */
import type { Server } from "node:http";
import { Server as NetServer, type Socket } from "node:net";

export interface ConnectionCloser {
    /** Stops to accept connections; open ones stay, as do the server's timeouts. */
    closeListener: () => void;
    /** Closes the connections between two requests. */
    closeIdleConnections: () => void;
}

/** Starts to observe the connections of a server that does not listen yet. */
export function createConnectionCloser(server: Server): ConnectionCloser {
    /** Requests of each connection whose response has not been sent; zero before the first one. */
    const pendingCounts = new Map<Socket, number>();
    /** Bytes that a connection had received when its last response had been sent. */
    const settledBytes = new WeakMap<Socket, number>();
    server.on("connection", (socket: Socket) => {
        pendingCounts.set(socket, 0);
        socket.on("close", () => pendingCounts.delete(socket));
    });
    server.on("request", ({ socket }, response) => {
        pendingCounts.set(socket, (pendingCounts.get(socket) ?? 0) + 1);
        response.on("close", () => {
            if (pendingCounts.has(socket)) {
                pendingCounts.set(socket, pendingCounts.get(socket)! - 1);
                settledBytes.set(socket, socket.bytesRead);
            }
        });
    });
    return {
        closeListener: () => {
            NetServer.prototype.close.call(server);
        },
        closeIdleConnections: () =>
            [...pendingCounts].forEach(([socket, count]) => {
                if (count === 0 && settledBytes.get(socket) === socket.bytesRead) {
                    socket.destroy();
                }
            }),
    };
}
