/** Keeps retries to a fraction of recent requests, so that an outage does not multiply the load. */

const windowSeconds = 10;

interface Bucket {
    /** Second that the bucket counts. */
    second: number;
    requests: number;
    retries: number;
}

export interface RetryBudget {
    /** Retries allowed for each request of the window. */
    ratio: number;
    /** Retries a second that are allowed at any load. */
    minRetriesPerSecond: number;
    /** One bucket for each second of the window, at the second modulo the window. */
    buckets: Bucket[];
}

/** Creates a budget that has seen no request. */
export function createRetryBudget(ratio: number, minRetriesPerSecond: number): RetryBudget {
    const buckets = Array.from({ length: windowSeconds }, () => ({ second: -1, requests: 0, retries: 0 }));
    return { ratio, minRetriesPerSecond: minRetriesPerSecond, buckets };
}

/** Counts a request's first attempt; `now` in milliseconds. */
export function countRequest(budget: RetryBudget, now: number): void {
    getBucket(budget, now).requests += 1;
}

/** Counts a retry and admits it, or refuses it when the budget is spent; `now` in milliseconds. */
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
