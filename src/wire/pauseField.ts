/** Parses the response field `Retry-After` (RFC 9110), by which an upstream asks for a pause, as a number of seconds. */

/** Pause as asked for by one response. */
export type RequestedPause =
    /** The response asks for none. */
    | { kind: "none"; }
    /** The response asks for a pause, in milliseconds, which is over zero. */
    | { kind: "pause"; ms: number; }
    /** The field has a value that is no non-negative decimal number of seconds. */
    | { kind: "invalid"; };

/** Status of the refusals that may ask for a pause. */
const pauseStatus = 503;
const secondsPattern = /^(\d+(\.\d*)?|\.\d+)$/;

/** Parses the values of all occurrences of the field. Of several valid values the longest counts; others are ignored. */
function parsePause(values: string[]): RequestedPause {
    const parts = values.map(value => value.trim());
    const seconds = parts.filter(part => secondsPattern.test(part)).map(Number);
    if (seconds.length === 0) {
        return { kind: parts.length === 0 ? "none" : "invalid" };
    }
    const ms = Math.max(...seconds) * 1000;
    return ms > 0 ? { kind: "pause", ms } : { kind: "none" };
}

/** Finds the pause that a response of an upstream asks for; one that asks for a pause is no failure of the upstream. */
export function findRequestedPause(status: number, values: string[]): RequestedPause {
    return status === pauseStatus ? parsePause(values) : { kind: "none" };
}
