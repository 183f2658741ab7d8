/**
 * Upstreams that refuse connections: they are tried again after a growing pause only, and a pool of which all upstreams refuse
 * serves nothing until one of them is back.
 */

/** Refused connections of one upstream since it last accepted one. */
export interface ConnectionRefusals {
    count: number;
    /** Time of the latest refusal, in milliseconds. */
    refusedAt: number;
}

/** Outages of one pool in which all of its upstreams refused connections; times are in milliseconds. */
export interface PoolOutages {
    /** Start of the outage that lasts; undefined if there is none. */
    since: number | undefined;
    /** Durations of the latest outages, oldest first. */
    durations: number[];
}

/** Pause after one refused connection, in milliseconds; doubles with each further one. */
const minPauseMs = 100;
/** Upper bound of the pause, in milliseconds. */
const maxPauseMs = 800;
/** Number of outages from which the end of the next one is estimated. */
const rememberedOutages = 3;
/** Bounds of the time until upstreams return that is assumed without an earlier outage, in milliseconds. */
const minUnknownReturnMs = 500;
const maxUnknownReturnMs = 4000;

/** Adds a refusal at `now`. */
export function addRefusal(refusals: ConnectionRefusals | undefined, now: number): ConnectionRefusals {
    return { count: (refusals?.count ?? 0) + 1, refusedAt: now };
}

/** Whether an upstream is not to be tried yet; not if it has been heard of since the refusal. */
export function isPausing(
    { refusals, heardAt }: { refusals: ConnectionRefusals | undefined; heardAt: number | undefined; },
    now: number,
): boolean {
    if (refusals === undefined || (heardAt ?? -Infinity) > refusals.refusedAt) {
        return false;
    }
    return now < refusals.refusedAt + Math.min(maxPauseMs, minPauseMs * 2 ** (refusals.count - 1));
}

/** Records whether all upstreams of a pool refuse connections. */
export function updateOutage(outages: PoolOutages, isRefusing: boolean, now: number): void {
    if (isRefusing) {
        outages.since ??= now;
    }
    else if (outages.since !== undefined) {
        outages.durations = [...outages.durations, now - outages.since].slice(-rememberedOutages);
        outages.since = undefined;
    }
}

/**
 * Estimates the time until an upstream of the pool is back, in milliseconds: from the latest outages or, without any that
 * lasted as long, as the time that this one has lasted. 0 without an outage.
 */
export function estimateReturnMs({ since, durations }: PoolOutages, now: number): number {
    if (since === undefined) {
        return 0;
    }
    const lastedMs = now - since;
    const expectedMs = Math.min(...durations.filter(duration => duration > lastedMs));
    return expectedMs === Infinity ?
        Math.min(maxUnknownReturnMs, Math.max(minUnknownReturnMs, lastedMs)) :
        expectedMs - lastedMs;
}
