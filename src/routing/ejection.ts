/**
 * Ejection of upstreams that fail or are slow by their peers' figures. An upstream that fails at once looks idle and
 * would attract ever more requests, so outcomes are judged, not load. An ejected upstream is given one request again
 * after a time, then a growing share while its requests succeed. Only a part of the upstreams is ever ejected.
 */

/** What an entry has seen of one upstream. */
export interface UpstreamHealth {
    /** Decayed numbers of requests and of failures. */
    requests: number;
    failures: number;
    /** Recent mean time to the first byte, in milliseconds. */
    latencyMs: number;
    /** Time of the last change of the decayed numbers, in milliseconds. */
    decayedAt: number;
    /** Ejections in a row. */
    ejections: number;
    /** Time until which nothing is sent, in milliseconds; 0 when not ejected. */
    ejectedUntil: number;
}

export interface AttemptOutcome {
    failed: boolean;
    /** Time to the first byte of the answer, in milliseconds; absent when there was none. */
    latencyMs?: number;
}

export const maxEjectedShare = 0.34;
const minRequests = 4;
const maxFailureRate = 0.5;
/** Latency, as a multiple of the median of the peers, from which an upstream is slow. */
const slowLatencyFactor = 3;
/** Latency that is never slow, in milliseconds. */
const minSlowLatencyMs = 50;
const halfLifeMs = 5000;
export const baseEjectionMs = 2000;
const maxEjectionMs = 30_000;
const slowStartMs = 10_000;
const slowStartInitialShare = 0.1;

/** Creates the figures of an upstream that nothing is known of. */
export function createHealth(): UpstreamHealth {
    return { requests: 0, failures: 0, latencyMs: 0, decayedAt: 0, ejections: 0, ejectedUntil: 0 };
}

/** Takes in an outcome, and ejects the upstream when it is worse than its peers and not too many of them are out. */
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

/** Whether nothing may be sent. */
export function isEjected(health: UpstreamHealth, now: number): boolean {
    return health.ejectedUntil > now;
}

/** Computes the share of its usual work that an upstream gets, from 0 to 1. */
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
