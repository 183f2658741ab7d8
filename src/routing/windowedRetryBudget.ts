/**
 * Keeps repeats within the budget that all entries share, without asking each other: each entry uses its part of the
 * slack, and of the ratio what its own requests earn. Answers the load pattern in which an outage refuses thousands of
 * requests at once.
 */

export interface WindowedRetryBudgetSettings {
    /** Repeats allowed for each request. */
    ratio: number;
    /** Repeats that all entries together may make beyond that in one window. */
    slack: number;
    windowMs: number;
}

export interface WindowedRetryBudget {
    settings: WindowedRetryBudgetSettings;
    /** Times of requests and repeats of the window, oldest first, in milliseconds. */
    requests: number[];
    retries: number[];
}

/** Part of the budget that is used; the rest is for processes that restart and forget what they used. */
const usableShare = 0.6;

/** Creates a window that has seen nothing. */
export function createWindowedRetryBudget(settings: WindowedRetryBudgetSettings): WindowedRetryBudget {
    return { settings, requests: [], retries: [] };
}

/** Counts a request. */
export function recordRequest(budget: WindowedRetryBudget, now: number): void {
    budget.requests.push(now);
}

/** Counts a repeat and admits it, or refuses it; `entries` is the number of entries that share the budget. */
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
