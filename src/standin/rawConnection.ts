/** Client connection that sends arbitrary bytes and parses the response strictly as HTTP/1.1. */
import type { Socket } from "node:net";
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";

export interface RawResponse {
    /** 0 when the headers are incomplete. */
    status: number;
    /** Header values by name in lower case. */
    headers: Record<string, string>;
    /** Body as received, with chunk framing removed. */
    body: string;
    /** Whether the body is complete by its framing; without framing headers, unless the connection was reset. */
    isComplete: boolean;
    /** Whether the connection was reset. */
    reset: boolean;
}

export interface RawConnection {
    socket: Socket;
    /** Returns the bytes received so far as a latin1 string. */
    getText: () => string;
    /** Resolves with the received text once it satisfies `accept` or the connection has closed. */
    waitForText: (accept: (text: string) => boolean) => Promise<string>;
    /** Resolves with the response when the connection has closed. */
    closed: Promise<RawResponse>;
}

/** Opens a connection to the port of `url` on the loopback interface and writes `text`, a latin1 string. */
export function openRawConnection(url: string, text: string): RawConnection {
    const socket = new ResetDetectingSocket().connect(Number(new URL(url).port), "127.0.0.1");
    let received = "";
    let reset = false;
    let hasEnded = false;
    const waiters = new Set<() => void>();
    const notifyWaiters = () => waiters.forEach(waiter => waiter());
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        notifyWaiters();
    });
    socket.on("end", () => socket.end());
    socket.on("error", () => {
        reset = true;
    });
    const closed = new Promise<RawResponse>(resolve => {
        socket.on("close", () => {
            hasEnded = true;
            resolve(parseRawResponse(received, reset));
            notifyWaiters();
        });
    });
    socket.write(text, "latin1");
    const waitForText = (accept: (text: string) => boolean) =>
        new Promise<string>(resolve => {
            const check = () => {
                if (hasEnded || accept(received)) {
                    waiters.delete(check);
                    resolve(received);
                }
            };
            waiters.add(check);
            check();
        });
    return { socket, getText: () => received, waitForText, closed };
}

/** Formats a request; adds a content-length for a body and, for HTTP/1.1, a host. */
export function formatRequest(line: string, headers: string[], body = ""): string {
    const length = body === "" ? [] : [`content-length: ${Buffer.byteLength(body)}`];
    const lines = [line, ...(line.endsWith("HTTP/1.1") ? ["host: entry"] : []), ...headers, ...length];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Parses the first response in `text`. */
export function parseRawResponse(text: string, reset: boolean): RawResponse {
    const headersEnd = text.indexOf("\r\n\r\n");
    if (headersEnd < 0) {
        return { status: 0, headers: {}, body: "", isComplete: false, reset };
    }
    const [statusLine, ...lines] = text.slice(0, headersEnd).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const colon = line.indexOf(":");
        return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
    }));
    const body = text.slice(headersEnd + 4);
    const status = Number(statusLine.split(" ")[1]);
    if (headers["transfer-encoding"] === "chunked") {
        return { status, headers, reset, ...parseChunks(body) };
    }
    const length = headers["content-length"];
    const isComplete = length === undefined ? !reset : body.length >= Number(length);
    return { status, headers, body, isComplete: isComplete, reset };
}

function parseChunks(text: string): { body: string; isComplete: boolean; } {
    let body = "";
    let at = 0;
    while (at < text.length) {
        const lineEnd = text.indexOf("\r\n", at);
        const size = lineEnd < 0 ? Number.NaN : Number.parseInt(text.slice(at, lineEnd), 16);
        if (Number.isNaN(size) || text.length < lineEnd + 2 + size + 2) {
            return { body, isComplete: false };
        }
        if (size === 0) {
            return { body, isComplete: true };
        }
        body += text.slice(lineEnd + 2, lineEnd + 2 + size);
        at = lineEnd + 2 + size + 2;
    }
    return { body, isComplete: false };
}
