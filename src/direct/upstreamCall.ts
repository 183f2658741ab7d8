/** One request to one upstream on a connection of its own, which no other answer can come on. */
import { type ClientRequest, type IncomingMessage, request } from "node:http";

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
    onBroken: (isConnected: boolean, reason: string) => void;
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
    let isOver = false;
    let response: IncomingMessage | undefined;
    const sent: ClientRequest = request({ ...target, method, path, headers, agent: false });
    const connecting = setTimeout(() => fail("no connection in time"), connectTimeoutMs);
    const close = () => {
        isOver = true;
        clearTimeout(connecting);
    };
    const fail = (reason: string) => {
        // A complete answer stays good, whatever follows it on the connection.
        if (!isOver && response?.complete !== true) {
            close();
            sent.destroy();
            listener.onBroken(isConnected, reason);
        }
    };
    sent.on("socket", socket =>
        socket.on("connect", () => {
            isConnected = true;
            clearTimeout(connecting);
            if (!isOver) {
                listener.onConnected();
                sent.end(body);
            }
        }));
    sent.on("error", error => fail(error.message));
    sent.on("close", () => fail("closed without an answer"));
    sent.on("response", answer => {
        response = answer;
        answer.on("data", (chunk: Buffer) => {
            if (!isOver) {
                listener.onChunk(chunk);
            }
        });
        answer.on("end", () => {
            if (!isOver && answer.complete) {
                close();
                sent.destroy();
                listener.onEnd();
            }
        });
        answer.on("error", error => fail(error.message));
        answer.on("aborted", () => fail("the answer was cut"));
        if (!isOver) {
            listener.onHead(answer.statusCode ?? 0, answer.rawHeaders);
        }
    });
    return {
        cancel: () => {
            close();
            sent.destroy();
        },
        pause: () => response?.pause(),
        resume: () => response?.resume(),
    };
}
