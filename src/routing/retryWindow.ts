/**
 * Keeps repeats within the budget that all entries share, without asking each other: each entry uses its part of the
 * slack, and of the ratio what its own requests earn. Answers the load pattern in which an outage refuses thousands of
 * requests at once.
 */

export interface RetryWindowSettings {
    /** Repeats allowed for each request. */
    ratio: number;
    /** Repeats that all entries together may make beyond that in one window. */
    slack: number;
    windowMs: number;
}

export interface RetryWindow {
    settings: RetryWindowSettings;
    /** Times of requests and repeats of the window, oldest first, in milliseconds. */
    requests: number[];
    repeats: number[];
}

/** Part of the budget that is used; the rest is for processes that restart and forget what they used. */
const usedShare = 0.6;

/** Creates a window that has seen nothing. */
export function createRetryWindow(settings: RetryWindowSettings): RetryWindow {
    return { settings, requests: [], repeats: [] };
}

/** Counts a request. */
export function noteFirstSend(window: RetryWindow, now: number): void {
    window.requests.push(now);
}

/** Counts a repeat and admits it, or refuses it; `entries` is the number of entries that share the budget. */
export function admitRepeat(window: RetryWindow, entries: number, now: number): boolean {
    const oldest = now - window.settings.windowMs;
    window.requests = window.requests.filter(at => at > oldest);
    window.repeats = window.repeats.filter(at => at > oldest);
    const { ratio, slack } = window.settings;
    const limit = usedShare * (ratio * window.requests.length + slack / Math.max(1, entries));
    if (window.repeats.length + 1 > limit) {
        return false;
    }
    window.repeats.push(now);
    return true;
}
