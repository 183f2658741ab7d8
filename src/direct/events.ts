/** Splits a stream of server-sent events at the blank lines between them. */

export interface StreamEvent {
    /** Text of the event's id line. */
    id?: string;
    bytes: Buffer;
}

export interface EventSplitter {
    /** Takes in bytes and returns the events that they complete. */
    push: (chunk: Buffer) => StreamEvent[];
    /** Bytes after the last complete event. */
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

/** Finds the offset after the first blank line; 0 when there is none. */
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
