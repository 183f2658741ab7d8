/**
 * Outlier detection: ejects upstreams that fail or are slow compared with their peers. It uses outcomes and not load,
 * since an upstream that fails requests immediately looks idle and would attract more and more of them. After the
 * ejection time an upstream is in slow start: it gets a growing share of requests, and is ejected again for the first
 * failure. At most `maxEjectedShare` of the upstreams is ejected at once.
 */

/** Outcomes of one entry's requests at an upstream. */
export interface UpstreamHealth {
    /** Exponentially decayed numbers of requests and failures. */
    requests: number;
    failures: number;
    /** Moving average of the time to the first byte, in milliseconds. */
    latencyMs: number;
    /** Time of the last decay, in milliseconds. */
    decayedAt: number;
    /** Consecutive ejections. */
    ejections: number;
    /** Time at which the ejection ends, in milliseconds; 0 when the upstream has never been ejected. */
    ejectedUntil: number;
}

export interface AttemptOutcome {
    failed: boolean;
    /** Time to the first byte of the response, in milliseconds; undefined when there was no response. */
    latencyMs?: number;
}

/** Share of the upstreams of a pool that may be ejected at once. */
export const maxEjectedShare = 0.34;
/** Decayed number of requests below which an upstream that is not in slow start is not ejected. */
const minRequests = 4;
const maxFailureRate = 0.5;
/** Latency above which an upstream is slow, as a multiple of the median of its peers. */
const slowLatencyFactor = 3;
/** Latency up to which an upstream is never slow, in milliseconds. */
const minSlowLatencyMs = 50;
/** Half-life of the decayed numbers, in milliseconds. */
const halfLifeMs = 5000;
/** Duration of the first ejection, in milliseconds; doubles with each consecutive one. */
export const baseEjectionMs = 2000;
const maxEjectionMs = 30_000;
/** Time in which the share of a slow start grows by 1, in milliseconds. */
const slowStartMs = 10_000;
const slowStartInitialShare = 0.1;

/** Creates the health of an upstream without outcomes. */
export function createHealth(): UpstreamHealth {
    return { requests: 0, failures: 0, latencyMs: 0, decayedAt: 0, ejections: 0, ejectedUntil: 0 };
}

/**
 * Records an outcome and ejects the upstream if it is an outlier and the share of ejected peers allows it.
 * Returns whether the upstream was ejected.
 */
export function recordOutcome(
    health: UpstreamHealth,
    peers: Iterable<UpstreamHealth>,
    outcome: AttemptOutcome,
    now: number,
): boolean {
    decayCounts(health, now);
    const previousRequests = health.requests;
    health.requests += 1;
    health.failures += outcome.failed ? 1 : 0;
    if (outcome.latencyMs !== undefined) {
        const weight = 1 / Math.min(10, previousRequests + 1);
        health.latencyMs += (outcome.latencyMs - health.latencyMs) * weight;
    }
    if (isEjected(health, now) || !isOutlier(health, [...peers], outcome, now)) {
        return false;
    }
    ejectUpstream(health, now);
    return true;
}

/** Whether the upstream is ejected and gets no requests. */
export function isEjected(health: UpstreamHealth, now: number): boolean {
    return health.ejectedUntil > now;
}

/** Computes the share of its usual requests that an upstream gets, from 0 (ejected) to 1 (slow start is over). */
export function computeSlowStartShare(health: UpstreamHealth, now: number): number {
    if (health.ejectedUntil === 0) {
        return 1;
    }
    if (isEjected(health, now)) {
        return 0;
    }
    return Math.min(1, slowStartInitialShare + (now - health.ejectedUntil) / slowStartMs);
}

function isOutlier(health: UpstreamHealth, peers: UpstreamHealth[], outcome: AttemptOutcome, now: number): boolean {
    const others = peers.filter(peer => peer !== health);
    const ejectedCount = others.filter(peer => isEjected(peer, now)).length;
    if (ejectedCount + 1 > Math.floor((others.length + 1) * maxEjectedShare)) {
        return false;
    }
    if (outcome.failed && computeSlowStartShare(health, now) < 1) {
        return true;
    }
    if (health.requests < minRequests) {
        return false;
    }
    const failureRate = health.failures / health.requests;
    return (outcome.failed && failureRate >= maxFailureRate &&
        failureRate > 2 * computeMedian(others, computeFailureRate)) ||
        isSlow(health, others);
}

function isSlow(health: UpstreamHealth, others: UpstreamHealth[]): boolean {
    const median = computeMedian(others.filter(peer => peer.requests >= 1), peer => peer.latencyMs);
    return median > 0 && health.latencyMs > Math.max(minSlowLatencyMs, slowLatencyFactor * median);
}

function computeFailureRate(health: UpstreamHealth): number {
    return health.failures / Math.max(1, health.requests);
}

function computeMedian(peers: UpstreamHealth[], getValue: (health: UpstreamHealth) => number): number {
    const values = peers.map(getValue).sort((a, b) => a - b);
    return values[Math.floor((values.length - 1) / 2)] ?? 0;
}

function ejectUpstream(health: UpstreamHealth, now: number): void {
    const hadRecovered = now - health.ejectedUntil > slowStartMs;
    health.ejections = hadRecovered ? 1 : health.ejections + 1;
    health.ejectedUntil = now + Math.min(maxEjectionMs, baseEjectionMs * 2 ** (health.ejections - 1));
    health.requests = 0;
    health.failures = 0;
    health.latencyMs = 0;
}

function decayCounts(health: UpstreamHealth, now: number): void {
    const factor = 2 ** (-Math.max(0, now - health.decayedAt) / halfLifeMs);
    health.requests *= factor;
    health.failures *= factor;
    health.decayedAt = now;
}
