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
    getRest: () => Buffer;
}

/** Creates a splitter at the start of a stream. */
export function createEventSplitter(): EventSplitter {
    let rest: Buffer = Buffer.alloc(0);
    return {
        push: chunk => {
            let bytes = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
            const events: StreamEvent[] = [];
            for (let end = findEnd(bytes); end > 0; end = findEnd(bytes)) {
                events.push(parseEvent(bytes.subarray(0, end)));
                bytes = bytes.subarray(end);
            }
            rest = bytes;
            return events;
        },
        getRest: () => rest,
    };
}

/** Finds the offset after the first blank line; 0 when there is none. */
function findEnd(bytes: Buffer): number {
    const plain = bytes.indexOf("\n\n");
    const carriage = bytes.indexOf("\r\n\r\n");
    if (carriage >= 0 && (plain < 0 || carriage < plain)) {
        return carriage + 4;
    }
    return plain < 0 ? 0 : plain + 2;
}

function parseEvent(bytes: Buffer): StreamEvent {
    const match = /^id:[ ]?([^\r\n]*)/m.exec(bytes.toString("latin1"));
    return match ? { id: match[1], bytes } : { bytes };
}
