/** Computes when the caller of a refused request should retry. */

/** State of the pool that refused a request; times are in milliseconds. */
export interface RefusalState {
    /** Time left until the caller's deadline. */
    leftMs: number;
    isGroupBroken: boolean;
    /** Time until the group is expected to open; undefined if it is not known. */
    openInMs: number | undefined;
}

/** Maximum Retry-After, as a share of the time left until the caller's deadline. */
const maxShare = 1 / 3;
/** Minimum Retry-After for a broken group, as a share of the maximum; such a group takes seconds to recover. */
const minBrokenGroupShare = 0.9;
/** Minimum Retry-After for a full pool, as a share of the maximum; capacity becomes free sooner. */
const minFullPoolShare = 0.5;

/** Computes the Retry-After in milliseconds; `random` is in [0, 1) and spreads the callers' return. */
export function computeRetryAfterMs({ leftMs, isGroupBroken, openInMs }: RefusalState, random: number): number {
    const maxMs = Math.max(0, leftMs) * maxShare;
    const shareMs = maxMs * (isGroupBroken ? minBrokenGroupShare : minFullPoolShare);
    const minMs = Math.min(openInMs ?? shareMs, shareMs);
    return minMs + random * (maxMs - minMs);
}

/** Share of a pause over which the callers' return is spread, and its minimum in milliseconds. */
const returnSpreadShare = 0.5;
const minReturnSpreadMs = 200;

/** Computes the Retry-After for a pool whose upstreams all ask for a pause of `pauseMs` more; `random` is in [0, 1). */
export function computePauseReturnMs(pauseMs: number, random: number): number {
    return pauseMs + random * Math.max(minReturnSpreadMs, pauseMs * returnSpreadShare);
}
