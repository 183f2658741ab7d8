/** Chooses the upstream for a request. */
import { listPreferred, maxAffinityLoadFactor } from "./affinity.js";
import { computeSlowStartShare, isEjected } from "./ejection.js";
import type { UpstreamState, UpstreamTable } from "./upstreamTable.js";

export interface ChoiceCriteria {
    pool: string;
    dataCentre: string;
    spill: "never" | "when-full" | "always";
    tokens: number;
    /** Upstreams that earlier attempts of the request have tried. */
    excluded: ReadonlySet<string>;
    /** Leaves out upstreams that report waiting requests, for a request that one has refused. */
    avoidsFull?: boolean;
    /** Hash of the prompt's leading block. */
    prefix?: number;
}

export interface ChoicePolicy {
    /** Candidates that are compared for one request. */
    samples: number;
    /** Age at which a report has lost 63 % of its weight, as a multiple of the mean service time. */
    decayServiceTimes: number;
    /** Bound of the multiple by which this entry's work since a report stands for all entries' work since. */
    maxOwnWorkFactor: number;
    /** Load, as a multiple of the mean, up to which an upstream is taken for its cache. */
    maxAffinityLoadFactor: number;
}

/** What the candidates have in common. */
export interface LoadBaseline {
    /** Mean of the reported tokens in flight. */
    tokens: number;
    /** Multiple by which this entry's work since a report stands for all entries' work since. */
    ownWorkFactor: number;
}

export const defaultPolicy: ChoicePolicy = {
    samples: 16,
    decayServiceTimes: 4,
    maxOwnWorkFactor: 32,
    maxAffinityLoadFactor: maxAffinityLoadFactor,
};

/** Service time assumed of upstreams that have not reported one, in milliseconds. */
const defaultServiceMs = 1000;

/** Chooses the cheapest of a few sampled candidates; undefined when there is none. `random` yields [0, 1). */
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
 * Estimates the tokens in flight at an upstream: the reported load, which tends to the mean with age,
 * and this entry's own work since, taken as a sample of what all entries have sent.
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

/** Estimates the tokens in flight at an upstream from its last report and this entry's work since, for explanations. */
export function estimateCost(upstream: UpstreamState): number {
    const reported = (upstream.report?.tokensInFlight ?? 0) + upstream.ownTokens - upstream.ownTokensAtReport;
    return Math.max(upstream.ownTokens, reported);
}

/** Computes the mean load and this entry's part of it from the reports. */
export function computeBaseline(candidates: UpstreamState[], policy = defaultPolicy): LoadBaseline {
    let tokens = 0;
    let own = 0;
    let reports = 0;
    for (const { report, ownTokensAtReport: ownAtReport } of candidates) {
        if (report !== undefined) {
            tokens += report.tokensInFlight;
            own += ownAtReport;
            reports += 1;
        }
    }
    const echo = tokens === 0 ? 1 : Math.min(policy.maxOwnWorkFactor, Math.max(1, tokens / Math.max(1, own)));
    return { tokens: tokens / Math.max(1, reports), ownWorkFactor: echo };
}

/** Lists the candidates: usable ones, near ones first unless all of them have requests waiting. */
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

/** Leaves out unreachable and ejected upstreams, and returning ones with some probability; all when none is left. */
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

/** Chooses an upstream that has probably cached the prompt's prefix and is not loaded beyond the bound. */
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

/** Moves a random one of the candidates from `index` on to `index` and returns it. */
function sampleCandidate(candidates: UpstreamState[], index: number, random: () => number): UpstreamState {
    const sampledIndex = index + Math.floor(random() * (candidates.length - index));
    const sampled = candidates[sampledIndex];
    candidates[sampledIndex] = candidates[index];
    candidates[index] = sampled;
    return sampled;
}
