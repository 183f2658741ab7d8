/** Keeps the parts of a body compactly, however small they arrive. */

/** Bytes of a body, in order. */
export interface Body {
    readonly segments: readonly Buffer[];
    readonly length: number;
}

/** Least and maximum size of a segment, in bytes. */
const segmentBytes = { min: 1024, max: 64 * 1024 };
/** Size of a segment, as a share of the body so far. */
const segmentShare = 0.25;
/** Size from which a part is kept as it arrived, in bytes. */
const minKeptPartBytes = 16 * 1024;
/** Memory of a segment besides its bytes, in bytes. */
const segmentOverheadBytes = 256;

export const emptyBody: Body = { segments: [], length: 0 };

/** Returns the body as one buffer, which is a copy unless it has one segment. */
export function joinBody({ segments, length }: Body): Buffer {
    return segments.length === 1 ? segments[0] : Buffer.concat(segments, length);
}

/** Collects the parts of one body. */
export class SegmentedBody {
    /** Number of bytes so far. */
    length = 0;
    private segments: Buffer[] = [];
    /** Segment that is not full yet, and the number of bytes in it. */
    private open: Buffer | undefined;
    private openBytes = 0;

    /**
     * `expectedBytes` is the length of the whole body, if it is known. `onSegment` is called with each segment once it is
     * full, in order.
     */
    constructor(
        private readonly expectedBytes: number | undefined,
        private readonly onSegment: (segment: Buffer) => void,
    ) {}

    /** Adds a part; returns the number of bytes that were allocated for it. */
    append(part: Buffer): number {
        if (this.open !== undefined && part.length <= this.open.length - this.openBytes) {
            this.open.set(part, this.openBytes);
            this.openBytes += part.length;
            this.length += part.length;
            return 0;
        }
        const rest = this.copyToOpen(part);
        this.length += part.length - rest.length;
        if (rest.length === 0) {
            return 0;
        }
        this.closeOpen();
        // A part of a larger buffer would keep all of that alive.
        const isOwnBuffer = rest.length === rest.buffer.byteLength;
        if (isOwnBuffer && (rest.length >= minKeptPartBytes || rest.length === this.expectedBytes)) {
            this.length += rest.length;
            this.add(rest);
            return rest.length + segmentOverheadBytes;
        }
        const grownBytes = Math.max(segmentBytes.min, Math.floor(this.length * segmentShare));
        const capacity = Math.max(rest.length, Math.min(grownBytes, segmentBytes.max, this.countMissing()));
        this.open = Buffer.allocUnsafeSlow(capacity);
        this.openBytes = 0;
        this.length += rest.length;
        this.copyToOpen(rest);
        return capacity + segmentOverheadBytes;
    }

    /** Returns the body; nothing may be added afterwards. */
    finish(): Body {
        this.closeOpen();
        return { segments: this.segments, length: this.length };
    }

    /** Drops all bytes. */
    clear(): void {
        this.segments = [];
        this.open = undefined;
    }

    private countMissing(): number {
        return this.expectedBytes === undefined ? Infinity : Math.max(0, this.expectedBytes - this.length);
    }

    /** Copies as much of `part` as fits into the open segment; returns the rest. */
    private copyToOpen(part: Buffer): Buffer {
        if (this.open === undefined) {
            return part;
        }
        const copied = part.copy(this.open, this.openBytes);
        this.openBytes += copied;
        return part.subarray(copied);
    }

    private closeOpen(): void {
        if (this.open !== undefined) {
            const segment = this.open.subarray(0, this.openBytes);
            this.open = undefined;
            this.add(segment);
        }
    }

    private add(segment: Buffer): void {
        this.segments.push(segment);
        this.onSegment(segment);
    }
}
