/** A caller that writes bytes of its own choice and judges the answer as a strict HTTP/1.1 reader would. */
import { connect, type Socket } from "node:net";

export interface RawResponse {
    status: number;
    headers: Record<string, string>;
    /** Body as received, with chunk framing removed. */
    body: string;
    /** Whether the answer is complete by its own framing; an answer that ends with its connection is, unless it is reset. */
    isComplete: boolean;
    /** Whether the connection was reset. */
    reset: boolean;
}

export interface RawConnection {
    socket: Socket;
    /** Bytes so far as a latin1 string. */
    getText: () => string;
    /** Resolves once the text so far satisfies `accept`, or the connection has ended. */
    waitForText: (accept: (text: string) => boolean) => Promise<string>;
    /** Resolves with the answer when the connection has ended. */
    closed: Promise<RawResponse>;
}

/** Opens a connection to `url` and writes `text`. */
export function openRawConnection(url: string, text: string): RawConnection {
    const socket = connect(Number(new URL(url).port), "127.0.0.1");
    let received = "";
    let reset = false;
    let hasEnded = false;
    const waiters = new Set<() => void>();
    const wake = () => waiters.forEach(waiter => waiter());
    socket.on("data", chunk => {
        received += chunk.toString("latin1");
        wake();
    });
    socket.on("error", () => {
        reset = true;
    });
    const closed = new Promise<RawResponse>(resolve => {
        socket.on("close", () => {
            hasEnded = true;
            resolve(parseRawResponse(received, reset));
            wake();
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

/** Formats a request; a body gets a content-length. */
export function formatRequest(line: string, headers: string[], body = ""): string {
    const length = body === "" ? [] : [`content-length: ${Buffer.byteLength(body)}`];
    const lines = [line, ...(line.endsWith("HTTP/1.1") ? ["host: entry"] : []), ...headers, ...length];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Parses the first answer in `text`. */
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
