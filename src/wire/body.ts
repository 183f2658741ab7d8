/** Reads request bodies. */
import type { Hash } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { MemoryReservation } from "./callerMemory.js";
import { type Body, joinBody, SegmentedBody } from "./segmentedBody.js";

/** Reads a request body; resolves to undefined if it is longer than `maxBytes` or incomplete. */
export function readBody(message: IncomingMessage, maxBytes: number): Promise<Buffer | undefined> {
    return readWhole(new BodyReader(message), maxBytes);
}

/** Reads the rest of a body; resolves to undefined if it is longer than `maxBytes`, incomplete or discarded. */
export async function readWhole(reader: BodyReader, maxBytes: number): Promise<Buffer | undefined> {
    const body = await reader.read(maxBytes);
    return body === undefined ? undefined : joinBody(body);
}

/** Returns the length that the head of a request announces, in bytes; undefined if it announces none. */
export function getContentLength({ headers }: IncomingMessage): number | undefined {
    const text = headers["content-length"];
    return text === undefined ? undefined : Number(text);
}

/** Size of the chunk that ends a body. */
const lastChunkBytes = "0\r\n\r\n".length;
/** Size of the line breaks of a chunk. */
const chunkBreakBytes = "\r\n\r\n".length;

/** Readers of the messages with chunks. */
const chunkReaders = new WeakMap<IncomingMessage, BodyReader>();

/** Estimates what the chunks of a message take on the wire, in bytes, as far as they have been read; 0 without chunks. */
export function estimateChunkBytes(message: IncomingMessage): number {
    const reader = chunkReaders.get(message);
    return reader === undefined ? 0 : reader.encodedBytes + lastChunkBytes;
}

/** Counts the hexadecimal digits of a length. */
function countHexDigits(length: number): number {
    let digits = 1;
    for (let rest = length >>> 4; rest > 0; rest >>>= 4) {
        digits += 1;
    }
    return digits;
}

function hasChunks({ headers }: IncomingMessage): boolean {
    return headers["transfer-encoding"] !== undefined;
}

/** Maximum number of bytes of a body that are read before it is asked for. */
const maxBytesAhead = 64 * 1024;

/** Number of bytes that count as progress; a trickle of less keeps no memory from others. */
const minProgressBytes = 1024;

export interface BodyReaderOptions {
    /** Creates the hash of the body; called at its first byte. */
    createHash?: () => Hash;
    /** Memory of the body; what it does not admit is not kept. */
    reservation?: MemoryReservation;
}

/** Body of one request, which can be read ahead of the time at which it is asked for. */
export class BodyReader {
    private readonly parts: SegmentedBody;
    private readonly expectedBytes: number | undefined;
    private hash: Hash | undefined;
    private reservation: MemoryReservation | undefined;
    private maxBytes = maxBytesAhead;
    private isStarted = false;
    private isDiscarded = false;
    /** Resolves the body; undefined while nobody has asked for it. */
    private resolve: ((body: Body | undefined) => void) | undefined;
    private hasEnded = false;
    private allocatedBytes = 0;
    /** Estimated size on the wire of the chunks so far, in bytes. */
    encodedBytes = 0;
    /** Length at which progress was last recorded, in bytes. */
    private progressBytes = 0;

    constructor(private readonly message: IncomingMessage, private readonly options: BodyReaderOptions = {}) {
        this.reservation = options.reservation;
        this.expectedBytes = getContentLength(message) ?? (hasChunks(message) ? undefined : 0);
        this.parts = new SegmentedBody(this.expectedBytes, segment => {
            this.hash ??= options.createHash?.();
            this.hash?.update(segment);
        });
        if (hasChunks(message)) {
            chunkReaders.set(message, this);
        }
    }

    /** Reads the body as it arrives. */
    readAhead(): void {
        this.maxBytes = Infinity;
        this.start();
    }

    /** Stops to read ahead, unless the body is asked for. */
    stopReadingAhead(): void {
        this.maxBytes = Math.max(this.parts.length, maxBytesAhead);
    }

    /** Charges the bytes that are kept, and those to come, to another reservation than before. */
    transferTo(reservation: MemoryReservation): void {
        this.reservation?.add(-this.allocatedBytes);
        this.reservation = reservation;
        if (!reservation.add(this.allocatedBytes)) {
            this.discard();
        }
    }

    /** Returns the number of bytes that have not arrived; Infinity if the length is not known. */
    countMissingBytes(): number {
        if (this.message.complete) {
            return 0;
        }
        return (this.expectedBytes ?? Infinity) - this.parts.length;
    }

    /** Waits until the body has ended, or else until everything that has arrived has been read. */
    waitForArrived(): Promise<void> {
        if (this.hasEnded) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const turn = setImmediate(resolve);
            this.message.once("end", () => {
                clearImmediate(turn);
                resolve();
            });
        });
    }

    /** Resolves to the body; to undefined if it is longer than `maxBytes`, incomplete or discarded. */
    read(maxBytes: number): Promise<Body | undefined> {
        return new Promise(resolve => {
            this.resolve = resolve;
            this.maxBytes = maxBytes;
            this.start();
            this.message.resume();
            this.settle();
        });
    }

    /** Returns the hash of a body that has been read, in base64url; empty without a hash. Must be called once at most. */
    computeHash(): string {
        this.hash ??= this.options.createHash?.();
        return this.hash?.digest("base64url") ?? "";
    }

    /** Drops what is kept of the body, and reads the rest without keeping it. */
    discard(): void {
        this.isDiscarded = true;
        this.parts.clear();
        this.reservation?.add(-this.allocatedBytes);
        this.allocatedBytes = 0;
        this.start();
        this.message.resume();
        this.settle();
    }

    private start(): void {
        if (this.isStarted) {
            return;
        }
        this.isStarted = true;
        const end = () => {
            this.hasEnded = true;
            this.settle();
        };
        this.message.on("data", (chunk: Buffer) => this.append(chunk));
        this.message.on("end", end);
        this.message.on("error", end);
        this.message.on("close", end);
    }

    private append(chunk: Buffer): void {
        this.encodedBytes += chunk.length + countHexDigits(chunk.length) + chunkBreakBytes;
        if (this.isDiscarded) {
            return;
        }
        const allocatedBytes = this.parts.append(chunk);
        this.allocatedBytes += allocatedBytes;
        if (allocatedBytes > 0 || this.parts.length - this.progressBytes >= minProgressBytes) {
            this.progressBytes = this.parts.length;
            this.reservation?.recordProgress();
        }
        if (allocatedBytes > 0 && this.reservation?.add(allocatedBytes) === false) {
            this.discard();
            return;
        }
        if (this.parts.length > this.maxBytes) {
            this.settle();
        }
    }

    private settle(): void {
        const isTooLong = this.parts.length > this.maxBytes;
        if (isTooLong) {
            this.message.pause();
        }
        if (this.isDiscarded || isTooLong || this.hasEnded) {
            const isWhole = !this.isDiscarded && !isTooLong && this.message.complete;
            this.resolve?.(isWhole ? this.parts.finish() : undefined);
            this.resolve = undefined;
        }
    }
}
