/**
 * Estimates how much of the input of a connection belongs to requests whose head is complete, of which the HTTP server does
 * not tell.
 */
import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { estimateChunkBytes, getContentLength } from "./body.js";
import { isInputDiscarded } from "./lingeringClose.js";

/** Size of a request line besides method and path: spaces, version and line break. */
const requestLineBytes = "  HTTP/1.1\r\n".length;
/** Size of a header line besides name and value. */
const headerLineBytes = ": \r\n".length;
const lineBreakBytes = "\r\n".length;
/** Difference up to which an estimate counts as exact, in bytes: optional white space, extensions of chunks. */
const toleranceBytes = 64;

/** Computes the size of a head as most callers write it, in bytes. */
function computeHeadBytes({ method = "", url = "", rawHeaders }: IncomingMessage): number {
    const fieldBytes = rawHeaders.reduce((sum, text) => sum + text.length, 0);
    const lineCount = rawHeaders.length / 2;
    return method.length + url.length + requestLineBytes + fieldBytes + lineCount * headerLineBytes + lineBreakBytes;
}

export class ParsedInput {
    private lastMessage: IncomingMessage | undefined;
    /** Estimated end of the last message without its chunks, in bytes from the start of the connection. */
    private knownEnd = 0;
    /** Bytes received at the last observation. */
    private observedBytes = 0;

    constructor(private readonly socket: Socket) {}

    /** Adds a request; must be called at its event, before its header fields are dropped. */
    beginMessage(message: IncomingMessage): void {
        // The head was not complete at the last observation, so that errors of earlier estimates end there.
        const end = Math.max(this.computeEnd() + computeHeadBytes(message), this.observedBytes);
        this.knownEnd = Math.min(end, this.socket.bytesRead) + (getContentLength(message) ?? 0);
        this.lastMessage = message;
    }

    /** Records that what has arrived has been parsed; must not be called by an event of the parser. */
    observe(): void {
        this.observedBytes = this.socket.bytesRead;
    }

    /** Whether the body of the last request has not arrived whole. */
    isBodyArriving(): boolean {
        return this.lastMessage?.complete === false;
    }

    /** Counts the bytes of a head that is not complete. */
    countHeadBytes(): number {
        if (this.isBodyArriving() || isInputDiscarded(this.socket)) {
            return 0;
        }
        const bytes = this.socket.bytesRead - this.computeEnd();
        return bytes > toleranceBytes ? bytes : 0;
    }

    /** Computes the end of the last message, as far as it has been read. */
    private computeEnd(): number {
        return this.knownEnd + (this.lastMessage === undefined ? 0 : estimateChunkBytes(this.lastMessage));
    }
}
