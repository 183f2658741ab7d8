/** TCP proxy that injects faults between two processes. */
import { connect, createServer, type Socket } from "node:net";
import { listenOn } from "../wire/listen.js";

export interface FaultProxy {
    port: number;
    url: string;
    /** Silences every open connection for good; new ones work. Returns how many. */
    freeze: () => number;
    /** Refuses new connections and silences the open ones until `heal`. */
    cut: () => void;
    heal: () => void;
    /** Loses what comes from one end, on open and new connections, until `heal`. */
    dropDataFrom: (end: "client" | "server") => void;
    /** Resets every open connection. */
    reset: () => void;
    setDelay: (ms: number) => void;
    countConnections: () => number;
    /** Bytes forwarded so far, both ways together. */
    getForwardedBytes: () => number;
    close: () => void;
}

interface ProxiedConnection {
    client: Socket;
    server: Socket;
    frozen: boolean;
}

/** Addresses of the loopback interface. */
export interface ProxyHosts {
    host: string;
    targetHost: string;
}

const defaultHosts: ProxyHosts = { host: "127.0.0.1", targetHost: "127.0.0.1" };

/** Starts a proxy on `port` before `targetPort` of the loopback interface. */
export async function startFaultProxy(port: number, targetPort: number, hosts = defaultHosts): Promise<FaultProxy> {
    const connections = new Set<ProxiedConnection>();
    let isCut = false;
    let droppedEnd: "client" | "server" | undefined;
    let delayMs = 0;
    let forwardedBytes = 0;
    const recordChunk = (chunk: Buffer) => {
        forwardedBytes += chunk.length;
        return delayMs;
    };
    const server = createServer({ allowHalfOpen: true }, client => {
        if (isCut) {
            client.destroy();
            return;
        }
        const connection: ProxiedConnection = {
            client,
            server: connect({ port: targetPort, host: hosts.targetHost, allowHalfOpen: true }),
            frozen: false,
        };
        connections.add(connection);
        forwardData(connection, connection.client, connection.server, recordChunk, () => droppedEnd === "client");
        forwardData(connection, connection.server, connection.client, recordChunk, () => droppedEnd === "server");
        const destroyBoth = () => {
            connections.delete(connection);
            connection.client.destroy();
            connection.server.destroy();
        };
        [connection.client, connection.server].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", hasFailed => {
                if (!connection.frozen && (hasFailed || (client.destroyed && connection.server.destroyed))) {
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
            connection.client.destroy();
            connection.server.destroy();
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
                // What was lost is missing from these connections for good.
                droppedEnd = undefined;
                freeze();
            }
        },
        dropDataFrom: end => {
            droppedEnd = end;
        },
        setDelay: ms => {
            delayMs = ms;
        },
        countConnections: () => connections.size,
        getForwardedBytes: () => forwardedBytes,
        close: () => {
            server.close();
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
            if (!connection.frozen) {
                to.end();
            }
        }));
}

/** Runs steps after their delays, and never one before an earlier one: a connection keeps the order of its bytes. */
function createDelayQueue(): (delayMs: number, step: () => void) => void {
    const waiting: { dueAt: number; step: () => void; }[] = [];
    let timer: NodeJS.Timeout | undefined;
    const runDueActions = () => {
        timer = undefined;
        while (waiting.length > 0 && waiting[0].dueAt <= performance.now()) {
            waiting.shift()!.step();
        }
        if (waiting.length > 0) {
            timer = setTimeout(runDueActions, Math.max(1, waiting[0].dueAt - performance.now()));
        }
    };
    return (delayMs, step) => {
        waiting.push({ dueAt: performance.now() + delayMs, step });
        if (timer === undefined) {
            runDueActions();
        }
    };
}
