/**
 * Permits of one entry to send requests to limited upstreams. The entry enrols with one coordinator at a time, the first seed
 * that responds, and uses the permits that it grants. While it is enrolled with none, it uses its own share of each rate.
 * See `permitPool.ts` for why the sum over all entries holds.
 */
import { assumedEntryCount, enrolmentMs, type PermitGrant, permitLifetimeMs } from "./permitPool.js";
import { computeAllowedRate, type RateLimit } from "./rateLimitTable.js";

interface HeldPermits {
    count: number;
    expiresAt: number;
}

/** Permits of the entry's own share: one at each multiple of the interval, which expires unless it is used soon. */
interface OwnShare {
    ratePerSecond: number;
    /** Time of the first permit, in milliseconds; random, so that entries do not send at the same time. */
    firstAt: number;
    /** Number of the last permit that was used. */
    lastUsed: number;
}

export interface PermitHolder {
    /** Host of this entry. */
    self: string;
    /** Hosts of the seeds, in the order in which all entries prefer them. */
    seeds: string[];
    random: () => number;
    held: Map<string, HeldPermits[]>;
    ownShares: Map<string, OwnShare>;
    /** Coordinator with which the entry is enrolled. */
    coordinator: string | undefined;
    /** Time of the last request to a coordinator, in milliseconds. */
    lastRequestAt: number;
    /** Coordinator that may still count this entry's share. */
    previous: string | undefined;
    /** Time of the first request that the coordinator has not answered, in milliseconds. */
    unansweredSince: number | undefined;
    /** Seeds that did not respond, until they respond to a probe. */
    unresponsive: Set<string>;
    lastProbeAt: number;
    /** Number of entries, and the coordinator that told it. */
    entryCount: { count: number; source: string; } | undefined;
}

export const PermitRequestKind = {
    /** Enrols the entry, or renews its enrolment, and asks for permits. */
    enrol: "enrol",
    /** Ends the enrolment. */
    release: "release",
    /** Asks only whether a seed that did not respond responds again. */
    probe: "probe",
} as const;
export type PermitRequestKind = (typeof PermitRequestKind)[keyof typeof PermitRequestKind];

export interface DueRequest {
    to: string;
    purpose: PermitRequestKind;
}

/** Time without a response after which a coordinator counts as unresponsive, in milliseconds. */
const responseTimeoutMs = 400;
/** Interval of the probes of unresponsive seeds, in milliseconds. */
const probeIntervalMs = 1000;
/** Interval of the requests that only keep the entry enrolled, in milliseconds. */
const renewalIntervalMs = 150;
/** Time for which a request may be under way to a coordinator that did not respond, in milliseconds. */
const maxTransitMs = 300;
/** Remaining lifetime from which unused permits are returned, in milliseconds; one interval of the requests. */
const returnedLifetimeMs = renewalIntervalMs;

/** Creates the state of an entry that is not enrolled. */
export function createPermitHolder(self: string, random: () => number): PermitHolder {
    return {
        self,
        seeds: [],
        random,
        held: new Map(),
        ownShares: new Map(),
        coordinator: undefined,
        lastRequestAt: -Infinity,
        previous: undefined,
        unansweredSince: undefined,
        unresponsive: new Set(),
        lastProbeAt: -Infinity,
        entryCount: undefined,
    };
}

/** Replaces the seeds. */
export function setSeeds(holder: PermitHolder, hosts: string[]): void {
    holder.seeds = [...new Set(hosts)].sort();
}

/** Lists the requests to send at `now`; `isUrgent` is whether requests wait for permits. */
export function listDueRequests(holder: PermitHolder, isUrgent: boolean, now: number): DueRequest[] {
    const due = releaseCoordinator(holder, now);
    if (holder.coordinator === undefined && hasLeft(holder, now)) {
        holder.coordinator = findPreferred(holder);
        holder.previous = undefined;
    }
    const { coordinator } = holder;
    if (coordinator !== undefined && (isUrgent || now - holder.lastRequestAt >= renewalIntervalMs)) {
        due.push({ to: coordinator, purpose: PermitRequestKind.enrol });
        holder.lastRequestAt = now;
        holder.unansweredSince ??= now;
    }
    if (now - holder.lastProbeAt >= probeIntervalMs && holder.unresponsive.size > 0) {
        holder.lastProbeAt = now;
        due.push(...[...holder.unresponsive].map(to => ({ to, purpose: PermitRequestKind.probe })));
    }
    return due;
}

/** Leaves the coordinator if it does not respond, is no seed any more, or a preferred one responds again. */
function releaseCoordinator(holder: PermitHolder, now: number): DueRequest[] {
    const { coordinator, unansweredSince } = holder;
    holder.unresponsive.forEach(host => !holder.seeds.includes(host) && holder.unresponsive.delete(host));
    if (coordinator !== undefined && unansweredSince !== undefined && now - unansweredSince > responseTimeoutMs) {
        holder.unresponsive.add(coordinator);
    }
    if (coordinator === undefined || findPreferred(holder) === coordinator) {
        return [];
    }
    holder.previous = coordinator;
    holder.coordinator = undefined;
    holder.unansweredSince = undefined;
    return [{ to: coordinator, purpose: PermitRequestKind.release }];
}

function findPreferred({ seeds, unresponsive }: PermitHolder): string | undefined {
    return seeds.find(host => !unresponsive.has(host));
}

/** Whether no coordinator counts this entry's share any more. */
function hasLeft({ coordinator, previous, lastRequestAt }: PermitHolder, now: number): boolean {
    const isForgotten = previous === undefined || now - lastRequestAt > enrolmentMs + maxTransitMs;
    return coordinator === undefined && isForgotten;
}

/** Records that a coordinator has ended the enrolment. */
export function recordRelease(holder: PermitHolder, from: string): void {
    if (holder.previous === from) {
        holder.previous = undefined;
    }
}

/** Records a response of a seed to a probe. */
export function recordProbeResponse(holder: PermitHolder, from: string): void {
    holder.unresponsive.delete(from);
}

/** Applies the response of a coordinator to the request that was sent at `sentAt`. */
export function applyGrant(holder: PermitHolder, from: string, sentAt: number, grant: PermitGrant, now: number): void {
    if (holder.coordinator !== from) {
        return;
    }
    holder.unansweredSince = holder.lastRequestAt > sentAt ? holder.lastRequestAt : undefined;
    holder.entryCount = grant.entryCount === undefined ? holder.entryCount : { count: grant.entryCount, source: from };
    const expiresAt = sentAt + permitLifetimeMs;
    if (expiresAt > now) {
        for (const [upstream, count] of Object.entries(grant.permits)) {
            holder.held.set(upstream, [...listHeld(holder, upstream, now), { count, expiresAt }]);
        }
    }
}

/** Returns the number of entries to report to `coordinator`, which does not count what it has told itself. */
export function getReportedEntryCount({ entryCount }: PermitHolder, coordinator: string): number | undefined {
    return entryCount?.source === coordinator ? undefined : entryCount?.count;
}

function listHeld({ held }: PermitHolder, upstream: string, now: number): HeldPermits[] {
    return (held.get(upstream) ?? []).filter(({ count, expiresAt }) => count > 0 && expiresAt > now);
}

/** Whether a request may be sent to the limited upstream. */
export function hasPermit(holder: PermitHolder, limit: RateLimit, now: number): boolean {
    return listHeld(holder, limit.upstream, now).length > 0 || findOwnPermit(holder, limit, now) !== undefined;
}

/** Uses a permit for the limited upstream; returns whether there was one. */
export function takePermit(holder: PermitHolder, limit: RateLimit, now: number): boolean {
    const held = listHeld(holder, limit.upstream, now);
    holder.held.set(limit.upstream, held);
    if (held.length > 0) {
        held[0].count -= 1;
        return true;
    }
    const own = findOwnPermit(holder, limit, now);
    if (own === undefined) {
        return false;
    }
    own.share.lastUsed = own.number;
    return true;
}

/** Finds the oldest permit of the own share that is not used or expired; undefined while the share is lent. */
function findOwnPermit(
    holder: PermitHolder,
    limit: RateLimit,
    now: number,
): { share: OwnShare; number: number; } | undefined {
    const ratePerSecond = computeOwnRate(holder, limit, now);
    if (!hasLeft(holder, now) || ratePerSecond === 0) {
        return undefined;
    }
    const intervalMs = 1000 / ratePerSecond;
    const share = getOwnShare(holder, limit.upstream, ratePerSecond, now);
    const latest = Math.floor((now - share.firstAt) / intervalMs);
    const oldest = Math.ceil((now - permitLifetimeMs - share.firstAt) / intervalMs);
    const number = Math.max(oldest, share.lastUsed + 1, 0);
    return number <= latest ? { share, number } : undefined;
}

/** Returns the permits of the own share; when the rate has changed, the wait for the next one changes in proportion. */
function getOwnShare(holder: PermitHolder, upstream: string, ratePerSecond: number, now: number): OwnShare {
    const known = holder.ownShares.get(upstream);
    if (known?.ratePerSecond === ratePerSecond) {
        return known;
    }
    const passed = known === undefined ? holder.random() : (now - known.firstAt) * known.ratePerSecond / 1000;
    const fraction = Math.ceil(passed) - passed;
    const share = { ratePerSecond, firstAt: now + fraction * 1000 / ratePerSecond, lastUsed: -1 };
    holder.ownShares.set(upstream, share);
    return share;
}

/** Computes this entry's own share of a rate, in requests per second. */
export function computeOwnRate({ entryCount }: PermitHolder, limit: RateLimit, now: number): number {
    return (computeAllowedRate(limit, now) ?? 0) / (entryCount?.count ?? assumedEntryCount);
}

/** Removes the permits that would expire before they are likely to be used, and returns their numbers by upstream. */
export function takeUnusedPermits(holder: PermitHolder, now: number): Record<string, number> {
    const returned: Record<string, number> = {};
    for (const upstream of holder.held.keys()) {
        const held = listHeld(holder, upstream, now);
        const isKept = ({ expiresAt }: HeldPermits) => expiresAt - now > returnedLifetimeMs;
        const count = held.filter(permits => !isKept(permits)).reduce((sum, permits) => sum + permits.count, 0);
        holder.held.set(upstream, held.filter(isKept));
        if (count > 0) {
            returned[upstream] = count;
        }
    }
    return returned;
}

/** Reduces the permits held for an upstream whose limit has fallen from `before` to `after` requests per second. */
export function shrinkPermits(holder: PermitHolder, upstream: string, before: number, after: number): void {
    if (after < before) {
        for (const held of holder.held.get(upstream) ?? []) {
            held.count = Math.floor(held.count * after / before);
        }
    }
}
