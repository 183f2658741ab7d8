/** Limits retries to a fraction of the recent requests, so that retries do not multiply the load during an outage. */

/** Length of the sliding window in which requests and retries are counted. */
const windowSeconds = 10;

interface Bucket {
    /** Second since the epoch that the counts belong to; -1 before the first use. */
    second: number;
    requests: number;
    retries: number;
}

export interface RetryBudget {
    /** Retries allowed per request in the window. */
    ratio: number;
    /** Retries per second, averaged over the window, that are allowed however few requests there are. */
    minRetriesPerSecond: number;
    /** One bucket per second of the window; the index is the second modulo the length of the window. */
    buckets: Bucket[];
}

/** Creates a budget without any requests in its window. */
export function createRetryBudget(ratio: number, minRetriesPerSecond: number): RetryBudget {
    const buckets = Array.from({ length: windowSeconds }, () => ({ second: -1, requests: 0, retries: 0 }));
    return { ratio, minRetriesPerSecond, buckets };
}

/** Counts the first attempt of a request; `now` is in milliseconds. */
export function countRequest(budget: RetryBudget, now: number): void {
    getBucket(budget, now).requests += 1;
}

/** Returns whether the budget allows a retry, and counts it if so; `now` is in milliseconds. */
export function admitRetry(budget: RetryBudget, now: number): boolean {
    const windowStart = Math.floor(now / 1000) - windowSeconds;
    let requests = 0;
    let retries = 0;
    for (const bucket of budget.buckets) {
        if (bucket.second > windowStart) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    const limit = Math.max(budget.ratio * requests, budget.minRetriesPerSecond * windowSeconds);
    if (retries + 1 > limit) {
        return false;
    }
    getBucket(budget, now).retries += 1;
    return true;
}

/** Returns the bucket of the current second, cleared if it last counted an earlier one. */
function getBucket(budget: RetryBudget, now: number): Bucket {
    const second = Math.floor(now / 1000);
    const bucket = budget.buckets[second % windowSeconds];
    if (bucket.second !== second) {
        bucket.second = second;
        bucket.requests = 0;
        bucket.retries = 0;
    }
    return bucket;
}
