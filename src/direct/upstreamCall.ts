/** One request to one upstream on a connection of its own, which no other answer can come on. */
import { type ClientRequest, type IncomingMessage, request } from "node:http";
import { Socket } from "node:net";

/** Time to make a connection, in milliseconds; ten times the way to the farthest data centre of a region. */
const connectTimeoutMs = 300;

export interface UpstreamTarget {
    host: string;
    port: number;
}

export interface UpstreamCallOptions {
    target: UpstreamTarget;
    method: string;
    path: string;
    headers: string[];
    body: Buffer;
    listener: UpstreamListener;
}

/** Hears of one call: at most once how it failed, or its head, its chunks and its end. */
export interface UpstreamListener {
    onConnected: () => void;
    onHead: (status: number, rawHeaders: string[]) => void;
    onChunk: (chunk: Buffer) => void;
    onEnd: () => void;
    /** `isConnected` is false when no connection was made, so that nothing was sent. */
    onFailure: (isConnected: boolean, reason: string) => void;
}

export interface UpstreamCall {
    /** Closes the connection, which ends the work at the upstream; nothing more is heard of the call. */
    cancel: () => void;
    pause: () => void;
    resume: () => void;
}

/** Sends a request. */
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
        createConnection: () => new UpstreamSocket().connect(target).setNoDelay(true),
    });
    const connectTimer = setTimeout(() => fail("no connection in time"), connectTimeoutMs);
    const settle = () => {
        isSettled = true;
        clearTimeout(connectTimer);
    };
    const fail = (reason: string) => {
        // A complete answer stays good, whatever follows it on the connection.
        if (!isSettled && response?.complete !== true) {
            settle();
            clientRequest.destroy();
            listener.onFailure(isConnected, reason);
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
    clientRequest.on("error", error => fail(error.message));
    clientRequest.on("close", () => fail("closed without an answer"));
    clientRequest.on("response", message => {
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
            listener.onHead(message.statusCode ?? 0, message.rawHeaders);
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

/** What is sent on a connection that has ended to see whether it was reset; an empty line, which servers ignore. */
const closeProbe = "\r\n";

/**
 * A connection that tells a reset from a close. The runtime reports a reset that arrives together with the last bytes as
 * the end of the stream, and an answer without a length would look complete; writing fails only after a reset.
 */
class UpstreamSocket extends Socket {
    constructor() {
        super({ allowHalfOpen: true });
    }

    override push(chunk: unknown, encoding?: BufferEncoding): boolean {
        if (chunk) {
            return super.push(chunk, encoding);
        }
        this.write(closeProbe, error => {
            if (error) {
                this.destroy(error);
            }
            else {
                super.push(chunk);
            }
        });
        return false;
    }
}
