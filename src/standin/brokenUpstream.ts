/** Fake upstream that sends prepared HTTP/1.1 responses in any framing and breaks them off at a given byte. */
import { createServer, type Socket } from "node:net";
import { listenOn } from "../wire/listen.js";
import type { ResponseFraming } from "../wire/responseFraming.js";

/** How the connection ends after the last byte that is sent. */
export const ConnectionEnding = { close: "close", reset: "reset" } as const;
export type ConnectionEnding = (typeof ConnectionEnding)[keyof typeof ConnectionEnding];

/** Framing of a response that has a body. */
export type BodyFraming = Exclude<ResponseFraming, "none">;

export interface PreparedResponse {
    /** 200 if it is undefined. */
    status?: number;
    framing: BodyFraming;
    /** Header lines besides those of the framing. */
    headers: string[];
    /** The whole body. */
    body: string;
    /** Number of bytes of the body that are sent; if it is undefined, the response is complete. */
    sentBytes?: number;
    ending: ConnectionEnding;
}

export interface BrokenUpstream {
    host: string;
    port: number;
    /** Returns the number of open connections. */
    countOpen: () => number;
    close: () => void;
}

interface FramingWriter {
    header: (body: string) => string[];
    /** Encodes the part of the body that is sent; `isWhole` is whether it is the whole body. */
    encode: (part: string, isWhole: boolean) => string;
}

const framingWriters: Record<BodyFraming, FramingWriter> = {
    length: { header: body => [`Content-Length: ${Buffer.byteLength(body)}`], encode: part => part },
    chunked: {
        header: () => ["Transfer-Encoding: chunked"],
        encode: (part, isWhole) =>
            (part === "" ? "" : `${Buffer.byteLength(part).toString(16)}\r\n${part}\r\n`) +
            (isWhole ? "0\r\n\r\n" : ""),
    },
    connection: { header: () => [], encode: part => part },
};

/** Ends a connection in each way. */
export const endConnection: Record<ConnectionEnding, (socket: Socket) => void> = {
    close: socket => socket.end(),
    reset: socket => socket.resetAndDestroy(),
};

/** Writes a response and ends the connection. */
export function sendPreparedResponse(socket: Socket, response: PreparedResponse): void {
    const { status = 200, framing, headers, body, sentBytes, ending } = response;
    const { header, encode } = framingWriters[framing];
    const head = [`HTTP/1.1 ${status} `, ...headers, ...header(body)].join("\r\n");
    const part = sentBytes === undefined ? body : body.slice(0, sentBytes);
    socket.write(`${head}\r\n\r\n${encode(part, sentBytes === undefined)}`, () => endConnection[ending](socket));
}

/**
 * Starts an upstream on a free port; `respond` is called with the head of each request, `onConnection` for each connection.
 */
export async function startBrokenUpstream(
    respond: (socket: Socket, requestHead: string) => void,
    onConnection: () => void = () => undefined,
): Promise<BrokenUpstream> {
    const sockets = new Set<Socket>();
    const server = createServer(socket => {
        let received = "";
        onConnection();
        sockets.add(socket);
        socket.on("error", () => undefined);
        socket.on("close", () => sockets.delete(socket));
        socket.on("data", chunk => {
            const hadHead = received.includes("\r\n\r\n");
            received += chunk.toString("latin1");
            if (!hadHead && received.includes("\r\n\r\n")) {
                const requestHead = received.slice(0, received.indexOf("\r\n\r\n"));
                respond(socket, requestHead);
            }
        });
    });
    const host = "127.0.0.1";
    const port = await listenOn(server, host, 0);
    return {
        host,
        port,
        countOpen: () => sockets.size,
        close: () => {
            server.close();
            sockets.forEach(socket => socket.destroy());
        },
    };
}
