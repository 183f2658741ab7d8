/**
 * Decides whether an upstream's response is complete once its transport has ended without an error. A response without a
 * length and chunks ends with its connection, which looks the same when the upstream has crashed.
 */
import type { EventScanner } from "./eventStream.js";
import { ResponseFraming } from "./responseFraming.js";

/** A response whose transport has ended without an error. */
export interface EndedResponse {
    framing: ResponseFraming;
    /** Has scanned the body; undefined if the response is no event stream. */
    scanner: EventScanner | undefined;
    /** Whether the response must hold an event: a stream that begins does, one that goes on may be at its end. */
    requiresEvent: boolean;
}

/** Describes why a response is incomplete; returns undefined if it counts as complete. */
export function findTruncation({ framing, scanner, requiresEvent }: EndedResponse): string | undefined {
    if (framing === ResponseFraming.none || scanner === undefined) {
        return undefined;
    }
    if (scanner.isInsideEvent()) {
        return "the stream ended inside an event";
    }
    if (scanner.countEvents() > 0) {
        return undefined;
    }
    if (framing === ResponseFraming.connection) {
        return "the stream ended with its connection before an event";
    }
    return requiresEvent ? "the stream ended without an event" : undefined;
}
