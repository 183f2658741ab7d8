/**
 * Parses the response field in which an upstream names its rate limit: the requests per second that it accepts from all
 * callers together.
 */

/** Rate limit as named by one response. */
export type NamedRateLimit =
    /** The response names no limit. */
    | { kind: "none"; }
    /** The response names a limit in requests per second. */
    | { kind: "limit"; requestsPerSecond: number; isRepeated: boolean; }
    /** The field has a value that is no non-negative decimal number, so that nothing is known of the limit. */
    | { kind: "invalid"; };

const decimalPattern = /^(\d+(\.\d*)?|\.\d+)$/;

/**
 * Parses the values of all occurrences of the field. Of several valid values the lowest counts; invalid ones beside a valid
 * one are ignored.
 */
export function parseRateLimit(values: string[]): NamedRateLimit {
    const parts = values.flatMap(value => value.split(",")).map(part => part.trim());
    const limits = parts.filter(part => decimalPattern.test(part)).map(Number).filter(Number.isFinite);
    if (limits.length === 0) {
        return { kind: parts.length === 0 ? "none" : "invalid" };
    }
    return { kind: "limit", requestsPerSecond: Math.min(...limits), isRepeated: parts.length > 1 };
}
