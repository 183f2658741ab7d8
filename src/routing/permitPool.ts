/**
 * Divides the rates of limited upstreams among the entries. Each of N entries owns an N-th of every rate and lends it to one
 * coordinator at a time, which pools the shares of the entries enrolled with it and grants them as permits, one for each
 * request. So the sum over all coordinators and entries never exceeds the rate, however the entries are cut off from one
 * another, and it is used in full wherever the requests come in.
 */
import { computeBucketCapacity, type RateBucket, updateBucket } from "./rateBucket.js";
import { computeAllowedRate, type RateLimit } from "./rateLimitTable.js";

/** Time for which a coordinator counts an entry's share after the entry's last request, in milliseconds. */
export const enrolmentMs = 600;
/** Time from an entry's request until the permits granted for it expire, in milliseconds. */
export const permitLifetimeMs = 400;
/** Number of entries assumed until their number is known. */
export const assumedEntryCount = 128;
/** Time after the start after which the entries seen are all that there are, in milliseconds; several heartbeats of each. */
const countingMs = 3000;
/** Time for which an entry counts after it was last seen, in milliseconds; longer than it takes to restart. */
const memberLifetimeMs = 30_000;
/** The same time while a seed is out of reach: other entries may live on its side of a cut, and use their shares. */
const memberLifetimeInCutMs = 600_000;
/** Time without a message of a seed after which it is out of reach, in milliseconds; many heartbeats. */
const seedSilenceMs = 10_000;
/** Time for which the demand of an entry counts, in milliseconds; waiting entries repeat it more often. */
const demandLifetimeMs = 300;
/** Requests of one pool that wait at an entry. */
export interface PoolDemand {
    pool: string;
    /** New requests per second, including rejected ones. */
    arrivalsPerSecond: number;
    /** Numbers of permits that are wanted, by rank; lower ranks are more urgent. */
    wanted: { rank: number; count: number; }[];
}

export interface PermitRequest {
    /** Host of the entry. */
    from: string;
    /** Start of the entry's process, and time of the request, in milliseconds of the entry's clock. */
    startedAt: number;
    sentAt: number;
    demands: PoolDemand[];
    /** Unused permits, by upstream. */
    returned: Record<string, number>;
    /** Number of entries as another coordinator has told it. */
    entryCount?: number;
}

export interface PermitGrant {
    /** Permits by upstream. */
    permits: Record<string, number>;
    /** Undefined while the coordinator does not know it: an assumed number must not be passed on as a known one. */
    entryCount?: number;
    /** Rates that are granted, and requests that arrive, per second and pool. */
    pools: Record<string, { rate: number; arrivals: number; }>;
}

interface Member {
    seenAt: number;
    enrolledUntil: number;
    startedAt: number;
    lastSentAt: number;
    demands: PoolDemand[];
    demandedAt: number;
}

export interface PermitPool {
    createdAt: number;
    members: Map<string, Member>;
    /** Hosts of the other seeds. */
    seeds: string[];
    buckets: Map<string, RateBucket>;
    /** Highest number of entries that another coordinator has counted, and when it was reported. */
    reported: { count: number; at: number; };
}

/** Creates a pool without members. */
export function createPermitPool(now: number): PermitPool {
    return { createdAt: now, members: new Map(), seeds: [], buckets: new Map(), reported: { count: 0, at: -Infinity } };
}

/** Records that an entry was seen, whether or not it is enrolled. */
export function recordMember(pool: PermitPool, host: string, now: number): void {
    getMember(pool, host).seenAt = now;
}

function getMember({ members }: PermitPool, host: string): Member {
    const member = members.get(host) ?? {
        seenAt: -Infinity,
        enrolledUntil: -Infinity,
        startedAt: 0,
        lastSentAt: -Infinity,
        demands: [],
        demandedAt: -Infinity,
    };
    members.set(host, member);
    return member;
}

/** Counts the entries that share the rates; undefined until they can be known. */
export function countKnownEntries(pool: PermitPool, now: number): number | undefined {
    const { members, seeds, reported, createdAt } = pool;
    const isSilent = (host: string) => now - (members.get(host)?.seenAt ?? -Infinity) > seedSilenceMs;
    const lifetimeMs = seeds.some(isSilent) ? memberLifetimeInCutMs : memberLifetimeMs;
    for (const [host, { seenAt }] of members) {
        if (now - seenAt > lifetimeMs) {
            members.delete(host);
        }
    }
    const known = now - reported.at > lifetimeMs ? 0 : reported.count;
    const isUnknown = now - createdAt < countingMs || (seeds.length > 0 && seeds.every(host => !members.has(host)));
    return isUnknown && known === 0 ? undefined : Math.max(1, members.size, known);
}

/** Counts the entries that share the rates, or assumes a number until they can be known. */
function countEntries(pool: PermitPool, now: number): number {
    return countKnownEntries(pool, now) ?? Math.max(assumedEntryCount, pool.members.size);
}

/** Ends the enrolment of an entry that has chosen another coordinator. */
export function releaseMember(pool: PermitPool, host: string, limits: RateLimit[], now: number): void {
    updateBuckets(pool, limits, now);
    getMember(pool, host).enrolledUntil = now;
}

/**
 * Enrols an entry and grants it permits for upstreams in `limits`, the more urgent first. Returns undefined if the request
 * is a late copy of an earlier one.
 */
export function allocatePermits(
    pool: PermitPool,
    request: PermitRequest,
    limits: RateLimit[],
    now: number,
): PermitGrant | undefined {
    const member = getMember(pool, request.from);
    member.seenAt = now;
    if (member.startedAt === request.startedAt && request.sentAt <= member.lastSentAt) {
        return undefined;
    }
    // The rates up to now are those of the entries that were enrolled until now.
    updateBuckets(pool, limits, now);
    Object.assign(member, {
        enrolledUntil: now + enrolmentMs,
        startedAt: request.startedAt,
        lastSentAt: request.sentAt,
        demands: request.demands,
        demandedAt: now,
    });
    if ((request.entryCount ?? 0) >= pool.reported.count || now - pool.reported.at > memberLifetimeMs) {
        pool.reported = { count: request.entryCount ?? 0, at: now };
    }
    takeBack(pool, request.returned, limits, now);
    const share = computeShare(pool, now);
    const grant: PermitGrant = { permits: {}, entryCount: countKnownEntries(pool, now), pools: {} };
    for (const demand of request.demands) {
        const poolLimits = limits.filter(limit => limit.pool === demand.pool);
        for (const wanted of [...demand.wanted].sort((a, b) => a.rank - b.rank)) {
            const reserved = countMoreUrgent(pool, request.from, demand.pool, wanted.rank, now);
            takePermits(pool, poolLimits, wanted, reserved, grant.permits);
        }
        const rate = share * sumRates(poolLimits, now);
        grant.pools[demand.pool] = { rate, arrivals: sumArrivals(pool, demand.pool, now) };
    }
    return grant;
}

/** Computes the share of the rates that the enrolled entries have lent. */
function computeShare(pool: PermitPool, now: number): number {
    const enrolled = [...pool.members.values()].filter(({ enrolledUntil }) => enrolledUntil > now).length;
    return Math.min(1, enrolled / countEntries(pool, now));
}

function updateBuckets(pool: PermitPool, limits: RateLimit[], now: number): void {
    const share = computeShare(pool, now);
    const buckets = new Map<string, RateBucket>();
    for (const limit of limits) {
        const rate = share * (computeAllowedRate(limit, now) ?? 0);
        const bucket = pool.buckets.get(limit.upstream) ?? { permits: 0, refilledAt: now };
        updateBucket(bucket, rate, now);
        buckets.set(limit.upstream, bucket);
    }
    pool.buckets = buckets;
}

function takeBack({ buckets }: PermitPool, returned: Record<string, number>, limits: RateLimit[], now: number): void {
    for (const limit of limits) {
        const bucket = buckets.get(limit.upstream);
        const capacity = computeBucketCapacity(computeAllowedRate(limit, now) ?? 0);
        if (bucket !== undefined) {
            bucket.permits = Math.min(capacity, bucket.permits + Math.max(0, returned[limit.upstream] ?? 0));
        }
    }
}

/** Counts the permits that other entries want for more urgent requests. */
function countMoreUrgent({ members }: PermitPool, host: string, poolName: string, rank: number, now: number): number {
    let count = 0;
    for (const [other, { demands, demandedAt }] of members) {
        if (other !== host && now - demandedAt <= demandLifetimeMs) {
            const wanted = demands.filter(demand => demand.pool === poolName).flatMap(demand => demand.wanted);
            count += wanted.reduce((sum, known) => sum + (known.rank < rank ? known.count : 0), 0);
        }
    }
    return count;
}

/** Takes permits from the fullest buckets, except `reserved` ones, and adds them to `permits`. */
function takePermits(
    { buckets }: PermitPool,
    limits: RateLimit[],
    wanted: { count: number; },
    reserved: number,
    permits: Record<string, number>,
): void {
    const available = limits.map(({ upstream }) => ({ upstream, bucket: buckets.get(upstream)! }));
    const total = available.reduce((sum, { bucket }) => sum + Math.floor(bucket.permits), 0);
    for (let left = Math.min(wanted.count, total - reserved); left > 0; left--) {
        const fullest = available.reduce((best, other) => other.bucket.permits > best.bucket.permits ? other : best);
        fullest.bucket.permits -= 1;
        wanted.count -= 1;
        permits[fullest.upstream] = (permits[fullest.upstream] ?? 0) + 1;
    }
}

function sumRates(limits: RateLimit[], now: number): number {
    return limits.reduce((sum, limit) => sum + (computeAllowedRate(limit, now) ?? 0), 0);
}

function sumArrivals({ members }: PermitPool, poolName: string, now: number): number {
    let arrivals = 0;
    for (const { demands, enrolledUntil } of members.values()) {
        const demand = demands.find(known => known.pool === poolName);
        arrivals += enrolledUntil > now ? demand?.arrivalsPerSecond ?? 0 : 0;
    }
    return arrivals;
}
