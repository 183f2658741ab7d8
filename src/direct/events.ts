/** Splits a stream of server-sent events into events. */

export interface StreamEvent {
    /** Value of the event's `id` field. */
    id?: string;
    /** The whole event, including the blank line at its end. */
    bytes: Buffer;
}

export interface EventSplitter {
    /** Adds bytes of the stream and returns the events that they complete. */
    push: (chunk: Buffer) => StreamEvent[];
    /** Returns the bytes after the last complete event. */
    getRemainder: () => Buffer;
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
    let remainder: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            let bytes = remainder.length === 0 ? chunk : Buffer.concat([remainder, chunk]);
            const events: StreamEvent[] = [];
            for (let end = findEventEnd(bytes); end > 0; end = findEventEnd(bytes)) {
                events.push(parseEvent(bytes.subarray(0, end)));
                bytes = bytes.subarray(end);
            }
            remainder = bytes;
            return events;
        },
        getRemainder: () => remainder,
    };
}

/** Returns the offset after the first blank line, or 0 if there is none. */
function findEventEnd(bytes: Buffer): number {
    const lf = bytes.indexOf("\n\n");
    const crlf = bytes.indexOf("\r\n\r\n");
    if (crlf >= 0 && (lf < 0 || crlf < lf)) {
        return crlf + 4;
    }
    return lf < 0 ? 0 : lf + 2;
}

function parseEvent(bytes: Buffer): StreamEvent {
    const match = /^id:[ ]?([^\r\n]*)/m.exec(bytes.toString("latin1"));
    return match ? { id: match[1], bytes } : { bytes };
}
