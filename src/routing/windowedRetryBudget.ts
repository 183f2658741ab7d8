/**
 * Sliding-window retry budget that all entries share without coordination: each entry may use its part of the slack and
 * the ratio of its own requests. It bounds retries when an outage refuses thousands of requests at once.
 */

export interface WindowedRetryBudgetSettings {
    /** Retries allowed per request. */
    ratio: number;
    /** Retries that all entries together may make beyond the ratio in one window. */
    slack: number;
    windowMs: number;
}

export interface WindowedRetryBudget {
    settings: WindowedRetryBudgetSettings;
    /** Times of the requests and retries in the window, oldest first, in milliseconds. */
    requests: number[];
    retries: number[];
}

/** Share of the budget that is used; the rest covers processes that restart, which lose the count of their retries. */
const usableShare = 0.6;

/** Creates a budget with an empty window. */
export function createWindowedRetryBudget(settings: WindowedRetryBudgetSettings): WindowedRetryBudget {
    return { settings, requests: [], retries: [] };
}

/** Records the first attempt of a request. */
export function recordRequest(budget: WindowedRetryBudget, now: number): void {
    budget.requests.push(now);
}

/**
 * Returns whether a retry is allowed, and records it if so; `entries` is the number of entries that share the budget.
 */
export function acquireRetry(budget: WindowedRetryBudget, entries: number, now: number): boolean {
    const windowStart = now - budget.settings.windowMs;
    budget.requests = budget.requests.filter(at => at > windowStart);
    budget.retries = budget.retries.filter(at => at > windowStart);
    const { ratio, slack } = budget.settings;
    const limit = usableShare * (ratio * budget.requests.length + slack / Math.max(1, entries));
    if (budget.retries.length + 1 > limit) {
        return false;
    }
    budget.retries.push(now);
    return true;
}
