/** Reads request bodies. */
import type { Hash } from "node:crypto";
import type { IncomingMessage } from "node:http";

/** Reads a request body; resolves to undefined if it is longer than `maxBytes` or incomplete. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    return new BodyReader(message).read(maxBytes);
}

/** Maximum number of bytes of a body that are read before it is asked for. */
const maxBytesAhead = 64 * 1024;

/** Body of one request, which can be read ahead of the time at which it is asked for. */
export class BodyReader {
    private chunks: Buffer[] = [];
    private size = 0;
    private maxBytes = maxBytesAhead;
    private isStarted = false;
    private isDiscarded = false;
    /** Resolves the body; undefined while nobody has asked for it. */
    private resolve: ((body: Buffer | undefined) => void) | undefined;
    private hasEnded = false;

    /** `hash` is updated with each part of the body as it arrives. */
    constructor(private readonly message: IncomingMessage, private readonly hash?: Hash) {}

    /** Reads the body as it arrives; `onData` is called with the number of bytes of each part that is kept. */
    readAhead(onData: (bytes: number) => void): void {
        this.maxBytes = Infinity;
        this.start(onData);
    }

    /** Stops to read ahead, unless the body is asked for. */
    stopReadingAhead(): void {
        this.maxBytes = Math.max(this.size, maxBytesAhead);
    }

    /** Resolves to the body; to undefined if it is longer than `maxBytes`, incomplete or discarded. */
    read(maxBytes: number): Promise<Buffer | undefined> {
        return new Promise(resolve => {
            this.resolve = resolve;
            this.maxBytes = maxBytes;
            this.start(() => undefined);
            this.message.resume();
            this.settle();
        });
    }

    /** Returns the hash of a body that has been read, in base64url; empty without a hash. Must be called once at most. */
    computeHash(): string {
        return this.hash?.digest("base64url") ?? "";
    }

    /** Reads the rest of the body without keeping any of it. */
    discard(): void {
        this.isDiscarded = true;
        this.chunks = [];
        this.message.resume();
    }

    private start(onData: (bytes: number) => void): void {
        if (this.isStarted) {
            return;
        }
        this.isStarted = true;
        const end = () => {
            this.hasEnded = true;
            this.settle();
        };
        this.message.on("data", (chunk: Buffer) => {
            if (!this.isDiscarded) {
                this.size += chunk.length;
                this.chunks.push(chunk);
                this.hash?.update(chunk);
                onData(chunk.length);
                this.settle();
            }
        });
        this.message.on("end", end);
        this.message.on("error", end);
        this.message.on("close", end);
    }

    private settle(): void {
        const isTooLong = this.size > this.maxBytes;
        if (isTooLong) {
            this.message.pause();
        }
        if (this.isDiscarded || isTooLong || this.hasEnded) {
            this.resolve?.(this.isDiscarded || isTooLong || !this.message.complete ? undefined : this.concatenate());
        }
    }

    private concatenate(): Buffer {
        return this.chunks.length === 1 ? this.chunks[0] : Buffer.concat(this.chunks, this.size);
    }
}
