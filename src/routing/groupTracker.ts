/**
 * What an entry knows of the groups of ranks. A group is one failure domain: when one rank is lost, none of them runs
 * requests until the group has formed again, so no second rank is worth trying.
 */

export interface GroupState {
    isOpen: boolean;
    /** Number of times that the group has formed. */
    epoch: number;
    /** Time at which this held, in milliseconds. */
    observedAt: number;
    /** Time at which the group was first seen broken, in milliseconds. */
    brokenSince: number;
}

export interface GroupTracker {
    groups: Map<string, GroupState>;
}

/** Time for which an answer that tells of a broken group counts where nothing newer is heard, in milliseconds. */
const maxBrokenAgeMs = 600;

/** Creates a board that takes every group for open. */
export function createGroupTracker(): GroupTracker {
    return { groups: new Map() };
}

/** Takes in the state of a pool's group; older states than known are dropped. */
export function updateGroupState(
    board: GroupTracker,
    pool: string,
    state: { isOpen: boolean; epoch: number; observedAt: number; },
): void {
    const known = board.groups.get(pool);
    if (known !== undefined && (known.observedAt > state.observedAt || known.epoch > state.epoch)) {
        return;
    }
    const wasBroken = known !== undefined && !known.isOpen;
    board.groups.set(pool, { ...state, brokenSince: wasBroken ? known.brokenSince : state.observedAt });
}

/** Takes in that an answer told of a broken group. */
export function markGroupBroken(board: GroupTracker, pool: string, observedAt: number): void {
    updateGroupState(board, pool, { isOpen: false, epoch: board.groups.get(pool)?.epoch ?? 0, observedAt: observedAt });
}

/** Whether requests may be sent to the pool's group. */
export function isGroupOpen(board: GroupTracker, pool: string, now: number): boolean {
    const group = board.groups.get(pool);
    return group === undefined || group.isOpen || now - group.observedAt > maxBrokenAgeMs;
}
