/**
 * Tracks the upstreams of the direct path (without slots in between) as one entry sees them: the load that upstreams
 * report, the entry's own requests since that report, and recent failures. Entries do not query each other; they see
 * each other's requests only through the reported load.
 */
import type { RankLoad } from "../peers/heartbeat.js";
import type { UpstreamRecord } from "../peers/mirror.js";
import {
    addRefusal,
    type ConnectionRefusals,
    estimateReturnMs,
    isPausing,
    type PoolOutages,
    updateOutage,
} from "./connectionRefusals.js";
import {
    createNoticeTable,
    findNotice,
    getAvailability,
    getSendableAt,
    type NoticeTable,
    UpstreamAvailability,
} from "./upstreamNotices.js";
import { isSilent, recordGroupReport, recordSignOfLife } from "./upstreamSilence.js";

/** Load of one upstream, as reported by its slot or in one of its responses. */
export interface UpstreamLoad {
    running: number;
    waiting: number;
    /** Time of the observation, in milliseconds. */
    observedAt: number;
}

interface OwnRequest {
    /** Times in milliseconds. */
    sentAt: number;
    /** Undefined while the request is in flight. */
    endedAt: number | undefined;
}

export interface TrackedUpstream {
    record: UpstreamRecord;
    load: UpstreamLoad | undefined;
    ownRequests: OwnRequest[];
    /** Consecutive failures since the last response. */
    failures: number;
    /** Time until which other upstreams are preferred, in milliseconds. */
    avoidedUntil: number;
    /** Whether another upstream has responded at its address. */
    isReplaced: boolean;
    /** Time of its latest report or part of a response, in milliseconds; undefined before the first one. */
    heardAt: number | undefined;
    /** Connections that it has refused since it last accepted one; undefined if there are none. */
    refusals: ConnectionRefusals | undefined;
}

export interface UpstreamTracker {
    upstreams: Map<string, TrackedUpstream>;
    /** What upstreams say of themselves in responses; kept when an upstream is not listed for some time. */
    notices: NoticeTable;
    /** Time since which half of each pool's group have been heard of, in milliseconds. */
    groupHeardAt: Map<string, number>;
    /** Outages of pools of which all upstreams refuse connections. */
    outages: Map<string, PoolOutages>;
}

/**
 * Age up to which a reported load is used, in milliseconds; the leader sends loads five times a second, and heartbeats
 * may be lost.
 */
export const maxLoadAgeMs = 1500;
/** Time for which ended requests are kept, in milliseconds; no load older than this is used. */
const ownHistoryMs = maxLoadAgeMs;
/** Time for which an upstream is avoided after one failure, in milliseconds; doubles with each further failure. */
const minAvoidMs = 400;
/** Upper bound of the time for which a failing upstream is avoided, in milliseconds. */
const maxAvoidMs = 4000;

/** Creates a tracker without upstreams. */
export function createUpstreamTracker(): UpstreamTracker {
    return { upstreams: new Map(), notices: createNoticeTable(), groupHeardAt: new Map(), outages: new Map() };
}

/** Replaces the set of upstreams and keeps the state of those that remain. */
export function setUpstreams(tracker: UpstreamTracker, records: UpstreamRecord[]): void {
    const upstreams = new Map<string, TrackedUpstream>();
    for (const record of records) {
        const previous = tracker.upstreams.get(record.id);
        // An upstream that restarted under the same id has lost all earlier requests.
        const known = previous?.record.startedAt === record.startedAt ? previous : undefined;
        if (known !== undefined) {
            known.record = record;
        }
        upstreams.set(record.id, known ?? createTrackedUpstream(record));
    }
    tracker.upstreams = upstreams;
}

function createTrackedUpstream(record: UpstreamRecord): TrackedUpstream {
    return {
        record,
        load: undefined,
        ownRequests: [],
        failures: 0,
        avoidedUntil: 0,
        isReplaced: false,
        heardAt: undefined,
        refusals: undefined,
    };
}

/** Maps the ranks of a pool's group to upstream ids; if two upstreams claim a rank, the one started later wins. */
export function findRanks(tracker: UpstreamTracker, pool: string): Map<number, string> {
    const ranks = new Map<number, string>();
    for (const [id, { record }] of tracker.upstreams) {
        if (record.pool === pool && record.rank !== undefined) {
            const other = tracker.upstreams.get(ranks.get(record.rank) ?? "")?.record;
            if (other === undefined || (record.startedAt ?? 0) >= (other.startedAt ?? 0)) {
                ranks.set(record.rank, id);
            }
        }
    }
    return ranks;
}

/** Updates the load of an upstream; a load that is not newer than the known one is ignored. */
export function updateLoad(tracker: UpstreamTracker, id: string, load: UpstreamLoad): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined && (upstream.load === undefined || upstream.load.observedAt < load.observedAt)) {
        upstream.load = load;
    }
}

/** Updates the loads of a pool's ranks from a heartbeat of the group's leader, which was sent at `sentAt`, in milliseconds. */
export function updateRankLoads(tracker: UpstreamTracker, pool: string, loads: RankLoad[], sentAt: number): void {
    const upstreamIdsByRank = findRanks(tracker, pool);
    for (const { rank, running, waiting, ageMs } of loads) {
        const id = upstreamIdsByRank.get(rank);
        if (id !== undefined) {
            const observedAt = sentAt - ageMs;
            updateLoad(tracker, id, { running, waiting, observedAt });
            recordSignOfLife(tracker.upstreams.get(id)!, observedAt);
        }
    }
    recordGroupReport(tracker, pool);
}

/** Records a request as sent; the returned function records its end. */
export function recordSent(tracker: UpstreamTracker, id: string, now: number): (endedAt: number) => void {
    const upstream = tracker.upstreams.get(id);
    const request: OwnRequest = { sentAt: now, endedAt: undefined };
    if (upstream !== undefined) {
        upstream.ownRequests = upstream.ownRequests.filter(({ endedAt }) =>
            endedAt === undefined || endedAt > now - ownHistoryMs
        );
        upstream.ownRequests.push(request);
    }
    return endedAt => request.endedAt = endedAt;
}

/** Records that an upstream responded and resets its failures. */
export function recordResponse(tracker: UpstreamTracker, id: string): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.failures = 0;
        upstream.avoidedUntil = 0;
    }
}

/** Records a failed request; the upstream is avoided for a time that doubles with each consecutive failure. */
export function recordFailure(tracker: UpstreamTracker, id: string, now: number): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.avoidedUntil = now + Math.min(maxAvoidMs, minAvoidMs * 2 ** upstream.failures);
        upstream.failures += 1;
    }
}

/** Records that an upstream has refused a connection, after which it is not tried for some time. */
export function recordRefusedConnection(tracker: UpstreamTracker, id: string, now: number): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.refusals = addRefusal(upstream.refusals, now);
        isPoolRefusing(tracker, upstream.record.pool, now);
    }
}

/** Records that an upstream has accepted a connection. */
export function recordConnection(tracker: UpstreamTracker, id: string, now: number): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.refusals = undefined;
        updateOutage(getOutages(tracker, upstream.record.pool), false, now);
    }
}

/**
 * Whether all upstreams of a pool refuse connections, so that none is to be tried now. Not if one has been replaced: the
 * list will soon have its successor.
 */
export function isPoolRefusing(tracker: UpstreamTracker, pool: string, now: number): boolean {
    const listed = [...tracker.upstreams.values()].filter(({ record }) => record.pool === pool && !record.isLeaving);
    const isRefusing = listed.length > 0 &&
        listed.every(upstream => !upstream.isReplaced && isPausing(upstream, now));
    if (isRefusing) {
        updateOutage(getOutages(tracker, pool), true, now);
    }
    return isRefusing;
}

/** Estimates when an upstream of a pool is back of which all upstreams refuse connections, in milliseconds from `now`. */
export function estimatePoolReturnMs(tracker: UpstreamTracker, pool: string, now: number): number {
    return isPoolRefusing(tracker, pool, now) ? estimateReturnMs(getOutages(tracker, pool), now) : 0;
}

function getOutages({ outages }: UpstreamTracker, pool: string): PoolOutages {
    const known = outages.get(pool) ?? { since: undefined, durations: [] };
    outages.set(pool, known);
    return known;
}

/**
 * Marks an upstream as replaced: another one responds at its address, although the instance list still has its record.
 */
export function markReplaced(tracker: UpstreamTracker, id: string): void {
    const upstream = tracker.upstreams.get(id);
    if (upstream !== undefined) {
        upstream.isReplaced = true;
    }
}

/** Whether a request may be sent to an upstream with regard to the rate limit that it names. */
export const UpstreamAdmission = {
    unlimited: "unlimited",
    /** The upstream is limited, and this entry holds a permit. */
    permitted: "permitted",
    /** The upstream is limited, and this entry holds no permit. */
    limited: "limited",
} as const;
export type UpstreamAdmission = (typeof UpstreamAdmission)[keyof typeof UpstreamAdmission];

/**
 * Lists the upstreams of a pool for requests: none that has just refused a connection, and those that are silent or avoided
 * only if there are no others.
 */
export function listCandidates(
    tracker: UpstreamTracker,
    pool: string,
    now: number,
    excluded: ReadonlySet<string> = new Set(),
): TrackedUpstream[] {
    const available = listServing(tracker, pool).filter(upstream =>
        getAvailability(tracker.notices, upstream.record, now) === UpstreamAvailability.available &&
        !isPausing(upstream, now)
    );
    const usable = filterHeard(tracker, available).filter(({ record }) => !excluded.has(record.id));
    return filterReachable(usable, now);
}

/** When a request arrived and for how long upstreams that leave take requests, in milliseconds. */
export interface LeavingOptions {
    receivedAt: number;
    /** Time for which requests may still be sent by callers after an upstream has said that it leaves. */
    drainMs: number;
}

/**
 * Lists the upstreams of a pool that have said that they leave and may still take a request, for a pool without other
 * candidates.
 */
export function listLeavingCandidates(
    tracker: UpstreamTracker,
    pool: string,
    now: number,
    options: LeavingOptions,
): TrackedUpstream[] {
    const usable = listServing(tracker, pool).filter(({ record }) =>
        getAvailability(tracker.notices, record, now) === UpstreamAvailability.leaving &&
        isWithinDrain(tracker, record, options)
    );
    return filterReachable(filterHeard(tracker, usable), now);
}

/**
 * Estimates the earliest time at which an upstream of the pool takes a request, with regard to what the upstreams say of
 * themselves, in milliseconds: `now` if one does or none is listed, Infinity if all of them leave.
 */
export function estimateSendableAt(
    tracker: UpstreamTracker,
    pool: string,
    now: number,
    options: LeavingOptions,
): number {
    if (tracker.notices.notices.size === 0) {
        return now;
    }
    const serving = listServing(tracker, pool);
    const times = serving.map(({ record }) => {
        const notice = findNotice(tracker.notices, record);
        if (notice === undefined) {
            return now;
        }
        const isOver = notice.leavingAt !== undefined && !isWithinDrain(tracker, record, options);
        return isOver ? Infinity : getSendableAt(notice, now);
    });
    return times.length === 0 ? now : Math.min(...times);
}

function isWithinDrain({ notices }: UpstreamTracker, record: UpstreamRecord, options: LeavingOptions): boolean {
    const { leavingAt } = findNotice(notices, record) ?? {};
    return leavingAt === undefined || options.receivedAt <= leavingAt + options.drainMs;
}

/** Lists the upstreams of a pool that serve according to the instance list. */
function listServing(tracker: UpstreamTracker, pool: string): TrackedUpstream[] {
    return [...tracker.upstreams.values()].filter(({ record, isReplaced }) =>
        record.pool === pool && !record.isLeaving && !isReplaced
    );
}

function filterHeard(tracker: UpstreamTracker, usable: TrackedUpstream[]): TrackedUpstream[] {
    const heard = usable.filter(upstream => !isSilent(tracker, upstream));
    return heard.length > 0 ? heard : usable;
}

function filterReachable(usable: TrackedUpstream[], now: number): TrackedUpstream[] {
    const reachable = usable.filter(({ avoidedUntil }) => avoidedUntil <= now);
    return reachable.length > 0 ? reachable : usable;
}

/** Counts this entry's requests in flight at an upstream. */
export function countOwnRequests(upstream: TrackedUpstream): number {
    return upstream.ownRequests.reduce((count, { endedAt }) => count + Number(endedAt === undefined), 0);
}

/** Estimates the running and waiting requests of an upstream from its load and this entry's requests since. */
export function estimateRequests(upstream: TrackedUpstream, now: number): number {
    const { load, ownRequests } = upstream;
    if (load === undefined || now - load.observedAt > maxLoadAgeMs) {
        return countOwnRequests(upstream);
    }
    const ownSince = ownRequests.reduce((sum, { sentAt, endedAt }) => {
        const isCounted = sentAt <= load.observedAt;
        const hasEnded = endedAt !== undefined && endedAt > load.observedAt;
        return sum + (isCounted ? -Number(hasEnded) : Number(endedAt === undefined));
    }, 0);
    return Math.max(countOwnRequests(upstream), load.running + load.waiting + ownSince);
}
