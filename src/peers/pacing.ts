/**
 * How often the slots of a group tell what, so that the lead's link carries it. Answers the load pattern of a large
 * group: what one process sends and receives grows with the ranks, and a link that is full delays what entries place
 * requests by.
 */
import type { FeedTiming } from "./feed.js";

/** Time between two states of a rank, in milliseconds; also between two vectors of the lead. */
export const heartbeatIntervalMs = 200;
/** Vectors of which one holds the entries' addresses for the slots. */
export const heartbeatsPerEntryList = 10;
/** Bytes of choices that a lead gets in one interval; a fifth of a link of 5.6 Mbit/s, the narrowest of the letter. */
const maxExpertLoadBytes = 28_000;

/** Counts the intervals of which a rank tells its choices in one, when each of the ranks tells `bytes` of them. */
export function computeExpertLoadPeriod(ranks: number, bytes: number): number {
    return Math.max(1, Math.ceil(ranks * bytes / maxExpertLoadBytes));
}

/** Bytes that a lead sends at once, and the time until the next ones, in milliseconds: 0.6 of a link of 5.6 Mbit/s. */
const burstLimit = { bytes: 4000, intervalMs: 10 };

/**
 * Splits what the lead sends into bursts with their delays. A link that is offered everything at once drops what does
 * not fit into its queue, and so the same receivers would never hear the lead.
 */
export function splitIntoBursts<T extends { bytes: Buffer; }>(datagrams: T[]): { delayMs: number; datagrams: T[]; }[] {
    const bursts: { delayMs: number; datagrams: T[]; }[] = [];
    let room = 0;
    for (const datagram of datagrams) {
        if (room <= 0) {
            bursts.push({ delayMs: bursts.length * burstLimit.intervalMs, datagrams: [] });
            room = burstLimit.bytes;
        }
        bursts.at(-1)!.datagrams.push(datagram);
        room -= datagram.bytes.length;
    }
    return bursts;
}

/** Whether it is the rank's turn to tell its choices; the ranks take turns, so that the lead gets as much each time. */
export function isExpertLoadDue(interval: number, rank: number, turns: number): boolean {
    return (interval + rank) % turns === 0;
}

/** When an entry that hears no lead reads the log itself: a document has to be in force 3 s after it was accepted. */
export const entryFeedTiming: FeedTiming = { staleAfterMs: 1200, jitterMs: 800, maxCatchUpDelayMs: 500 };
/** When a slot does; it may be later, since callers' requests do not pass through it, and its link is narrow. */
export const slotFeedTiming: FeedTiming = { staleAfterMs: 1200, jitterMs: 2000, maxCatchUpDelayMs: 2500 };
