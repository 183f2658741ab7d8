/** Converts rate limits between the times of this process's clock and the ages of messages between entries. */
import type { WireRateLimit } from "../peers/permitMessages.js";
import type { RateLimit, RateLimitObservation } from "../routing/rateLimitTable.js";

/** Encodes a limit that is sent at `now`, in milliseconds. */
export function encodeRateLimit(limit: RateLimit, now: number): WireRateLimit {
    const { upstream, startedAt, pool, requestsPerSecond, namedAt, unnamedAt, source } = limit;
    const unnamedAgeMs = unnamedAt === undefined ? undefined : now - unnamedAt;
    return { upstream, startedAt, pool, requestsPerSecond, namedAgeMs: now - namedAt, unnamedAgeMs, source };
}

/** Decodes limits that were sent at `sentAt`, in milliseconds of this process's clock. */
export function decodeRateLimits(limits: WireRateLimit[], sentAt: number): RateLimitObservation[] {
    return limits.flatMap(({ namedAgeMs, unnamedAgeMs, startedAt, ...limit }) => {
        const named = { ...limit, startedAt, observedAt: sentAt - namedAgeMs };
        return unnamedAgeMs === undefined ?
            [named] :
            [named, { ...named, requestsPerSecond: undefined, observedAt: sentAt - unnamedAgeMs }];
    });
}
