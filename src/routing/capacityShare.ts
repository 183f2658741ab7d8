/**
 * Divides the free capacity of a pool of upstreams among the entries as credits. When more requests wait at the entries
 * than capacity becomes free, entries without such a share would all send into the same free capacity at each heartbeat
 * of the group's leader, and most of these requests would wait at full ranks until their callers give up.
 */
import { isSilent } from "./upstreamSilence.js";
import { maxLoadAgeMs, type UpstreamTracker } from "./upstreamTracker.js";

export interface CapacityShare {
    /** Requests that may be sent before the next heartbeat. */
    credits: number;
    /** Time of the heartbeat from which the credits were computed, in milliseconds. */
    updatedAt: number;
}

/** Ratio of the credits to the free capacity; some entries do not use all of theirs. */
const overcommitFactor = 1.3;

/** Creates a share before the first heartbeat. */
export function createCapacityShare(): CapacityShare {
    return { credits: 0, updatedAt: -Infinity };
}

/** Computes how many more requests a pool can run, from the reported loads; each rank runs `concurrency` at once. */
export function computeFreeCapacity(tracker: UpstreamTracker, pool: string, concurrency: number): number {
    let free = 0;
    for (const upstream of tracker.upstreams.values()) {
        const { record, load } = upstream;
        if (record.pool === pool && !record.isLeaving && load !== undefined && !isSilent(tracker, upstream)) {
            free += Math.max(0, concurrency - load.running - load.waiting);
        }
    }
    return free;
}

/**
 * Replaces the credits by this entry's share of `free` requests among `entries`. A fraction of a credit is rounded up
 * with that probability; `random` is in [0, 1).
 */
export function updateCredits(share: CapacityShare, free: number, entries: number, now: number, random: number): void {
    share.credits = Math.floor(overcommitFactor * free / Math.max(1, entries) + random);
    share.updatedAt = now;
}

/**
 * Takes a credit and returns whether the request may be sent; always true without a recent heartbeat.
 */
export function takeCredit(share: CapacityShare, now: number): boolean {
    if (now - share.updatedAt > maxLoadAgeMs) {
        return true;
    }
    share.credits -= 1;
    return share.credits >= 0;
}
