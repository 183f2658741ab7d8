/**
 * Places a request on the upstream with the least predicted work. Answers the load pattern in which many entries see
 * the same figures some hundred milliseconds late: each compares a random part of the upstreams, so that they do not all
 * take the same one.
 */
import { estimateRequests, type TrackedUpstream, type UpstreamTracker } from "./upstreamTracker.js";

export interface PlacementOptions {
    pool: string;
    dataCentre: string;
    /** Upstreams that earlier attempts have tried. */
    excluded: ReadonlySet<string>;
    /** Requests that an upstream may have, running and waiting; none when there is no bound. */
    maxRequests: number;
}

/** Upstreams that one request compares; more of them send too many requests to one that looked idle to all entries. */
const sampleSize = 3;
/** Requests by which an upstream of another data centre has to be less loaded; bytes between data centres have a price. */
const remotePenaltyRequests = 1;

/** Chooses an upstream; undefined when none may take the request. `random` yields [0, 1). */
export function placeRequest(
    board: UpstreamTracker,
    options: PlacementOptions,
    now: number,
    random: () => number,
): TrackedUpstream | undefined {
    const usable = [...board.upstreams.values()].filter(({ record, isReplaced: isGone }) =>
        record.pool === options.pool && !record.isLeaving && !isGone && !options.excluded.has(record.id)
    );
    const reachable = usable.filter(({ avoidedUntil }) => avoidedUntil <= now);
    const candidates = reachable.length > 0 ? reachable : usable;
    const withCapacity = candidates.filter(view => estimateRequests(view, now) < options.maxRequests);
    let best: TrackedUpstream | undefined;
    let bestCost = Infinity;
    for (const upstream of takeSample(withCapacity, sampleSize, random)) {
        const isRemote = upstream.record.dataCentre !== options.dataCentre;
        const cost = estimateRequests(upstream, now) + (isRemote ? remotePenaltyRequests : 0) + random();
        if (cost < bestCost) {
            best = upstream;
            bestCost = cost;
        }
    }
    return best;
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
