/** Exponential backoff with full jitter, so that many processes do not retry at once. */

const baseDelayMs = 200;
const maxDelayMs = 5000;
const minDelayMs = 20;

/** Computes the delay after `failures` consecutive failures, in milliseconds; `random` is in [0, 1). */
export function computeBackoffMs(failures: number, random: number): number {
    const maxJitterMs = Math.min(maxDelayMs, baseDelayMs * 2 ** Math.min(failures - 1, 10));
    return minDelayMs + random * maxJitterMs;
}
