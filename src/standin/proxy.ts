/** TCP proxy that injects faults between two processes. */
import { connect, createServer, type Socket } from "node:net";

export interface FaultProxy {
    port: number;
    url: string;
    /** Silences every open connection for good; new ones work. Returns how many. */
    freeze: () => number;
    /** Refuses new connections and silences the open ones until `heal`. */
    cut: () => void;
    heal: () => void;
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

/** Starts a proxy on `port` before `targetPort` of the loopback interface. */
export async function startFaultProxy(port: number, targetPort: number): Promise<FaultProxy> {
    const links = new Set<Link>();
    let isCut = false;
    let delayMs = 0;
    let bytes = 0;
    const note = (chunk: Buffer) => {
        bytes += chunk.length;
        return delayMs;
    };
    const server = createServer(client => {
        if (isCut) {
            client.destroy();
            return;
        }
        const link: Link = { client, server: connect(targetPort, "127.0.0.1"), frozen: false };
        links.add(link);
        forwardData(link, link.client, link.server, note);
        forwardData(link, link.server, link.client, note);
        const end = () => {
            links.delete(link);
            link.client.destroy();
            link.server.destroy();
        };
        [link.client, link.server].forEach(socket => {
            socket.on("error", () => undefined);
            socket.on("close", () => {
                if (!link.frozen) {
                    end();
                }
            });
        });
    });
    await new Promise<void>((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", resolve);
    });
    const bound = (server.address() as { port: number; }).port;
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
        url: `http://127.0.0.1:${bound}`,
        freeze,
        reset,
        cut: () => {
            isCut = true;
            freeze();
        },
        heal: () => {
            isCut = false;
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

function forwardData(link: Link, from: Socket, to: Socket, note: (chunk: Buffer) => number): void {
    const write = (chunk: Buffer) => {
        if (!link.frozen) {
            to.write(chunk);
        }
    };
    from.on("data", chunk => {
        const delayMs = note(chunk);
        if (delayMs > 0) {
            setTimeout(write, delayMs, chunk);
        }
        else {
            write(chunk);
        }
    });
}
