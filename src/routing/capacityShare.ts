/**
 * An entry's share of the places that are free at a pool. Answers the load pattern in which more requests wait at all
 * entries than places come free: without shares, every entry sends into the same few places at each vector, and most of
 * these requests wait at full ranks until their callers leave.
 */
import { maxLoadAgeMs, type UpstreamTracker } from "./upstreamTracker.js";

export interface CapacityShare {
    /** Requests that may be sent before the next figures. */
    credits: number;
    /** Time of the figures that the credits stand on, in milliseconds. */
    updatedAt: number;
}

/** Part that is given out beyond the free places; some entries do not use theirs. */
const overcommitFactor = 1.3;

/** Creates a share that has heard of no free places. */
export function createCapacityShare(): CapacityShare {
    return { credits: 0, updatedAt: -Infinity };
}

/** Counts the free places of a pool whose ranks have `slots` places each, by the shared figures. */
export function computeFreeCapacity(board: UpstreamTracker, pool: string, concurrency: number): number {
    let free = 0;
    for (const { record, load: figures } of board.upstreams.values()) {
        if (record.pool === pool && !record.isLeaving && figures !== undefined) {
            free += Math.max(0, concurrency - figures.running - figures.waiting);
        }
    }
    return free;
}

/** Takes in new figures: `free` places for all `entries`; a part of a place is a chance of one. `random` is in [0, 1). */
export function updateCredits(share: CapacityShare, free: number, entries: number, now: number, random: number): void {
    share.credits = Math.floor(overcommitFactor * free / Math.max(1, entries) + random);
    share.updatedAt = now;
}

/** Takes a place of the share; always granted while no figures are heard. */
export function takeCredit(share: CapacityShare, now: number): boolean {
    if (now - share.updatedAt > maxLoadAgeMs) {
        return true;
    }
    share.credits -= 1;
    return share.credits >= 0;
}
