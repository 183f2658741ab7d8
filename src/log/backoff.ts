/** Delays between retries: exponential with full jitter, so that many processes do not return at once. */

const baseDelayMs = 200;
const maxDelayMs = 5000;
const minDelayMs = 20;

/** Computes the delay after `failures` failures in a row, in milliseconds; `random` is in [0, 1). */
export function computeBackoffMs(failures: number, random: number): number {
    const ceilingMs = Math.min(maxDelayMs, baseDelayMs * 2 ** Math.min(failures - 1, 10));
    return minDelayMs + random * ceilingMs;
}
