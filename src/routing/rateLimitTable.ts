/**
 * What an entry knows of the rate limits that upstreams name in their responses, from its own responses and from other
 * entries. A limit does not expire by itself: it ends when the upstream responds without it, and is then lifted gradually.
 */

/** Rate limit of one incarnation of an upstream; times are in milliseconds of this process's clock. */
export interface RateLimit {
    upstream: string;
    /** Start of the incarnation, Unix time in milliseconds. */
    startedAt: number | undefined;
    pool: string;
    /** Requests per second that the upstream accepts from all entries together. */
    requestsPerSecond: number;
    /** Time of the latest response that named the limit. */
    namedAt: number;
    /** Time of the first response after it that named no limit; undefined while all of them do. */
    unnamedAt: number | undefined;
    /** Host of the entry that received the response. */
    source: string;
    /** Version of the table at the latest change that other entries need to know. */
    version: number;
}

export interface RateLimitTable {
    limits: Map<string, RateLimit>;
    /** Increases with each change that other entries need to know. */
    version: number;
}

/** Response of an upstream with regard to its rate limit. */
export interface RateLimitObservation {
    upstream: string;
    startedAt: number | undefined;
    pool: string;
    /** Undefined if the response names no limit. */
    requestsPerSecond: number | undefined;
    observedAt: number;
    source: string;
}

/** Lowest rate at which a limited upstream is used, in requests per second; without requests nothing tells that a limit has ended. */
const minRequestsPerSecond = 0.5;
/** Time without a response that names the limit after which it has ended, in milliseconds; some responses may lack it. */
const endConfirmationMs = 1000;
/** Time in which the rate doubles after the end of a limit, and after which it is lifted, in milliseconds. */
const rampDoublingMs = 250;
const rampMs = 1500;
/** Lowest rate from which a limit that has ended is lifted, in requests per second. */
const minRampRate = 1;
/** Time for which ended limits are kept, in milliseconds, so that late reports of other entries do not restore them. */
const endedRetentionMs = 30_000;

/** Creates an empty table. */
export function createRateLimitTable(): RateLimitTable {
    return { limits: new Map(), version: 0 };
}

/** Applies an observation; returns whether the limit was named for the first time, has changed, begins to end or goes on. */
export function observeRateLimit(table: RateLimitTable, observation: RateLimitObservation): boolean {
    const { upstream, startedAt, observedAt, requestsPerSecond } = observation;
    const known = table.limits.get(upstream);
    const isSameIncarnation = known !== undefined && known.startedAt === startedAt;
    if (known !== undefined && (startedAt ?? 0) < (known.startedAt ?? 0)) {
        return false;
    }
    if (requestsPerSecond === undefined) {
        if (!isSameIncarnation || observedAt <= known.namedAt || (known.unnamedAt ?? Infinity) <= observedAt) {
            return false;
        }
        const isBeginning = known.unnamedAt === undefined;
        known.unnamedAt = observedAt;
        return isBeginning && recordChange(table, known);
    }
    if (isSameIncarnation && observedAt <= known.namedAt) {
        return false;
    }
    const { pool, source } = observation;
    const isUnchanged = isSameIncarnation && known.requestsPerSecond === requestsPerSecond &&
        (known.unnamedAt === undefined || known.unnamedAt >= observedAt);
    const unnamedAt = isSameIncarnation && (known.unnamedAt ?? -Infinity) > observedAt ? known.unnamedAt : undefined;
    const limit: RateLimit = {
        upstream,
        startedAt,
        pool,
        requestsPerSecond,
        namedAt: observedAt,
        unnamedAt,
        source,
        version: known?.version ?? 0,
    };
    table.limits.set(upstream, limit);
    return !isUnchanged && recordChange(table, limit);
}

function recordChange(table: RateLimitTable, limit: RateLimit): true {
    table.version += 1;
    limit.version = table.version;
    return true;
}

/** Lists at most `count` limits that have changed since a version of the table, and the version that they lead to. */
export function listLimitsSince(
    table: RateLimitTable,
    since: number,
    count: number,
): { limits: RateLimit[]; version: number; } {
    const changed = [...table.limits.values()].filter(limit => limit.version > since);
    const limits = changed.sort((a, b) => a.version - b.version).slice(0, count);
    return { limits, version: limits.length < changed.length ? limits.at(-1)!.version : table.version };
}

/** Removes limits that ended long ago, and those of upstreams that are not listed any more. */
export function removeEndedLimits(table: RateLimitTable, isListed: (upstream: string) => boolean, now: number): void {
    for (const [upstream, { namedAt, unnamedAt }] of table.limits) {
        const lastUsedAt = unnamedAt ?? (isListed(upstream) ? now : namedAt);
        if (now - lastUsedAt > endedRetentionMs) {
            table.limits.delete(upstream);
        }
    }
}

/** Computes the rate that a limit allows at `now`, in requests per second; undefined once it has been lifted. */
export function computeAllowedRate({ requestsPerSecond, unnamedAt }: RateLimit, now: number): number | undefined {
    const rate = Math.max(requestsPerSecond, minRequestsPerSecond);
    const sinceEndMs = unnamedAt === undefined ? -Infinity : now - unnamedAt - endConfirmationMs;
    if (sinceEndMs > rampMs) {
        return undefined;
    }
    return sinceEndMs < 0 ? rate : Math.max(rate, minRampRate) * 2 ** (sinceEndMs / rampDoublingMs);
}
