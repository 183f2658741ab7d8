/** Parses the response field `Retry-After` (RFC 9110), by which an upstream asks for a pause, as a number of seconds. */

/** Pause as asked for by one response. */
export type RequestedPause =
    /** The response asks for none. */
    | { kind: "none"; }
    /** The response asks for a pause, in milliseconds. */
    | { kind: "pause"; ms: number; }
    /** The field has a value that is no non-negative decimal number of seconds. */
    | { kind: "invalid"; };

const secondsPattern = /^(\d+(\.\d*)?|\.\d+)$/;

/** Parses the values of all occurrences of the field. Of several valid values the longest counts; others are ignored. */
export function parsePause(values: string[]): RequestedPause {
    const parts = values.map(value => value.trim());
    const seconds = parts.filter(part => secondsPattern.test(part)).map(Number);
    if (seconds.length === 0) {
        return { kind: parts.length === 0 ? "none" : "invalid" };
    }
    return { kind: "pause", ms: Math.max(...seconds) * 1000 };
}
