/**
 * Decides whether an upstream's response is complete once its transport has ended without an error. A response without a
 * length and chunks ends with its connection, which looks the same when the upstream has crashed.
 */
import type { EventScanner } from "./eventStream.js";
import { ResponseFraming } from "./responseFraming.js";

/**
 * Describes why a response that has ended is incomplete; returns undefined if it counts as complete. `scanner` has
 * scanned the body and is undefined if the response is no event stream.
 */
export function findTruncation(framing: ResponseFraming, scanner: EventScanner | undefined): string | undefined {
    if (framing === ResponseFraming.none || scanner === undefined) {
        return undefined;
    }
    if (scanner.isInsideEvent()) {
        return "the stream ended inside an event";
    }
    if (framing === ResponseFraming.connection && scanner.countEvents() === 0) {
        return "the stream ended with its connection before an event";
    }
    return undefined;
}
