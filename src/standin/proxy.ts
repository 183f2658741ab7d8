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
    mute: (end: "client" | "server") => void;
    /** Resets every open connection. */
    reset: () => void;
    setDelay: (ms: number) => void;
    connections: () => number;
    /** Bytes forwarded so far, both ways together. */
    bytes: () => number;
    close: () => void;
}

interface Link {
    client: Socket;
    server: Socket;
    frozen: boolean;
}

/** Addresses of the loopback interface. */
export interface ProxyHosts {
    host: string;
    targetHost: string;
}

const usualHosts: ProxyHosts = { host: "127.0.0.1", targetHost: "127.0.0.1" };

/** Starts a proxy on `port` before `targetPort` of the loopback interface. */
export async function startFaultProxy(port: number, targetPort: number, hosts = usualHosts): Promise<FaultProxy> {
    const links = new Set<Link>();
    let isCut = false;
    let muted: "client" | "server" | undefined;
    let delayMs = 0;
    let bytes = 0;
    const note = (chunk: Buffer) => {
        bytes += chunk.length;
        return delayMs;
    };
    const server = createServer({ allowHalfOpen: true }, client => {
        if (isCut) {
            client.destroy();
            return;
        }
        const link: Link = {
            client,
            server: connect({ port: targetPort, host: hosts.targetHost, allowHalfOpen: true }),
            frozen: false,
        };
        links.add(link);
        forwardData(link, link.client, link.server, note, () => muted === "client");
        forwardData(link, link.server, link.client, note, () => muted === "server");
        const end = () => {
            links.delete(link);
            link.client.destroy();
            link.server.destroy();
        };
        [link.client, link.server].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", hasFailed => {
                if (!link.frozen && (hasFailed || (client.destroyed && link.server.destroyed))) {
                    end();
                }
            });
        });
    });
    const bound = await listenOn(server, hosts.host, port);
    const freeze = () => {
        const open = [...links].filter(link => !link.frozen);
        open.forEach(link => {
            link.frozen = true;
        });
        return open.length;
    };
    const reset = () => {
        links.forEach(link => {
            link.client.destroy();
            link.server.destroy();
        });
        links.clear();
    };
    return {
        port: bound,
        url: `http://${hosts.host}:${bound}`,
        freeze,
        reset,
        cut: () => {
            isCut = true;
            freeze();
        },
        heal: () => {
            isCut = false;
            if (muted !== undefined) {
                // What was lost is missing from these connections for good.
                muted = undefined;
                freeze();
            }
        },
        mute: end => {
            muted = end;
        },
        setDelay: ms => {
            delayMs = ms;
        },
        connections: () => links.size,
        bytes: () => bytes,
        close: () => {
            server.close();
            reset();
        },
    };
}

function forwardData(
    link: Link,
    from: Socket,
    to: Socket,
    note: (chunk: Buffer) => number,
    isMuted: () => boolean,
): void {
    const later = createDelayLine();
    from.on("data", chunk =>
        later(note(chunk), () => {
            if (!link.frozen && !isMuted()) {
                to.write(chunk);
            }
        }));
    from.on("end", () =>
        later(0, () => {
            if (!link.frozen) {
                to.end();
            }
        }));
}

/** Runs steps after their delays, and never one before an earlier one: a connection keeps the order of its bytes. */
function createDelayLine(): (delayMs: number, step: () => void) => void {
    const waiting: { dueAt: number; step: () => void; }[] = [];
    let timer: NodeJS.Timeout | undefined;
    const runDue = () => {
        timer = undefined;
        while (waiting.length > 0 && waiting[0].dueAt <= performance.now()) {
            waiting.shift()!.step();
        }
        if (waiting.length > 0) {
            timer = setTimeout(runDue, Math.max(1, waiting[0].dueAt - performance.now()));
        }
    };
    return (delayMs, step) => {
        waiting.push({ dueAt: performance.now() + delayMs, step });
        if (timer === undefined) {
            runDue();
        }
    };
}
