/**
 * Places a request on the least loaded upstream of a random sample. Many entries see the same loads some hundred
 * milliseconds late; if each compared all upstreams, they would all choose the same one.
 */
import {
    estimateRequests,
    type LeavingOptions,
    listCandidates,
    listLeavingCandidates,
    type TrackedUpstream,
    UpstreamAdmission,
    type UpstreamTracker,
} from "./upstreamTracker.js";

export interface PlacementOptions {
    pool: string;
    dataCentre: string;
    /** Ids of the upstreams that earlier attempts have tried. */
    excluded: ReadonlySet<string>;
    /** If the pool has no other candidates, upstreams that leave may take the request under these conditions. */
    leaving?: LeavingOptions;
    /** Upper bound of an upstream's running and waiting requests; `Infinity` for no bound. */
    maxRequests: number;
    /** Returns whether an upstream's rate limit admits a request; all upstreams are unlimited without it. */
    getAdmission?: (upstream: TrackedUpstream) => UpstreamAdmission;
}

/** Upstreams compared for one request; a larger sample overloads an upstream that looks idle to all entries. */
const sampleSize = 3;
/** Requests added to the load of an upstream in another data centre; traffic between data centres is charged. */
const remotePenaltyRequests = 1;
/** Requests taken off the load of a limited upstream for which there is a permit, which would expire unused. */
const permitBonusRequests = 0.5;

/** Chooses an upstream; undefined when none has capacity. `random` yields numbers in [0, 1). */
export function placeRequest(
    tracker: UpstreamTracker,
    options: PlacementOptions,
    now: number,
    random: () => number,
): TrackedUpstream | undefined {
    const { getAdmission = () => UpstreamAdmission.unlimited } = options;
    const withCapacity = listOptions(tracker, options, now).filter(upstream =>
        estimateRequests(upstream, now) < options.maxRequests
    );
    const permitted = withCapacity.filter(upstream => getAdmission(upstream) === UpstreamAdmission.permitted);
    const unlimited = withCapacity.filter(upstream => getAdmission(upstream) === UpstreamAdmission.unlimited);
    let best: TrackedUpstream | undefined;
    let bestCost = Infinity;
    for (const upstream of [...permitted, ...takeSample(unlimited, sampleSize, random)]) {
        const isRemote = upstream.record.dataCentre !== options.dataCentre;
        const bonus = permitted.includes(upstream) ? permitBonusRequests : 0;
        const cost = estimateRequests(upstream, now) + (isRemote ? remotePenaltyRequests : 0) - bonus + random();
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
}

function listOptions(
    tracker: UpstreamTracker,
    { pool, excluded, leaving }: PlacementOptions,
    now: number,
): TrackedUpstream[] {
    const candidates = listCandidates(tracker, pool, now, excluded);
    const hasOthers = candidates.length > 0 || listCandidates(tracker, pool, now).length > 0;
    return hasOthers || leaving === undefined ? candidates : listLeavingCandidates(tracker, pool, now, leaving);
}

function takeSample<T>(items: T[], count: number, random: () => number): T[] {
    const shuffled = [...items];
    const size = Math.min(count, shuffled.length);
    for (let i = 0; i < size; i++) {
        const picked = i + Math.floor(random() * (shuffled.length - i));
        [shuffled[i], shuffled[picked]] = [shuffled[picked], shuffled[i]];
    }
    return shuffled.slice(0, size);
}
