/** Token bucket whose rate may change at any time. */

export interface RateBucket {
    permits: number;
    /** Time of the latest refill, in milliseconds. */
    refilledAt: number;
}

/** Permits that may be used at once after a pause, beyond one, as seconds of the rate. */
const burstSeconds = 0.2;

/** Computes the most permits that a bucket holds; `rate` is in permits per second. */
export function computeBucketCapacity(rate: number): number {
    return 1 + rate * burstSeconds;
}

/** Adds the permits since the latest refill. */
export function updateBucket(bucket: RateBucket, rate: number, now: number): void {
    const permits = bucket.permits + rate * Math.max(0, now - bucket.refilledAt) / 1000;
    bucket.permits = Math.min(computeBucketCapacity(rate), permits);
    bucket.refilledAt = now;
}
