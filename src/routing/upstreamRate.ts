/** Rate limit of the one upstream of a slot. As all requests of the upstream pass the slot, it needs no coordinator. */
import { type RateBucket, updateBucket } from "./rateBucket.js";
import { computeAllowedRate, createRateLimitTable, observeRateLimit, type RateLimitTable } from "./rateLimitTable.js";

export interface UpstreamRate {
    table: RateLimitTable;
    bucket: RateBucket;
}

/** Key of the upstream in the table, which holds no other. */
const key = "upstream";

/** Creates the state of an upstream that names no limit. */
export function createUpstreamRate(): UpstreamRate {
    return { table: createRateLimitTable(), bucket: { permits: 0, refilledAt: 0 } };
}

/**
 * Records the limit that a response names, in requests per second, or that it names none. Returns whether the limit is new,
 * has changed, begins to end or goes on.
 */
export function recordUpstreamRate(rate: UpstreamRate, requestsPerSecond: number | undefined, now: number): boolean {
    const isNew = computeUpstreamRate(rate, now) === undefined;
    const hasChanged = observeRateLimit(rate.table, {
        upstream: key,
        startedAt: undefined,
        pool: "",
        requestsPerSecond,
        observedAt: now,
        source: "",
    });
    if (isNew) {
        rate.bucket = { permits: 0, refilledAt: now };
    }
    return hasChanged;
}

/** Computes the rate that is allowed now, in requests per second; undefined without a limit. */
export function computeUpstreamRate({ table }: UpstreamRate, now: number): number | undefined {
    const limit = table.limits.get(key);
    return limit === undefined ? undefined : computeAllowedRate(limit, now);
}

/** Computes the time until `count` more requests may be sent, in milliseconds; undefined without a limit. */
export function computePermitWaitMs(rate: UpstreamRate, count: number, now: number): number | undefined {
    const allowed = computeUpstreamRate(rate, now);
    if (allowed === undefined) {
        return undefined;
    }
    updateBucket(rate.bucket, allowed, now);
    return Math.max(0, count - rate.bucket.permits) * 1000 / allowed;
}

/** Records a request that is sent to the upstream. */
export function takeUpstreamPermit(rate: UpstreamRate, now: number): void {
    const allowed = computeUpstreamRate(rate, now);
    if (allowed !== undefined) {
        updateBucket(rate.bucket, allowed, now);
        rate.bucket.permits -= 1;
    }
}
