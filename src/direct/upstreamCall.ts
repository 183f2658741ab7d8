/** Sends one request to one upstream on a new connection, so that no response to another request can arrive on it. */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { findInvalidHead } from "../wire/httpSyntax.js";
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";
import { classifyFraming, findUndecodedCoding, type ResponseFraming } from "../wire/responseFraming.js";

/** Timeout for connecting, in milliseconds; ten times the latency to the farthest data centre of a region. */
const connectTimeoutMs = 300;

export interface UpstreamTarget {
    host: string;
    port: number;
}

export interface UpstreamCallOptions {
    target: UpstreamTarget;
    method: string;
    path: string;
    /** Alternating names and values. */
    headers: string[];
    body: Buffer;
    listener: UpstreamListener;
}

/** Receives the events of one call: connection, head, chunks and end; a failure comes at most once and is the last. */
export interface UpstreamListener {
    onConnected: () => void;
    onHead: (status: number, rawHeaders: string[], framing: ResponseFraming) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    /** `isConnected` is false if no connection was made, so that nothing was sent; `isRefused` if it was refused. */
    onFailure: (isConnected: boolean, reason: string, isRefused: boolean) => void;
}

export interface UpstreamCall {
    /** Closes the connection, which stops the upstream's work; the listener receives no further events. */
    cancel: () => void;
    /** Pauses reading the response, for backpressure. */
    pause: () => void;
    resume: () => void;
}

/**
 * Sends a request; `options.listener` receives the response or the failure. Throws if the request cannot be written as
 * HTTP/1.1; a response that is no HTTP/1.1 is a failure.
 */
export function callUpstream(options: UpstreamCallOptions): UpstreamCall {
    const { target, method, path, headers, body, listener } = options;
    let isConnected = false;
    let isSettled = false;
    let response: IncomingMessage | undefined;
    const clientRequest: ClientRequest = request({
        ...target,
        method,
        path,
        headers,
        createConnection: () => new ResetDetectingSocket().connect(target).setNoDelay(true),
    });
    const connectTimer = setTimeout(() => fail("no connection in time"), connectTimeoutMs);
    const settle = () => {
        isSettled = true;
        clearTimeout(connectTimer);
    };
    const fail = (reason: string, code?: string) => {
        // A complete response remains valid, whatever follows it on the connection.
        if (!isSettled && response?.complete !== true) {
            settle();
            clientRequest.destroy();
            listener.onFailure(isConnected, reason, code === "ECONNREFUSED");
        }
    };
    clientRequest.on("socket", socket => {
        socket.on("connect", () => {
            isConnected = true;
            clearTimeout(connectTimer);
            if (!isSettled) {
                listener.onConnected();
                clientRequest.end(body);
            }
        });
    });
    clientRequest.on("error", (error: NodeJS.ErrnoException) => fail(error.message, error.code));
    clientRequest.on("close", () => fail("closed without an answer"));
    clientRequest.on("response", message => {
        const status = message.statusCode ?? 0;
        const framing = classifyFraming(method, status, message.headers);
        const fault = findInvalidHead(status, message.rawHeaders) ?? findUndecodedCoding(framing, message.headers);
        if (fault !== undefined) {
            fail(fault);
            return;
        }
        response = message;
        message.on("data", (chunk: Buffer) => {
            if (!isSettled) {
                listener.onChunk(chunk);
            }
        });
        message.on("end", () => {
            if (!isSettled && message.complete) {
                settle();
                clientRequest.destroy();
                listener.onEnd();
            }
        });
        message.on("error", error => fail(error.message));
        message.on("aborted", () => fail("the answer was cut"));
        if (!isSettled) {
            listener.onHead(status, message.rawHeaders, framing);
        }
    });
    return {
        cancel: () => {
            settle();
            clientRequest.destroy();
        },
        pause: () => response?.pause(),
        resume: () => response?.resume(),
    };
}
