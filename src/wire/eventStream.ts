/** Finds the events in a stream of server-sent events, whose lines may end with LF, CRLF or CR. */

const LF = 0x0a;
const CR = 0x0d;
/** First byte of a comment line. */
const colon = 0x3a;

/**
 * Lines of fields that make a block an event, behind a byte order mark at the most. A block of other fields, such as
 * `retry`, gives its reader nothing, and one without any known field may be part of a document.
 */
const eventFieldPattern = /^(?:\xef\xbb\xbf)?(?:data|id)(?:$|[:\r\n])/m;
/** Number of bytes at the start of a line that this pattern needs. */
const linePrefixLength = 8;

/** Tracks where events end in a stream that arrives in chunks. */
export interface EventScanner {
    /** Returns the offsets in `chunk` after each block of lines that it completes; comments may be such a block. */
    push: (chunk: Buffer) => number[];
    /** Returns the number of complete events; blocks without data and an id are none. */
    countEvents: () => number;
    /** Whether the last event or the last line is incomplete. */
    isInsideEvent: () => boolean;
    /** Returns the number of bytes since the last offset. */
    countTrailingBytes: () => number;
}

export interface StreamEvent {
    /** Value of the event's `id` field. */
    id?: string;
    /** Whether the block of lines has data or an id; one of comments or of other fields alone is no event. */
    isEvent: boolean;
    /** The whole block, including the blank line at its end. */
    bytes: Buffer;
}

/** Splits a stream into events. */
export interface EventSplitter {
    /** Adds bytes of the stream and returns the events that they complete. */
    push: (chunk: Buffer) => StreamEvent[];
    /** Returns the bytes after the last complete event. */
    getRemainder: () => Buffer;
    /** Whether these are more than an event may have: an upstream in trouble may send bytes without end. */
    isEventTooLong: () => boolean;
}

/** Whether the value of a `Content-Type` header stands for a stream of events. */
export function isEventStreamType(contentType: string | undefined): boolean {
    return /^\s*text\/event-stream\s*(;|$)/i.test(contentType ?? "");
}

/** Whether the value of a `Last-Event-Id` header names an event; an empty one stands for the start of the stream. */
export function isLastEventId(value: string | undefined): value is string {
    return value !== undefined && value !== "";
}

/** Creates a scanner at the start of a stream. */
export function createEventScanner(): EventScanner {
    let eventCount = 0;
    let trailingBytes = 0;
    let lineLength = 0;
    let linePrefix = "";
    /** Whether the current block has lines, whether one of them is no comment, and whether one makes it an event. */
    let hasLines = false;
    let hasField = false;
    let isEvent = false;
    /** Whether the last byte is a CR whose line end may include the next byte. */
    let isAfterCr = false;
    let lastLineEndsWithCr = false;

    /** Ends the current line; returns whether that completes a block. */
    const endLine = () => {
        if (lineLength > 0) {
            isEvent ||= eventFieldPattern.test(linePrefix);
            lineLength = 0;
            linePrefix = "";
            hasLines = true;
            return false;
        }
        const isBlockEnd = hasLines;
        eventCount += isEvent ? 1 : 0;
        hasLines = false;
        hasField = false;
        isEvent = false;
        return isBlockEnd;
    };
    return {
        push: chunk => {
            const offsets: number[] = [];
            const endLineAt = (offset: number, endsWithCr: boolean) => {
                isAfterCr = false;
                lastLineEndsWithCr = endsWithCr;
                if (endLine()) {
                    offsets.push(offset);
                }
            };
            for (let i = 0; i < chunk.length; i++) {
                const byte = chunk[i];
                if (isAfterCr && byte !== LF) {
                    endLineAt(i, true);
                }
                if (byte === LF) {
                    endLineAt(i + 1, false);
                }
                else if (byte !== CR) {
                    hasField ||= lineLength === 0 && byte !== colon;
                    if (lineLength < linePrefixLength) {
                        linePrefix += String.fromCharCode(byte);
                    }
                    lineLength += 1;
                }
                else if (lineLength === 0 && lastLineEndsWithCr) {
                    endLineAt(i + 1, true);
                }
                else {
                    isAfterCr = true;
                }
            }
            const lastOffset = offsets.at(-1);
            trailingBytes = lastOffset === undefined ? trailingBytes + chunk.length : chunk.length - lastOffset;
            return offsets;
        },
        countEvents: () => eventCount,
        isInsideEvent: () => lineLength > 0 || hasField || isAfterCr,
        countTrailingBytes: () => trailingBytes,
    };
}

/** Maximum size of an event, in bytes. */
const maxEventBytes = 1024 * 1024;

/** Creates a splitter at the start of the stream that `scanner` scans. */
export function createEventSplitter(scanner: EventScanner): EventSplitter {
    let remainder: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            const bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
            const chunkStart = remainder.length;
            let eventStart = 0;
            const events = scanner.push(chunk).map(offset => {
                const event = parseEvent(bytes.subarray(eventStart, chunkStart + offset));
                eventStart = chunkStart + offset;
                return event;
            });
            remainder = bytes.subarray(eventStart);
            return events;
        },
        getRemainder: () => remainder,
        isEventTooLong: () => remainder.length > maxEventBytes,
    };
}

function parseEvent(bytes: Buffer): StreamEvent {
    const text = bytes.toString("latin1");
    const isEvent = eventFieldPattern.test(text);
    const match = /^id:[ ]?([^\r\n]*)/m.exec(text);
    return match ? { id: match[1], isEvent, bytes } : { isEvent, bytes };
}
