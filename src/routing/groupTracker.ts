/**
 * Tracks which expert-parallel groups an entry can send requests to. A group is one failure domain: when one rank is
 * lost, no rank runs requests until the group has formed again, so a retry on another rank of the group cannot succeed.
 */

export interface GroupState {
    isOpen: boolean;
    /** Counts how often the group has formed. */
    epoch: number;
    /** Time of the observation, in milliseconds. */
    observedAt: number;
    /** Time of the first observation that found the group broken, in milliseconds. */
    brokenSince: number;
}

export interface GroupTracker {
    groups: Map<string, GroupState>;
    /** Durations of the latest outages of each group, in milliseconds, oldest first. */
    outages: Map<string, number[]>;
}

/** Time after which a broken group is tried again when no newer state has been received, in milliseconds. */
const maxBrokenAgeMs = 600;
/** Number of outages from which the end of the next one is estimated. */
const rememberedOutages = 3;
/** Shortest outage that is remembered, in milliseconds; a group takes longer to form again. */
const minOutageMs = 500;

/** Creates a tracker that considers every group open. */
export function createGroupTracker(): GroupTracker {
    return { groups: new Map(), outages: new Map() };
}

/** Updates the state of a pool's group; states older than the known one are ignored. */
export function updateGroupState(
    tracker: GroupTracker,
    pool: string,
    state: { isOpen: boolean; epoch: number; observedAt: number; },
): void {
    const known = tracker.groups.get(pool);
    if (known !== undefined && (known.observedAt > state.observedAt || known.epoch > state.epoch)) {
        return;
    }
    const wasBroken = known !== undefined && !known.isOpen;
    if (wasBroken && state.isOpen) {
        recordOutage(tracker, pool, state.observedAt - known.brokenSince);
    }
    tracker.groups.set(pool, { ...state, brokenSince: wasBroken ? known.brokenSince : state.observedAt });
}

/** Marks a pool's group as broken after an upstream's response reported it. */
export function markGroupBroken(tracker: GroupTracker, pool: string, observedAt: number): void {
    updateGroupState(tracker, pool, { isOpen: false, epoch: tracker.groups.get(pool)?.epoch ?? 0, observedAt });
}

/** Whether requests may be sent to the pool's group. */
export function isGroupOpen(tracker: GroupTracker, pool: string, now: number): boolean {
    const group = tracker.groups.get(pool);
    return group === undefined || group.isOpen || now - group.observedAt > maxBrokenAgeMs;
}

function recordOutage({ outages }: GroupTracker, pool: string, durationMs: number): void {
    if (durationMs >= minOutageMs) {
        outages.set(pool, [...outages.get(pool) ?? [], durationMs].slice(-rememberedOutages));
    }
}

/**
 * Estimates the earliest time at which a broken group opens, in milliseconds, from its latest outages. Undefined if the group
 * is open, has not been seen to open again before, or is broken for longer than it was then.
 */
export function estimateOpenAt(tracker: GroupTracker, pool: string, now: number): number | undefined {
    const group = tracker.groups.get(pool);
    const outages = tracker.outages.get(pool) ?? [];
    if (group === undefined || outages.length === 0 || isGroupOpen(tracker, pool, now)) {
        return undefined;
    }
    const openAt = group.brokenSince + Math.min(...outages);
    return openAt > now ? openAt : undefined;
}
