/**
 * What an entry knows of upstreams on the direct path: shared figures with their age, its own requests since, and which
 * upstreams have just failed it. Entries do not ask each other; the figures are how they see each other's requests.
 */
import type { UpstreamRecord } from "../peers/mirror.js";

/** Figures of one upstream, as its slot or one of its answers told them. */
export interface UpstreamLoad {
    running: number;
    waiting: number;
    /** Time at which they held, in milliseconds. */
    observedAt: number;
}

interface OwnRequest {
    sentAt: number;
    /** Undefined while the request is at the upstream. */
    endedAt: number | undefined;
}

export interface TrackedUpstream {
    record: UpstreamRecord;
    load: UpstreamLoad | undefined;
    ownRequests: OwnRequest[];
    /** Failures since the last answer. */
    failures: number;
    /** Time until which the upstream is avoided, in milliseconds. */
    avoidedUntil: number;
    /** Whether another upstream answered at its address. */
    isReplaced: boolean;
}

export interface UpstreamTracker {
    upstreams: Map<string, TrackedUpstream>;
}

/** Age up to which figures count, in milliseconds; the vector comes five times a second and may miss some. */
export const maxLoadAgeMs = 1500;
/** Time for which ended requests are kept, in milliseconds; figures older than this do not count. */
const ownHistoryMs = maxLoadAgeMs;
/** First time for which a failing upstream is avoided, in milliseconds; doubles with each further failure. */
const minAvoidMs = 400;
/** Longest time for which a failing upstream is avoided, in milliseconds. */
const maxAvoidMs = 4000;

/** Creates an empty board. */
export function createUpstreamTracker(): UpstreamTracker {
    return { upstreams: new Map() };
}

/** Replaces the set of upstreams; what is known of those that stay is kept. */
export function setUpstreams(board: UpstreamTracker, records: UpstreamRecord[]): void {
    const upstreams = new Map<string, TrackedUpstream>();
    for (const record of records) {
        const previous = board.upstreams.get(record.id);
        // An upstream that started again under its id holds nothing of before.
        const known = previous?.record.startedAt === record.startedAt ? previous : undefined;
        if (known !== undefined) {
            known.record = record;
        }
        upstreams.set(
            record.id,
            known ?? { record, load: undefined, ownRequests: [], failures: 0, avoidedUntil: 0, isReplaced: false },
        );
    }
    board.upstreams = upstreams;
}

/** Finds the upstreams that are the ranks of a pool's group; of two with one rank, the one that was started later. */
export function findRanks(board: UpstreamTracker, pool: string): Map<number, string> {
    const ranks = new Map<number, string>();
    for (const [id, { record }] of board.upstreams) {
        if (record.pool === pool && record.rank !== undefined) {
            const other = board.upstreams.get(ranks.get(record.rank) ?? "")?.record;
            if (other === undefined || (record.startedAt ?? 0) >= (other.startedAt ?? 0)) {
                ranks.set(record.rank, id);
            }
        }
    }
    return ranks;
}

/** Takes in figures; older ones than known are dropped. */
export function updateLoad(board: UpstreamTracker, id: string, load: UpstreamLoad): void {
    const upstream = board.upstreams.get(id);
    if (upstream !== undefined && (upstream.load === undefined || upstream.load.observedAt < load.observedAt)) {
        upstream.load = load;
    }
}

/** Notes a request that is sent; the result ends it. */
export function recordSent(board: UpstreamTracker, id: string, now: number): (endedAt: number) => void {
    const upstream = board.upstreams.get(id);
    const request: OwnRequest = { sentAt: now, endedAt: undefined };
    if (upstream !== undefined) {
        upstream.ownRequests = upstream.ownRequests.filter(({ endedAt }) =>
            endedAt === undefined || endedAt > now - ownHistoryMs
        );
        upstream.ownRequests.push(request);
    }
    return endedAt => request.endedAt = endedAt;
}

/** Notes that an upstream answered. */
export function recordAnswer(board: UpstreamTracker, id: string): void {
    const upstream = board.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.failures = 0;
        upstream.avoidedUntil = 0;
    }
}

/** Notes that an upstream failed a request; it is avoided for a while. */
export function recordFailure(board: UpstreamTracker, id: string, now: number): void {
    const upstream = board.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.avoidedUntil = now + Math.min(maxAvoidMs, minAvoidMs * 2 ** upstream.failures);
        upstream.failures += 1;
    }
}

/** Notes that another upstream has the address; this one is gone, and only its record is left. */
export function markReplaced(board: UpstreamTracker, id: string): void {
    const upstream = board.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.isReplaced = true;
    }
}

/** Counts this entry's requests at an upstream. */
export function countOwnRequests(upstream: TrackedUpstream): number {
    return upstream.ownRequests.reduce((count, { endedAt }) => count + Number(endedAt === undefined), 0);
}

/** Estimates the requests that run or wait at an upstream, from figures and this entry's requests since. */
export function estimateRequests(upstream: TrackedUpstream, now: number): number {
    const { load: figures, ownRequests: own } = upstream;
    if (figures === undefined || now - figures.observedAt > maxLoadAgeMs) {
        return countOwnRequests(upstream);
    }
    const ownSince = own.reduce((sum, { sentAt, endedAt }) => {
        const isCounted = sentAt <= figures.observedAt;
        const hasEnded = endedAt !== undefined && endedAt > figures.observedAt;
        return sum + (isCounted ? -Number(hasEnded) : Number(endedAt === undefined));
    }, 0);
    return Math.max(countOwnRequests(upstream), figures.running + figures.waiting + ownSince);
}
