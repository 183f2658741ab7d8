/**
 * What an entry knows of the groups of ranks. A group is one failure domain: when one rank is lost, none of them runs
 * requests until the group has formed again, so no second rank is worth trying.
 */

export interface GroupView {
    isOpen: boolean;
    /** Number of times that the group has formed. */
    epoch: number;
    /** Time at which this held, in milliseconds. */
    at: number;
    /** Time at which the group was first seen broken, in milliseconds. */
    brokenSince: number;
}

export interface GroupBoard {
    groups: Map<string, GroupView>;
}

/** Time for which an answer that tells of a broken group counts where nothing newer is heard, in milliseconds. */
const brokenMaxAgeMs = 600;

/** Creates a board that takes every group for open. */
export function createGroupBoard(): GroupBoard {
    return { groups: new Map() };
}

/** Takes in the state of a pool's group; older states than known are dropped. */
export function noteGroup(
    board: GroupBoard,
    pool: string,
    state: { isOpen: boolean; epoch: number; at: number; },
): void {
    const known = board.groups.get(pool);
    if (known !== undefined && (known.at > state.at || known.epoch > state.epoch)) {
        return;
    }
    const wasBroken = known !== undefined && !known.isOpen;
    board.groups.set(pool, { ...state, brokenSince: wasBroken ? known.brokenSince : state.at });
}

/** Takes in that an answer told of a broken group. */
export function noteGroupBroken(board: GroupBoard, pool: string, at: number): void {
    noteGroup(board, pool, { isOpen: false, epoch: board.groups.get(pool)?.epoch ?? 0, at });
}

/** Whether requests may be sent to the pool's group. */
export function isGroupOpen(board: GroupBoard, pool: string, now: number): boolean {
    const group = board.groups.get(pool);
    return group === undefined || group.isOpen || now - group.at > brokenMaxAgeMs;
}
