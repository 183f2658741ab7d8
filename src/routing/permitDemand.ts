/** Measures how many permits an entry needs for the limited upstreams of one pool. */
import type { PendingRequest } from "./pendingQueue.js";

export interface DemandMeter {
    /** Moving averages of the new requests per second, including rejected ones, by urgency. */
    arrivalsPerSecond: Map<number, number>;
    updatedAt: number;
    /** Requests since permits were last requested. */
    newArrivals: number;
}

/** Time over which arrivals are averaged, in milliseconds. */
const averagingMs = 2000;
/** Rank of permits that are requested ahead; waiting requests have their urgency as rank. */
const lowestRank = 1000;
/** Maximum number of permits that are requested for one rank. */
const maxWanted = 256;

/** Creates a meter without arrivals. */
export function createDemandMeter(now: number): DemandMeter {
    return { arrivalsPerSecond: new Map(), updatedAt: now, newArrivals: 0 };
}

/** Records a new request; lower urgencies are more urgent. */
export function recordArrival(meter: DemandMeter, urgency: number, now: number): void {
    decayArrivals(meter, now);
    meter.arrivalsPerSecond.set(urgency, (meter.arrivalsPerSecond.get(urgency) ?? 0) + 1000 / averagingMs);
    meter.newArrivals += 1;
}

function decayArrivals(meter: DemandMeter, now: number): void {
    const factor = Math.exp((meter.updatedAt - now) / averagingMs);
    meter.arrivalsPerSecond.forEach((rate, urgency) => meter.arrivalsPerSecond.set(urgency, rate * factor));
    meter.updatedAt = now;
}

/** Sums the arrivals per second of requests that are more urgent than `urgency`; of all requests without it. */
export function sumArrivals(meter: DemandMeter, now: number, urgency = Infinity): number {
    decayArrivals(meter, now);
    let sum = 0;
    meter.arrivalsPerSecond.forEach((rate, other) => sum += other < urgency ? rate : 0);
    return sum;
}

/**
 * Computes the permits that are needed: for the requests that wait and, while other upstreams take requests without permits,
 * for the limited ones' share of the next requests, less the `held` ones. `random` is in [0, 1).
 */
export function computeDemand(
    meter: DemandMeter,
    waiting: PendingRequest[],
    limited: { share: number; held: number; },
    now: number,
    random: number,
): { arrivalsPerSecond: number; wanted: { rank: number; count: number; }[]; } {
    const counts = new Map<number, number>();
    for (const { urgency } of waiting) {
        counts.set(urgency, (counts.get(urgency) ?? 0) + 1);
    }
    const ahead = Math.floor(meter.newArrivals * limited.share - limited.held + random);
    if (ahead > 0) {
        counts.set(lowestRank, ahead);
    }
    meter.newArrivals = 0;
    return {
        arrivalsPerSecond: sumArrivals(meter, now),
        wanted: [...counts].map(([rank, count]) => ({ rank, count: Math.min(count, maxWanted) })),
    };
}
