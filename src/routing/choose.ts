/** Chooses the upstream for a request. */
import { maxAffinityLoad, rankPreferred } from "./affinity.js";
import { computeReturnShare, isEjected } from "./ejection.js";
import type { UpstreamEntry, UpstreamTable } from "./table.js";

export interface Choice {
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
    decay: number;
    /** Bound of the multiple by which this entry's work since a report stands for all entries' work since. */
    maxEcho: number;
    /** Load, as a multiple of the mean, up to which an upstream is taken for its cache. */
    affinityLoad: number;
}

/** What the candidates have in common. */
export interface Baseline {
    /** Mean of the reported tokens in flight. */
    tokens: number;
    /** Multiple by which this entry's work since a report stands for all entries' work since. */
    echo: number;
}

export const defaultPolicy: ChoicePolicy = { samples: 16, decay: 4, maxEcho: 32, affinityLoad: maxAffinityLoad };

/** Service time assumed of upstreams that have not reported one, in milliseconds. */
const defaultServiceMs = 1000;

/** Chooses the cheapest of a few sampled candidates; undefined when there is none. `random` yields [0, 1). */
export function chooseUpstream(
    table: UpstreamTable,
    choice: Choice,
    now: number,
    random: () => number,
    policy = defaultPolicy,
): UpstreamEntry | undefined {
    const candidates = listCandidates(table, choice, now, random);
    const baseline = computeBaseline(candidates, policy);
    const preferred = choosePreferred(candidates, choice, baseline, now, policy);
    if (preferred !== undefined) {
        return preferred;
    }
    const count = Math.min(policy.samples, candidates.length);
    let best: UpstreamEntry | undefined;
    let bestLoad = Infinity;
    for (let i = 0; i < count; i++) {
        const sampled = takeSample(candidates, i, random);
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
    upstream: UpstreamEntry,
    baseline: Baseline,
    now: number,
    policy = defaultPolicy,
): number {
    const { report } = upstream;
    if (report === undefined) {
        return baseline.tokens + baseline.echo * upstream.ownTokens;
    }
    const age = Math.max(0, now - upstream.reportedAt);
    const weight = Math.exp(-age / (policy.decay * (report.serviceMs || defaultServiceMs)));
    const ownSince = upstream.ownTokens - upstream.ownAtReport;
    return baseline.tokens + (report.tokensInFlight - baseline.tokens) * weight + baseline.echo * ownSince;
}

/** Estimates the tokens in flight at an upstream from its last report and this entry's work since, for explanations. */
export function estimateCost(upstream: UpstreamEntry): number {
    const reported = (upstream.report?.tokensInFlight ?? 0) + upstream.ownTokens - upstream.ownAtReport;
    return Math.max(upstream.ownTokens, reported);
}

/** Computes the mean load and this entry's part of it from the reports. */
export function computeBaseline(candidates: UpstreamEntry[], policy = defaultPolicy): Baseline {
    let tokens = 0;
    let own = 0;
    let reports = 0;
    for (const { report, ownAtReport } of candidates) {
        if (report !== undefined) {
            tokens += report.tokensInFlight;
            own += ownAtReport;
            reports += 1;
        }
    }
    const echo = tokens === 0 ? 1 : Math.min(policy.maxEcho, Math.max(1, tokens / Math.max(1, own)));
    return { tokens: tokens / Math.max(1, reports), echo };
}

/** Lists the candidates: usable ones, near ones first unless all of them have requests waiting. */
function listCandidates(table: UpstreamTable, choice: Choice, now: number, random: () => number): UpstreamEntry[] {
    const usable: UpstreamEntry[] = [];
    for (const upstream of table.upstreams.values()) {
        const { pool, leaving, report, instance } = upstream;
        const isFit = pool === choice.pool && !leaving && report !== undefined && !choice.excluded.has(instance);
        if (isFit && !(choice.avoidsFull === true && isFull(upstream))) {
            usable.push(upstream);
        }
    }
    if (choice.spill === "always") {
        return filterHealthy(usable, now, random);
    }
    const near = usable.filter(u => u.dataCentre === choice.dataCentre);
    const healthyNear = filterHealthy(near, now, random);
    const hasHealthyNear = healthyNear.some(u => isHealthy(u, now));
    if (choice.spill === "never" || (hasHealthyNear && !healthyNear.every(isFull))) {
        return healthyNear;
    }
    return filterHealthy(usable, now, random);
}

/** Leaves out unreachable and ejected upstreams, and returning ones with some probability; all when none is left. */
function filterHealthy(upstreams: UpstreamEntry[], now: number, random: () => number): UpstreamEntry[] {
    const healthy = upstreams.filter(u => isHealthy(u, now));
    const admitted = healthy.filter(u => {
        const share = computeReturnShare(u.health, now);
        return share === 1 || random() < share;
    });
    return admitted.length > 0 ? admitted : healthy.length > 0 ? healthy : upstreams;
}

function isHealthy(upstream: UpstreamEntry, now: number): boolean {
    return upstream.unreachableUntil <= now && !isEjected(upstream.health, now);
}

function isFull(upstream: UpstreamEntry): boolean {
    return (upstream.report?.queued ?? 0) > 0;
}

/** Chooses an upstream that has probably cached the prompt's prefix and is not loaded beyond the bound. */
function choosePreferred(
    candidates: UpstreamEntry[],
    { prefix, tokens }: Choice,
    baseline: Baseline,
    now: number,
    policy: ChoicePolicy,
): UpstreamEntry | undefined {
    if (prefix === undefined) {
        return undefined;
    }
    const loads = candidates.map(candidate => estimateLoad(candidate, baseline, now, policy));
    const mean = loads.reduce((sum, load) => sum + load, 0) / Math.max(1, loads.length);
    const bound = policy.affinityLoad * mean + tokens;
    return rankPreferred(candidates, prefix).find(u => estimateLoad(u, baseline, now, policy) <= bound);
}

/** Moves a random one of the candidates from `index` on to `index` and returns it. */
function takeSample(candidates: UpstreamEntry[], index: number, random: () => number): UpstreamEntry {
    const at = index + Math.floor(random() * (candidates.length - index));
    const sampled = candidates[at];
    candidates[at] = candidates[index];
    candidates[index] = sampled;
    return sampled;
}
