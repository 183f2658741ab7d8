/**
 * Places a request on the upstream with the least predicted work. Answers the load pattern in which many entries see
 * the same figures some hundred milliseconds late: each compares a random part of the upstreams, so that they do not all
 * take the same one.
 */
import { estimateRequests, type UpstreamBoard, type UpstreamView } from "./upstreamBoard.js";

export interface PlaceOptions {
    pool: string;
    dataCentre: string;
    /** Upstreams that earlier attempts have tried. */
    excluded: ReadonlySet<string>;
    /** Requests that an upstream may have, running and waiting; none when there is no bound. */
    maxRequests: number;
}

/** Upstreams that one request compares; more of them send too many requests to one that looked idle to all entries. */
const compared = 3;
/** Requests by which an upstream of another data centre has to be less loaded; bytes between data centres have a price. */
const remotePenalty = 1;

/** Chooses an upstream; undefined when none may take the request. `random` yields [0, 1). */
export function placeRequest(
    board: UpstreamBoard,
    options: PlaceOptions,
    now: number,
    random: () => number,
): UpstreamView | undefined {
    const usable = [...board.views.values()].filter(({ record, isGone }) =>
        record.pool === options.pool && !record.isLeaving && !isGone && !options.excluded.has(record.id)
    );
    const sound = usable.filter(({ avoidedUntil }) => avoidedUntil <= now);
    const candidates = sound.length > 0 ? sound : usable;
    const free = candidates.filter(view => estimateRequests(view, now) < options.maxRequests);
    let best: UpstreamView | undefined;
    let bestCost = Infinity;
    for (const view of takeSample(free, compared, random)) {
        const isRemote = view.record.dataCentre !== options.dataCentre;
        const cost = estimateRequests(view, now) + (isRemote ? remotePenalty : 0) + random();
        if (cost < bestCost) {
            best = view;
            bestCost = cost;
        }
    }
    return best;
}

function takeSample<T>(items: T[], count: number, random: () => number): T[] {
    const rest = [...items];
    const size = Math.min(count, rest.length);
    for (let i = 0; i < size; i++) {
        const at = i + Math.floor(random() * (rest.length - i));
        [rest[i], rest[at]] = [rest[at], rest[i]];
    }
    return rest.slice(0, size);
}
