/** Clients that send many large, small-chunked or unfinished requests at once and keep their connections open. */
import { connect, type Socket } from "node:net";
import type { Address } from "../wire/listen.js";

/** What each client of a crowd sends, in order. */
export interface CrowdScript {
    address: Address;
    clients: number;
    /** The same for all clients, so that a large crowd takes little memory here. */
    parts: Buffer[];
}

export interface Crowd {
    /** Resolves when each client has sent everything or its connection has closed, or after a time limit. */
    sent: Promise<void>;
    countOpen: () => number;
    close: () => void;
}

/** Time after which clients whose bytes are not taken stay as they are, in milliseconds. */
const maxSendMs = 20_000;

/** Opens the connections of a crowd, whose clients read nothing and stay. */
export function openCrowd({ address, clients, parts }: CrowdScript): Crowd {
    const sockets: Socket[] = [];
    const openClient = () =>
        new Promise<void>(resolve => {
            const socket = connect({ ...address, noDelay: true });
            sockets.push(socket);
            socket.on("error", () => resolve());
            socket.on("close", () => resolve());
            socket.on("data", () => undefined);
            socket.on("connect", () => {
                socket.cork();
                parts.slice(0, -1).forEach(part => socket.write(part));
                socket.write(parts.at(-1)!, () => resolve());
                socket.uncork();
            });
        });
    const limit = new Promise<void>(resolve => setTimeout(resolve, maxSendMs).unref());
    return {
        sent: Promise.race([Promise.all(Array.from({ length: clients }, openClient)).then(() => undefined), limit]),
        countOpen: () => sockets.filter(socket => !socket.destroyed).length,
        close: () => sockets.forEach(socket => socket.destroy()),
    };
}

/** Encodes a body in chunks of `chunkBytes`, without the last chunk that ends it. */
export function encodeChunks(body: Buffer, chunkBytes: number): Buffer {
    const parts: Buffer[] = [];
    for (let at = 0; at < body.length; at += chunkBytes) {
        const chunk = body.subarray(at, at + chunkBytes);
        parts.push(Buffer.from(`${chunk.length.toString(16)}\r\n`), chunk, Buffer.from("\r\n"));
    }
    return Buffer.concat(parts);
}

/** Creates header lines of `bytes` bytes in all whose names and values have few characters. */
export function createShortHeaderLines(bytes: number): string[] {
    const lineBytes = "a123:b\r\n".length;
    return Array.from(
        { length: Math.floor(bytes / lineBytes) },
        (ignored, i) => `a${String(i % 1000).padStart(3, "0")}:b`,
    );
}

/** Creates header lines of `bytes` bytes in all with different names that have upper case, digits and signs. */
export function createOddHeaderLines(bytes: number): string[] {
    const lineBytes = "X!123-Q: 1234567\r\n".length;
    return Array.from(
        { length: Math.floor(bytes / lineBytes) },
        (ignored, i) => `X!${String(i).padStart(3, "0")}-Q: ${String(i).padStart(7, "0")}`,
    );
}
