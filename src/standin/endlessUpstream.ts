/** Fake upstream that sends bytes without end, and answers requests to `soundPath`. */
import { createServer, type Socket } from "node:net";
import { listenOn } from "../wire/listen.js";
import type { FakeUpstream } from "./engine.js";

/** Path of requests that get the response of the fake plain service. */
export const soundPath = "/lookups/sound";

export interface EndlessUpstream extends FakeUpstream {
    port: number;
    /** Open connections, without those of sound requests. */
    countOpen: () => number;
    /** All connections so far. */
    countConnections: () => number;
}

/** Starts an upstream on a free port that sends `begin` and then `piece` again and again until the connection is closed. */
export async function startEndlessUpstream(begin: string, piece: string): Promise<EndlessUpstream> {
    const sockets = new Set<Socket>();
    const soundSockets = new Set<Socket>();
    let all = 0;
    const server = createServer(socket => {
        let request = "";
        all += 1;
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            sockets.delete(socket);
            soundSockets.delete(socket);
        });
        const receive = (chunk: Buffer) => {
            request += chunk.toString("latin1");
            if (isWhole(request)) {
                socket.off("data", receive);
                socket.resume();
                if (isSound(request)) {
                    sockets.delete(socket);
                    soundSockets.add(socket);
                }
                sendResponse(socket, request, begin, piece);
            }
        };
        socket.on("data", receive);
    });
    const port = await listenOn(server, "127.0.0.1", 0);
    return {
        port,
        url: `http://127.0.0.1:${port}`,
        runs: new Map(),
        runsByKey: new Map(),
        countOpen: () => sockets.size,
        countConnections: () => all,
        close: () => {
            server.close();
            [...sockets, ...soundSockets].forEach(socket => socket.destroy());
        },
    };
}

function isWhole(request: string): boolean {
    const headEnd = request.indexOf("\r\n\r\n");
    const length = Number(/\r\ncontent-length: (\d+)/i.exec(request)?.[1] ?? 0);
    return headEnd >= 0 && request.length >= headEnd + 4 + length;
}

function isSound(request: string): boolean {
    return request.split(" ", 2)[1] === soundPath;
}

function sendResponse(socket: Socket, request: string, begin: string, piece: string): void {
    if (isSound(request)) {
        const echo = request.slice(request.indexOf("\r\n\r\n") + 4);
        const body = JSON.stringify({ echo, path: soundPath });
        socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`);
        return;
    }
    const send = () => {
        let hasSpace = !socket.destroyed;
        while (hasSpace) {
            hasSpace = socket.write(piece);
        }
    };
    socket.write(begin);
    socket.on("drain", () => setImmediate(send));
    send();
}
