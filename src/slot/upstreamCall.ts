/** One HTTP request to an upstream, whose response body is read with bounded memory and time. */
import type { Dispatcher } from "undici";
import { CallError } from "../core/errors.js";
import { isStatus } from "../wire/httpSyntax.js";

/** Status, headers and body of a final response. */
export interface CallResponse {
    status: number;
    headers: Record<string, string | string[] | undefined>;
    /** Ends the connection when its reader stops before the end. */
    body: AsyncIterable<Buffer>;
    /** Ends the connection without reading the body. */
    discard: () => void;
}

type CallOptions = Omit<Dispatcher.DispatchOptions, "origin">;

/** Length from which reading from the connection pauses until the reader takes the bytes, in bytes. */
const readAheadBytes = 16 * 1024;
/** Smallest size of the buffer, in bytes. */
const minBufferBytes = 1024;
/** Chunks of one connection that are handled in one turn of the event loop, and their length in bytes. */
const maxChunksPerTurn = 256;
const maxBytesPerTurn = 16 * 1024;

/**
 * Sends a request; rejects if it fails or is aborted before a final response arrives. Calls `onClose` when the response has
 * ended, failed or been aborted.
 */
export function callUpstream(
    dispatcher: Dispatcher,
    options: CallOptions,
    signal: AbortSignal,
    onClose: () => void,
): Promise<CallResponse> {
    return new Promise((resolve, reject) => {
        const abort = () => call.abort(signal.reason as Error);
        const call = new UpstreamCall(resolve, reject, () => {
            signal.removeEventListener("abort", abort);
            onClose();
        });
        if (signal.aborted) {
            abort();
            return;
        }
        signal.addEventListener("abort", abort);
        dispatcher.dispatch(options, call);
    });
}

/**
 * Keeps the bytes ahead of the reader in one buffer, since an upstream may send each byte as a chunk of its own, and pauses
 * between chunks, so that one connection does not hold up the others.
 */
class UpstreamCall implements Dispatcher.DispatchHandler {
    private controller: Dispatcher.DispatchController | undefined;
    private buffer: Buffer = Buffer.alloc(0);
    private length = 0;
    private chunksInTurn = 0;
    private bytesInTurn = 0;
    private hasEnded = false;
    private error: Error | undefined;
    private wakeReader: () => void = () => undefined;

    constructor(
        private readonly resolve: (response: CallResponse) => void,
        private readonly reject: (error: Error) => void,
        private readonly onClose: () => void,
    ) {}

    abort(reason: Error): void {
        if (this.hasClosed()) {
            return;
        }
        this.length = 0;
        this.controller?.abort(reason);
        this.fail(reason);
    }

    onRequestStart(controller: Dispatcher.DispatchController): void {
        this.controller = controller;
        if (this.error !== undefined) {
            controller.abort(this.error);
        }
    }

    onResponseStart(
        controller: Dispatcher.DispatchController,
        status: number,
        headers: CallResponse["headers"],
    ): void {
        if (!isStatus(status)) {
            this.abort(new CallError(`status ${status} is invalid`));
        }
        else if (status >= 200) {
            const discard = () => this.abort(createUnreadError());
            this.resolve({ status, headers, body: this.readBody(), discard });
        }
    }

    onResponseData(controller: Dispatcher.DispatchController, chunk: Buffer): void {
        this.append(chunk);
        this.countChunk(chunk.length);
        if (!this.hasSpace()) {
            controller.pause();
        }
        this.wakeReader();
    }

    onResponseEnd(): void {
        this.hasEnded = true;
        this.onClose();
        this.wakeReader();
    }

    onResponseError(controller: Dispatcher.DispatchController | undefined, error: Error): void {
        this.fail(error);
    }

    private hasClosed(): boolean {
        return this.hasEnded || this.error !== undefined;
    }

    private fail(error: Error): void {
        if (this.hasClosed()) {
            return;
        }
        this.error = error;
        this.onClose();
        this.reject(error);
        this.wakeReader();
    }

    private append(chunk: Buffer): void {
        const needed = this.length + chunk.length;
        if (needed > this.buffer.length) {
            const larger = Buffer.allocUnsafeSlow(Math.max(2 * needed, minBufferBytes));
            this.buffer.copy(larger, 0, 0, this.length);
            this.buffer = larger;
        }
        chunk.copy(this.buffer, this.length);
        this.length = needed;
    }

    private countChunk(bytes: number): void {
        this.chunksInTurn += 1;
        this.bytesInTurn += bytes;
        if (this.chunksInTurn === 1) {
            setImmediate(() => {
                this.chunksInTurn = 0;
                this.bytesInTurn = 0;
                this.resumeIfSpace();
            });
        }
    }

    private hasSpace(): boolean {
        const hasTurnEnded = this.chunksInTurn >= maxChunksPerTurn || this.bytesInTurn >= maxBytesPerTurn;
        return this.length < readAheadBytes && !hasTurnEnded;
    }

    private resumeIfSpace(): void {
        if (this.hasSpace()) {
            this.controller?.resume();
        }
    }

    private take(): Buffer {
        const bytes = this.buffer.subarray(0, this.length);
        this.buffer = Buffer.alloc(0);
        this.length = 0;
        return bytes;
    }

    private async *readBody(): AsyncGenerator<Buffer> {
        try {
            while (this.length > 0 || !this.hasEnded) {
                if (this.length > 0) {
                    yield this.take();
                    this.resumeIfSpace();
                }
                else if (this.error !== undefined) {
                    throw this.error;
                }
                else {
                    await new Promise<void>(resolve => this.wakeReader = resolve);
                }
            }
        }
        finally {
            this.abort(createUnreadError());
        }
    }
}

function createUnreadError(): Error {
    return new CallError("the response was not read to its end");
}
