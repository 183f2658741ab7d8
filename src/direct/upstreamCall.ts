/** Sends one request to one upstream on a new connection, so that no response to another request can arrive on it. */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import type { Socket } from "node:net";
import { findInvalidHead } from "../wire/httpSyntax.js";
import { ResetDetectingSocket } from "../wire/resetDetectingSocket.js";
import { classifyFraming, findUndecodedCoding, type ResponseFraming } from "../wire/responseFraming.js";
import type { Body } from "../wire/segmentedBody.js";

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
    /** Encodes the header fields as alternating names and values. */
    encodeHeaders: () => string[];
    body: Body;
    /** Called with the socket, before it connects. */
    onSocket?: (socket: Socket) => void;
    listener: UpstreamListener;
}

/** Receives the events of one call: connection, head, chunks and end; a failure comes at most once and is the last. */
export interface UpstreamListener {
    onConnected: () => void;
    onHead: (status: number, rawHeaders: string[], framing: ResponseFraming) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    /** `isConnected` is false if no connection was made, so that nothing was sent; `code` is that of the error. */
    onFailure: (isConnected: boolean, reason: string, code: string | undefined) => void;
    /** Called instead if the request cannot be written as HTTP/1.1; nothing was sent. */
    onFault: (error: Error) => void;
}

export interface UpstreamCall {
    /** Closes the connection, which stops the upstream's work; the listener receives no further events. */
    cancel: () => void;
    /** Pauses reading the response, for backpressure. */
    pause: () => void;
    resume: () => void;
}

/**
 * Sends a request; `options.listener` receives the response or the failure. A response that is no HTTP/1.1 is a failure. The
 * head is encoded once there is a connection: as text it takes several times its length until it is sent.
 */
export function callUpstream(options: UpstreamCallOptions): UpstreamCall {
    const { target, listener } = options;
    let isConnected = false;
    let isSettled = false;
    let clientRequest: ClientRequest | undefined;
    let response: IncomingMessage | undefined;
    const socket = new ResetDetectingSocket();
    const connectTimer = setTimeout(() => fail("no connection in time"), connectTimeoutMs);
    const destroy = () => {
        clientRequest?.destroy();
        socket.destroy();
    };
    const settle = () => {
        isSettled = true;
        clearTimeout(connectTimer);
    };
    const fail = (reason: string, code?: string) => {
        // A complete response remains valid, whatever follows it on the connection.
        if (!isSettled && response?.complete !== true) {
            settle();
            destroy();
            listener.onFailure(isConnected, reason, code);
        }
    };
    const acceptResponse = (message: IncomingMessage) => {
        const status = message.statusCode ?? 0;
        const framing = classifyFraming(options.method, status, message.headers);
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
                destroy();
                listener.onEnd();
            }
        });
        message.on("error", error => fail(error.message));
        message.on("aborted", () => fail("the answer was cut"));
        if (!isSettled) {
            listener.onHead(status, message.rawHeaders, framing);
        }
    };
    const send = () => {
        const { method, path, encodeHeaders, body } = options;
        clientRequest = request({ ...target, method, path, headers: encodeHeaders(), createConnection: () => socket });
        clientRequest.on("error", (error: NodeJS.ErrnoException) => fail(error.message, error.code));
        clientRequest.on("close", () => fail("closed without an answer"));
        clientRequest.on("response", acceptResponse);
        isConnected = true;
        clearTimeout(connectTimer);
        listener.onConnected();
        if (!isSettled) {
            sendBody(clientRequest, body);
        }
    };
    socket.on("error", (error: NodeJS.ErrnoException) => fail(error.message, error.code));
    socket.on("connect", () => {
        if (isSettled) {
            return;
        }
        try {
            send();
        }
        catch (error) {
            settle();
            destroy();
            listener.onFault(error as Error);
        }
    });
    options.onSocket?.(socket);
    socket.connect(target).setNoDelay(true);
    return {
        cancel: () => {
            settle();
            destroy();
        },
        pause: () => response?.pause(),
        resume: () => response?.resume(),
    };
}

function sendBody(clientRequest: ClientRequest, { segments }: Body): void {
    segments.slice(0, -1).forEach(segment => clientRequest.write(segment));
    clientRequest.end(segments.at(-1));
}
