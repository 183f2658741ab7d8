/** Chooses the upstream of a request: prefix affinity first, then the least loaded of a random sample. */
import { listPreferred, maxAffinityLoadFactor } from "./affinity.js";
import { computeSlowStartShare, isEjected } from "./ejection.js";
import type { UpstreamState, UpstreamTable } from "./upstreamTable.js";

export interface ChoiceCriteria {
    pool: string;
    dataCentre: string;
    /** When upstreams of other data centres are used. */
    spill: "never" | "when-full" | "always";
    /** Estimated work of the request in tokens. */
    tokens: number;
    /** Upstreams that earlier attempts of the request have tried. */
    excluded: ReadonlySet<string>;
    /** Excludes upstreams that report queued requests; set after an upstream has refused the request. */
    avoidsFull?: boolean;
    /** Hash of the prompt's prefix. */
    prefix?: number;
}

export interface ChoicePolicy {
    /** Number of candidates compared for one request. */
    samples: number;
    /** Time constant of the exponential decay of a report's weight, as a multiple of the mean service time. */
    decayServiceTimes: number;
    /** Upper bound of `LoadBaseline.ownWorkFactor`. */
    maxOwnWorkFactor: number;
    /** Load up to which a preferred upstream is chosen for its prefix cache, as a multiple of the mean. */
    maxAffinityLoadFactor: number;
}

/** Mean load of the candidates, used where a report is missing or old. */
export interface LoadBaseline {
    /** Mean of the reported tokens in flight. */
    tokens: number;
    /** Factor that scales this entry's work since a report up to the work of all entries. */
    ownWorkFactor: number;
}

export const defaultPolicy: ChoicePolicy = {
    samples: 16,
    decayServiceTimes: 4,
    maxOwnWorkFactor: 32,
    maxAffinityLoadFactor: maxAffinityLoadFactor,
};

/** Service time assumed for upstreams that have not reported one, in milliseconds. */
const defaultServiceMs = 1000;

/** Chooses an upstream; undefined when there is no candidate. `random` yields numbers in [0, 1). */
export function chooseUpstream(
    table: UpstreamTable,
    choice: ChoiceCriteria,
    now: number,
    random: () => number,
    policy = defaultPolicy,
): UpstreamState | undefined {
    const candidates = listCandidates(table, choice, now, random);
    const baseline = computeBaseline(candidates, policy);
    const preferred = choosePreferred(candidates, choice, baseline, now, policy);
    if (preferred !== undefined) {
        return preferred;
    }
    const count = Math.min(policy.samples, candidates.length);
    let best: UpstreamState | undefined;
    let bestLoad = Infinity;
    for (let i = 0; i < count; i++) {
        const sampled = sampleCandidate(candidates, i, random);
        const load = estimateLoad(sampled, baseline, now, policy);
        if (load < bestLoad) {
            best = sampled;
            bestLoad = load;
        }
    }
    return best;
}

/**
 * Estimates the tokens in flight at an upstream: the reported load, which decays to the mean with its age, plus this
 * entry's own work since the report, scaled up as a sample of the work of all entries.
 */
export function estimateLoad(
    upstream: UpstreamState,
    baseline: LoadBaseline,
    now: number,
    policy = defaultPolicy,
): number {
    const { report } = upstream;
    if (report === undefined) {
        return baseline.tokens + baseline.ownWorkFactor * upstream.ownTokens;
    }
    const age = Math.max(0, now - upstream.reportedAt);
    const weight = Math.exp(-age / (policy.decayServiceTimes * (report.serviceMs || defaultServiceMs)));
    const ownSince = upstream.ownTokens - upstream.ownTokensAtReport;
    return baseline.tokens + (report.tokensInFlight - baseline.tokens) * weight + baseline.ownWorkFactor * ownSince;
}

/** Estimates the tokens in flight from the last report and this entry's work since; used to explain a choice. */
export function estimateCost(upstream: UpstreamState): number {
    const reported = (upstream.report?.tokensInFlight ?? 0) + upstream.ownTokens - upstream.ownTokensAtReport;
    return Math.max(upstream.ownTokens, reported);
}

/** Computes the mean load, and how many times this entry's own work the work of all entries is, from the reports. */
export function computeBaseline(candidates: UpstreamState[], policy = defaultPolicy): LoadBaseline {
    let tokens = 0;
    let own = 0;
    let reports = 0;
    for (const { report, ownTokensAtReport } of candidates) {
        if (report !== undefined) {
            tokens += report.tokensInFlight;
            own += ownTokensAtReport;
            reports += 1;
        }
    }
    const ownWorkFactor = tokens === 0 ? 1 : Math.min(policy.maxOwnWorkFactor, Math.max(1, tokens / Math.max(1, own)));
    return { tokens: tokens / Math.max(1, reports), ownWorkFactor };
}

/** Lists the candidates; see `ChoiceCriteria`. */
function listCandidates(
    table: UpstreamTable,
    choice: ChoiceCriteria,
    now: number,
    random: () => number,
): UpstreamState[] {
    const usable: UpstreamState[] = [];
    for (const upstream of table.upstreams.values()) {
        const { pool, leaving, report, instance } = upstream;
        const isUsable = pool === choice.pool && !leaving && report !== undefined && !choice.excluded.has(instance);
        if (isUsable && !(choice.avoidsFull === true && hasQueue(upstream))) {
            usable.push(upstream);
        }
    }
    return listWithinSpill(filterAdmitted(usable, now), choice, now, random);
}

/**
 * Excludes upstreams whose rate limit or pause admits no request yet; if none is left, returns those whose pause ends
 * first.
 */
function filterAdmitted(upstreams: UpstreamState[], now: number): UpstreamState[] {
    const admitted = upstreams.filter(upstream =>
        upstream.reportedAt + (upstream.report?.permitWaitMs ?? 0) <= now && !isPaused(upstream, now)
    );
    if (admitted.length > 0) {
        return admitted;
    }
    const firstEnd = Math.min(...upstreams.map(upstream => computePauseEnd(upstream, now)));
    return upstreams.filter(upstream => computePauseEnd(upstream, now) === firstEnd);
}

/** Whether an upstream wants no requests at `now`, according to its latest report. */
export function isPaused(upstream: UpstreamState, now: number): boolean {
    return computePauseEnd(upstream, now) > now;
}

/** Computes the end of an upstream's pause; `now` without one. */
function computePauseEnd({ report, reportedAt }: UpstreamState, now: number): number {
    return Math.max(now, reportedAt + (report?.pauseWaitMs ?? 0));
}

/** Lists the healthy upstreams of the entry's data centre, or of all data centres as `spill` allows. */
function listWithinSpill(
    usable: UpstreamState[],
    choice: ChoiceCriteria,
    now: number,
    random: () => number,
): UpstreamState[] {
    if (choice.spill === "always") {
        return filterHealthy(usable, now, random);
    }
    const local = usable.filter(u => u.dataCentre === choice.dataCentre);
    const healthyLocal = filterHealthy(local, now, random);
    const hasHealthyLocal = healthyLocal.some(u => isHealthy(u, now));
    if (choice.spill === "never" || (hasHealthyLocal && !healthyLocal.every(hasQueue))) {
        return healthyLocal;
    }
    return filterHealthy(usable, now, random);
}

/**
 * Excludes unreachable and ejected upstreams, and those in slow start with some probability; returns all if none is
 * left.
 */
function filterHealthy(upstreams: UpstreamState[], now: number, random: () => number): UpstreamState[] {
    const healthy = upstreams.filter(u => isHealthy(u, now));
    const admitted = healthy.filter(u => {
        const share = computeSlowStartShare(u.health, now);
        return share === 1 || random() < share;
    });
    return admitted.length > 0 ? admitted : healthy.length > 0 ? healthy : upstreams;
}

function isHealthy(upstream: UpstreamState, now: number): boolean {
    return upstream.unreachableUntil <= now && !isEjected(upstream.health, now);
}

function hasQueue(upstream: UpstreamState): boolean {
    return (upstream.report?.queued ?? 0) > 0;
}

/** Chooses a preferred upstream of the prompt's prefix whose load is within the bound. */
function choosePreferred(
    candidates: UpstreamState[],
    { prefix, tokens }: ChoiceCriteria,
    baseline: LoadBaseline,
    now: number,
    policy: ChoicePolicy,
): UpstreamState | undefined {
    if (prefix === undefined) {
        return undefined;
    }
    const loads = candidates.map(candidate => estimateLoad(candidate, baseline, now, policy));
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    const bound = policy.maxAffinityLoadFactor * mean + tokens;
    return listPreferred(candidates, prefix).find(u => estimateLoad(u, baseline, now, policy) <= bound);
}

/** Draws a candidate without replacement, as a step of a Fisher-Yates shuffle: swaps it to `index` and returns it. */
function sampleCandidate(candidates: UpstreamState[], index: number, random: () => number): UpstreamState {
    const sampledIndex = index + Math.floor(random() * (candidates.length - index));
    const sampled = candidates[sampledIndex];
    candidates[sampledIndex] = candidates[index];
    candidates[index] = sampled;
    return sampled;
}
