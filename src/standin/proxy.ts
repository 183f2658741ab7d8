/** TCP proxy that injects faults between two processes. */
import { createServer, Socket } from "node:net";
import { listenOn } from "../wire/listen.js";
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";

export interface FaultProxy {
    port: number;
    url: string;
    /**
     * Drops all data on the open connections from now on without closing them; new connections work. Returns the number
     * of connections.
     */
    freeze: () => number;
    /** Closes new connections at once until `heal`, and freezes the open ones. */
    cut: () => void;
    /** Ends `cut` and `dropDataFrom`; connections that may have lost data stay frozen. */
    heal: () => void;
    /** Refuses new connections, as while the process behind the proxy is down, or accepts them again. */
    setListening: (isListening: boolean) => Promise<void>;
    /** Drops the data from one end, on open and new connections, until `heal`. */
    dropDataFrom: (end: "client" | "server") => void;
    /** Resets both sides of every open connection. */
    reset: () => void;
    /** Delays data in both directions by `ms` milliseconds. */
    setDelay: (ms: number) => void;
    countConnections: () => number;
    /** Returns the number of bytes received so far, in both directions together. */
    getReceivedBytes: () => number;
    close: () => void;
}

interface ProxiedConnection {
    client: Socket;
    server: Socket;
    frozen: boolean;
}

/** Addresses that the proxy listens on and connects to. */
export interface ProxyHosts {
    host: string;
    targetHost: string;
}

/** Detects a reset of the server unless the client has ended its side, after which nothing can be written. */
class ServerSideSocket extends ResetDetectingSocket {
    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        return this.writableEnded ? Socket.prototype.push.call(this, chunk, encoding) : super.push(chunk, encoding);
    }
}

const defaultHosts: ProxyHosts = { host: "127.0.0.1", targetHost: "127.0.0.1" };

/** Starts a proxy from `port` to `targetPort`, by default on the loopback interface; port 0 picks a free port. */
export async function startFaultProxy(port: number, targetPort: number, hosts = defaultHosts): Promise<FaultProxy> {
    const connections = new Set<ProxiedConnection>();
    let isCut = false;
    let droppedEnd: "client" | "server" | undefined;
    let delayMs = 0;
    let receivedBytes = 0;
    const recordChunk = (chunk: Buffer) => {
        receivedBytes += chunk.length;
        return delayMs;
    };
    const server = createServer({ allowHalfOpen: true }, client => {
        if (isCut) {
            client.destroy();
            return;
        }
        const connection: ProxiedConnection = {
            client,
            server: new ServerSideSocket().connect({ port: targetPort, host: hosts.targetHost }),
            frozen: false,
        };
        connections.add(connection);
        forwardData(connection, connection.client, connection.server, recordChunk, () => droppedEnd === "client");
        forwardData(connection, connection.server, connection.client, recordChunk, () => droppedEnd === "server");
        const destroyBoth = () => {
            connections.delete(connection);
            connection.client.resetAndDestroy();
            connection.server.resetAndDestroy();
        };
        [connection.client, connection.server].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", hasFailed => {
                // Bytes of a side that has ended in good order may still be on their way to the other side.
                const isReset = hasFailed && !socket.readableEnded;
                if (!connection.frozen && (isReset || (client.destroyed && connection.server.destroyed))) {
                    destroyBoth();
                }
            });
        });
    });
    const boundPort = await listenOn(server, hosts.host, port);
    const freeze = () => {
        const openConnections = [...connections].filter(connection => !connection.frozen);
        openConnections.forEach(connection => {
            connection.frozen = true;
        });
        return openConnections.length;
    };
    const reset = () => {
        connections.forEach(connection => {
            connection.client.resetAndDestroy();
            connection.server.resetAndDestroy();
        });
        connections.clear();
    };
    return {
        port: boundPort,
        url: `http://${hosts.host}:${boundPort}`,
        freeze,
        reset,
        cut: () => {
            isCut = true;
            freeze();
        },
        heal: () => {
            isCut = false;
            if (droppedEnd !== undefined) {
                // These connections lack the dropped data, so they must not carry any later data.
                droppedEnd = undefined;
                freeze();
            }
        },
        setListening: async isListening => {
            if (isListening && !server.listening) {
                await listenOn(server, hosts.host, boundPort);
            }
            else if (!isListening && server.listening) {
                server.close();
            }
        },
        dropDataFrom: end => {
            droppedEnd = end;
        },
        setDelay: ms => {
            delayMs = ms;
        },
        countConnections: () => connections.size,
        getReceivedBytes: () => receivedBytes,
        close: () => {
            if (server.listening) {
                server.close();
            }
            reset();
        },
    };
}

function forwardData(
    connection: ProxiedConnection,
    from: Socket,
    to: Socket,
    recordChunk: (chunk: Buffer) => number,
    isDropping: () => boolean,
): void {
    const enqueue = createDelayQueue();
    from.on("data", chunk =>
        enqueue(recordChunk(chunk), () => {
            if (!connection.frozen && !isDropping()) {
                to.write(chunk);
            }
        }));
    from.on("end", () =>
        enqueue(0, () => {
            if (!connection.frozen && !isDropping()) {
                to.end();
            }
        }));
}

/** Runs actions after their delays, in the order of submission: a connection has to keep its byte order. */
function createDelayQueue(): (delayMs: number, action: () => void) => void {
    const pendingActions: { dueAt: number; action: () => void; }[] = [];
    let timer: NodeJS.Timeout | undefined;
    const runDueActions = () => {
        timer = undefined;
        while (pendingActions.length > 0 && pendingActions[0].dueAt <= performance.now()) {
            pendingActions.shift()!.action();
        }
        if (pendingActions.length > 0) {
            timer = setTimeout(runDueActions, Math.max(1, pendingActions[0].dueAt - performance.now()));
        }
    };
    return (delayMs, action) => {
        pendingActions.push({ dueAt: performance.now() + delayMs, action });
        if (timer === undefined) {
            runDueActions();
        }
    };
}
