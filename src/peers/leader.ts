/**
 * Leader election among the slots of a group. The leader collects the state of all ranks, sends it to slots and
 * entries, and plans maps. Election needs no consensus: the leader's orders are safe with two leaders, and a single one
 * only costs less. When the leader's heartbeats stop, slots take over in a fixed order. Each slot also sends its state
 * to the successor, which therefore knows at once what the previous leader left unfinished.
 */

/** View that a slot has of its group's leader. */
export interface LeaderState {
    /** Host of this slot. */
    self: string;
    /** Host of the current leader as known to this slot; undefined before the first heartbeat. */
    leader: string | undefined;
    /** Start of the timeout: latest heartbeat, transfer of leadership or creation, in milliseconds. */
    timeoutStartedAt: number;
}

/** Time without a heartbeat until the successor takes over, in milliseconds; more than two heartbeat intervals. */
const leaderTimeoutMs = 500;
/** Added for each slot earlier in the order, in milliseconds; more than the latency of a heartbeat. */
const takeoverStaggerMs = 150;
/** Cap on the slots that add to the timeout, which bounds the wait of the last slots. */
const maxStaggerSteps = 12;

/** Creates the state of a slot that has had no heartbeat yet; `now` is in milliseconds. */
export function createLeaderState(self: string, now: number): LeaderState {
    return { self, leader: undefined, timeoutStartedAt: now };
}

/**
 * Handles a heartbeat of a leader. `slots` lists the hosts in takeover order; if this slot is leader too, the earlier
 * of the two in that order remains leader.
 */
export function handleLeaderHeartbeat(state: LeaderState, from: string, slots: string[], now: number): void {
    if (state.leader === state.self && slots.indexOf(from) > slots.indexOf(state.self)) {
        return;
    }
    state.leader = from;
    state.timeoutStartedAt = now;
}

/** Transfers leadership to the next slot; does nothing if this slot is not the leader. */
export function transferLeadership(state: LeaderState, slots: string[], now: number): void {
    const next = slots.find(slot => slot !== state.self);
    if (state.leader === state.self && next !== undefined) {
        state.leader = next;
        state.timeoutStartedAt = now;
    }
}

/** Takes over as leader once the timeout has passed; returns whether this slot is the leader. */
export function updateLeadership(state: LeaderState, slots: string[], now: number): boolean {
    if (state.leader === state.self) {
        return true;
    }
    const others = slots.filter(slot => slot !== state.leader);
    const position = Math.max(0, others.indexOf(state.self));
    if (now - state.timeoutStartedAt > leaderTimeoutMs + Math.min(position, maxStaggerSteps) * takeoverStaggerMs) {
        state.leader = state.self;
        return true;
    }
    return false;
}

/** Finds the slot that takes over when the current leader fails. */
export function findSuccessor(state: LeaderState, slots: string[]): string | undefined {
    return slots.find(slot => slot !== state.leader);
}
