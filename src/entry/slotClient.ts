/**
 * Client for the `run` and `resume` calls of entries to slots (the upstreams' sidecars), whose responses are streams of
 * frames.
 */
import { Client, type Dispatcher, Pool } from "undici";
import { createFrameDecoder } from "../wire/frames.js";
import { type Frame, InternalPath, type ResumeParams, type RunParams } from "../wire/messages.js";
import { createSignedHeaders, type RpcIdentity } from "../wire/rpc.js";

const connectTimeoutMs = 500;
/** Time without data after which the connection of a stream counts as lost. */
const idleTimeoutMs = 1500;
/** Time limit for the head of the response once connected. */
const responseTimeoutMs = 750;
const clientOptions = { headersTimeout: 0, bodyTimeout: 0, connect: { timeout: connectTimeoutMs } };

export interface FrameListener {
    onFrame: (frame: Frame) => void;
    /** Called at most once; `sent` is false if no connection was made, so that nothing was sent. */
    onBroken: (sent: boolean) => void;
}

export interface SlotStream {
    /** Closes the stream; its listener is not called any more. */
    abandon: () => void;
    /** Stops reading from the slot and suspends the idle timeout. */
    pause: () => void;
    resume: () => void;
}

export interface SlotClient {
    /** `target` names the only slot that may accept the call. Non-idempotent runs always use a new connection. */
    run: (url: string, params: RunParams, listener: FrameListener, target?: string) => SlotStream;
    /** Always uses a new connection. */
    resume: (url: string, params: ResumeParams, listener: FrameListener, target?: string) => SlotStream;
    close: () => Promise<void>;
}

/**
 * Creates a client. Non-idempotent runs and resumptions use new connections, since an idle one may be dead. Connections
 * that were idle for over two seconds, or whose pool had a broken stream, are never reused.
 */
export function createSlotClient(identity: RpcIdentity): SlotClient {
    const pools = new Map<string, Pool>();
    const getPool = (url: string) => pools.get(url) ?? createPool(pools, url);
    const openPooled: SlotClient["run"] = (url, params, listener, target) => {
        const pool = getPool(url);
        return openStream(pool, identity, InternalPath.run, params, {
            onFrame: listener.onFrame,
            onBroken: sent => {
                removePool(pools, url, pool);
                listener.onBroken(sent);
            },
        }, target);
    };
    return {
        run: (url, params, listener, target) =>
            params.idempotent ?
                openPooled(url, params, listener, target) :
                openOnNewConnection(identity, url, InternalPath.run, params, listener, target),
        resume: (url, params, listener, target) =>
            openOnNewConnection(identity, url, InternalPath.resume, params, listener, target),
        close: async () => {
            await Promise.all([...pools.values()].map(pool => pool.close()));
        },
    };
}

function openOnNewConnection(
    identity: RpcIdentity,
    url: string,
    path: string,
    params: RunParams | ResumeParams,
    listener: FrameListener,
    target: string | undefined,
): SlotStream {
    const client = new Client(url, clientOptions);
    const stream = openStream(client, identity, path, params, {
        onFrame: listener.onFrame,
        onBroken: sent => {
            void client.destroy();
            listener.onBroken(sent);
        },
    }, target);
    return {
        ...stream,
        abandon: () => {
            stream.abandon();
            void client.destroy();
        },
    };
}

function createPool(pools: Map<string, Pool>, url: string): Pool {
    const pool = new Pool(url, {
        ...clientOptions,
        connections: 512,
        keepAliveTimeout: 2000,
        keepAliveMaxTimeout: 2000,
    });
    pool.on("disconnect", () => {
        if (pool.stats.connected === 0 && pool.stats.size === 0) {
            removePool(pools, url, pool);
        }
    });
    pools.set(url, pool);
    return pool;
}

/** Removes a pool, so that later calls use new connections; it closes once its open streams have ended. */
function removePool(pools: Map<string, Pool>, url: string, pool: Pool): void {
    if (pools.get(url) === pool) {
        pools.delete(url);
        void pool.close();
    }
}

/** One call, whose response is a stream of frames. */
class FrameStream implements Dispatcher.DispatchHandler {
    private readonly decoder = createFrameDecoder();
    private controller: Dispatcher.DispatchController | undefined;
    private timer: NodeJS.Timeout;
    private isClosed = false;
    private ended = false;
    private isPaused = false;
    /** Time of the last data, in milliseconds. */
    private lastDataAt = Date.now();

    constructor(
        private readonly run: { requestId: string; attempt: number; },
        private readonly listener: FrameListener,
    ) {
        this.timer = setTimeout(() => this.fail(), connectTimeoutMs + responseTimeoutMs);
    }

    abandon(): void {
        if (this.isClosed) {
            return;
        }
        this.close();
        if (!this.ended) {
            this.controller?.abort(new Error("the stream was closed"));
        }
    }

    pause(): void {
        this.isPaused = true;
        this.controller?.pause();
    }

    resume(): void {
        this.isPaused = false;
        this.lastDataAt = Date.now();
        this.controller?.resume();
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.isClosed) {
            controller.abort(new Error("the stream was closed"));
        }
    }

    onResponseStart(controller: Dispatcher.DispatchController, status: number): void {
        if (status !== 200) {
            this.fail();
            return;
        }
        clearTimeout(this.timer);
        this.lastDataAt = Date.now();
        this.timer = setTimeout(() => this.checkIdleTimeout(), idleTimeoutMs);
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        if (this.isClosed) {
            return;
        }
        this.lastDataAt = Date.now();
        const frames = this.decode(chunk);
        if (frames === undefined) {
            this.fail();
            return;
        }
        for (const frame of frames) {
            if (this.isClosed) {
                return;
            }
            const isOwn = frame.requestId === this.run.requestId && frame.attempt === this.run.attempt;
            this.ended = this.ended || (isOwn && (frame.kind === "end" || frame.kind === "failed"));
            this.listener.onFrame(frame);
        }
    }

    onResponseEnd(): void {
        if (this.ended) {
            this.close();
        }
        else {
            this.fail();
        }
    }

    onResponseError(): void {
        this.fail();
    }

    private decode(chunk: Buffer): Frame[] | undefined {
        try {
            return this.decoder.push(chunk);
        }
        catch {
            return undefined;
        }
    }

    private checkIdleTimeout(): void {
        const remainingMs = this.isPaused ? idleTimeoutMs : this.lastDataAt + idleTimeoutMs - Date.now();
        if (remainingMs <= 0) {
            this.fail();
        }
        else {
            this.timer = setTimeout(() => this.checkIdleTimeout(), remainingMs);
        }
    }

    private close(): void {
        this.isClosed = true;
        clearTimeout(this.timer);
    }

    private fail(): void {
        if (!this.isClosed) {
            this.close();
            this.controller?.abort(new Error("the stream was closed"));
            this.listener.onBroken(this.controller !== undefined);
        }
    }
}

function openStream(
    dispatcher: Dispatcher,
    identity: RpcIdentity,
    path: string,
    params: RunParams | ResumeParams,
    listener: FrameListener,
    target: string | undefined,
): SlotStream {
    const body = JSON.stringify({ jsonrpc: "2.0", id: params.requestId, method: path.slice(1), params });
    // The parameters themselves would keep the body as long as the stream lasts.
    const { requestId, attempt } = params;
    const stream = new FrameStream({ requestId, attempt }, listener);
    const headers = createSignedHeaders(identity, path, body, target);
    dispatcher.dispatch({ path, method: "POST", headers, body }, stream);
    return { abandon: () => stream.abandon(), pause: () => stream.pause(), resume: () => stream.resume() };
}
