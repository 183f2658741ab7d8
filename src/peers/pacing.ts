/**
 * Pacing of heartbeats within a group. The traffic of the leader (the slot that collects and sends the load of all
 * ranks) grows with the number of ranks, and on a saturated link the load that entries place requests by arrives late.
 */
import type { FeedTiming } from "./feed.js";

/** Interval between heartbeats of a rank, and between heartbeats of the leader, in milliseconds. */
export const heartbeatIntervalMs = 200;
/** One of this many leader heartbeats to the slots carries the addresses of the entries. */
export const heartbeatsPerEntryList = 10;
/** Bytes of expert loads that a leader receives per interval: a fifth of 5.6 Mbit/s, the narrowest supported link. */
const maxExpertLoadBytes = 28_000;

/** Computes the number of intervals between two expert load reports of a rank, for reports of `bytes` each. */
export function computeExpertLoadPeriod(ranks: number, bytes: number): number {
    return Math.max(1, Math.ceil(ranks * bytes / maxExpertLoadBytes));
}

/** Bytes that a leader sends at once, and the interval between bursts; together 0.6 of a link of 5.6 Mbit/s. */
const burstLimit = { bytes: 4000, intervalMs: 10 };

/**
 * Splits datagrams into bursts, each with its delay in milliseconds. Sent all at once, the datagrams that overflow the
 * link's queue are dropped, and the same receivers would miss every heartbeat of the leader.
 */
export function splitIntoBursts<T extends { bytes: Buffer; }>(datagrams: T[]): { delayMs: number; datagrams: T[]; }[] {
    const bursts: { delayMs: number; datagrams: T[]; }[] = [];
    let bytesLeft = 0;
    for (const datagram of datagrams) {
        if (bytesLeft <= 0) {
            bursts.push({ delayMs: bursts.length * burstLimit.intervalMs, datagrams: [] });
            bytesLeft = burstLimit.bytes;
        }
        bursts.at(-1)!.datagrams.push(datagram);
        bytesLeft -= datagram.bytes.length;
    }
    return bursts;
}

/** Whether a rank reports its expert loads in this interval. Ranks are staggered to keep the leader's traffic even. */
export function isExpertLoadDue(interval: number, rank: number, period: number): boolean {
    return (interval + rank) % period === 0;
}

/** Feed timing of entries without heartbeats from a leader: a document must be in force 3 s after it was accepted. */
export const entryFeedTiming: FeedTiming = { staleAfterMs: 1200, jitterMs: 800, maxCatchUpDelayMs: 500 };
/** Feed timing of slots. They may lag further: callers' requests do not pass through them, and their link is narrow. */
export const slotFeedTiming: FeedTiming = { staleAfterMs: 1200, jitterMs: 2000, maxCatchUpDelayMs: 2500 };
