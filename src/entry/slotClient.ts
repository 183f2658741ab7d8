/** Streams of frames from a slot: the first run of a request, and its resumption on a new connection. */
import { Agent, Client, type Dispatcher } from "undici";
import { createFrameDecoder } from "../wire/frames.js";
import { type Frame, InternalPath, type ResumeParams, type RunParams } from "../wire/messages.js";
import { createSignedHeaders, type RpcIdentity } from "../wire/rpc.js";

const connectTimeoutMs = 500;
/** Longest silence on a stream before its connection counts as lost. */
const silenceMs = 1500;
const firstFrameMs = 750;

export interface FrameListener {
    onFrame: (frame: Frame) => void;
    /** Called at most once; `sent` is false when no connection was made. */
    onBroken: (sent: boolean) => void;
}

export interface SlotStream {
    abandon: () => void;
}

export interface SlotClient {
    run: (url: string, params: RunParams, listener: FrameListener) => SlotStream;
    /** Always uses a new connection. */
    resume: (url: string, params: ResumeParams, listener: FrameListener) => SlotStream;
    close: () => Promise<void>;
}

/** Creates a client; connections idle for over two seconds are never used again. */
export function createSlotClient(identity: RpcIdentity): SlotClient {
    const agent = new Agent({
        connections: 512,
        keepAliveTimeout: 2000,
        keepAliveMaxTimeout: 2000,
        headersTimeout: 0,
        bodyTimeout: 0,
        connect: { timeout: connectTimeoutMs },
    });
    return {
        run: (url, params, listener) => openStream(agent, identity, url, InternalPath.run, params, listener),
        resume: (url, params, listener) => {
            const fresh = new Client(url, {
                headersTimeout: 0,
                bodyTimeout: 0,
                connect: { timeout: connectTimeoutMs },
            });
            const stream = openStream(fresh, identity, url, InternalPath.resume, params, {
                onFrame: listener.onFrame,
                onBroken: sent => {
                    void fresh.destroy();
                    listener.onBroken(sent);
                },
            });
            return {
                abandon: () => {
                    stream.abandon();
                    void fresh.destroy();
                },
            };
        },
        close: () => agent.close(),
    };
}

function openStream(
    dispatcher: Dispatcher,
    identity: RpcIdentity,
    origin: string,
    path: string,
    params: RunParams | ResumeParams,
    listener: FrameListener,
): SlotStream {
    const body = JSON.stringify({ jsonrpc: "2.0", id: params.requestId, method: path.slice(1), params });
    const decoder = createFrameDecoder();
    let over = false;
    let ended = false;
    let sent = false;
    let abort: (() => void) | undefined;
    const close = () => {
        over = true;
        clearTimeout(timer);
    };
    const fail = () => {
        if (!over) {
            close();
            abort?.();
            listener.onBroken(sent);
        }
    };
    const timer = setTimeout(fail, connectTimeoutMs + firstFrameMs);
    let lastFrameAt = 0;
    const checkSilence = () => {
        const left = lastFrameAt + silenceMs - Date.now();
        if (left <= 0) {
            fail();
        }
        else if (!over) {
            silence = setTimeout(checkSilence, left);
        }
    };
    let silence: NodeJS.Timeout | undefined;
    dispatcher.dispatch({ origin, path, method: "POST", headers: createSignedHeaders(identity, path, body), body }, {
        onRequestStart: controller => {
            sent = true;
            abort = () => controller.abort(new Error("abandoned"));
            if (over) {
                abort();
            }
        },
        onResponseStart: (controller, status) => {
            if (status !== 200) {
                fail();
            }
        },
        onResponseData: (controller, chunk) => {
            if (over) {
                return;
            }
            if (lastFrameAt === 0) {
                clearTimeout(timer);
                silence = setTimeout(checkSilence, silenceMs);
            }
            lastFrameAt = Date.now();
            try {
                for (const frame of decoder.push(chunk)) {
                    ended = ended || frame.kind === "end" || frame.kind === "failed";
                    listener.onFrame(frame);
                }
            }
            catch {
                fail();
            }
        },
        onResponseEnd: () => {
            clearTimeout(silence);
            if (ended) {
                close();
            }
            else {
                fail();
            }
        },
        onResponseError: () => {
            clearTimeout(silence);
            fail();
        },
    });
    return {
        abandon: () => {
            if (!over) {
                close();
                clearTimeout(silence);
                abort?.();
            }
        },
    };
}
