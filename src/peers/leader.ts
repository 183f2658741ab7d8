/**
 * Which slot of a group leads: collects all ranks' states, tells everyone, plans maps. Leading needs no agreement, since
 * what the lead orders is safe with two of them; one is only cheaper. The slots take over in a fixed order when they
 * hear nothing, and each tells its state to the next one too, which so knows at once what the last lead left unfinished.
 */

export interface LeaderState {
    self: string;
    /** Slot that leads, as far as this one has heard. */
    leader: string | undefined;
    /** Time of the newest vector, in milliseconds. */
    heardAt: number;
}

/** Silence after which the next slot leads, in milliseconds; more than two vectors. */
const leaderTimeoutMs = 500;
/** Added for each slot that comes before, in milliseconds; more than a vector takes to arrive. */
const takeoverStaggerMs = 150;
/** Slots that may come before at most, so that the last one does not wait for long. */
const maxStaggerSteps = 12;

/** Creates the state of a slot that has heard nothing. */
export function createLeaderState(own: string, now: number): LeaderState {
    return { self: own, leader: undefined, heardAt: now };
}

/** Takes in a vector; `slots` are in the order in which they lead, and between two leads the earlier one stays. */
export function handleLeaderHeartbeat(state: LeaderState, from: string, slots: string[], now: number): void {
    if (state.leader === state.self && slots.indexOf(from) > slots.indexOf(state.self)) {
        return;
    }
    state.leader = from;
    state.heardAt = now;
}

/** Gives the lead up to the next slot; does nothing when this one does not lead. */
export function transferLeadership(state: LeaderState, slots: string[], now: number): void {
    const next = slots.find(slot => slot !== state.self);
    if (state.leader === state.self && next !== undefined) {
        state.leader = next;
        state.heardAt = now;
    }
}

/** Whether this slot leads now. */
export function updateLeadership(state: LeaderState, slots: string[], now: number): boolean {
    if (state.leader === state.self) {
        return true;
    }
    const others = slots.filter(slot => slot !== state.leader);
    const before = Math.max(0, others.indexOf(state.self));
    if (now - state.heardAt > leaderTimeoutMs + Math.min(before, maxStaggerSteps) * takeoverStaggerMs) {
        state.leader = state.self;
        return true;
    }
    return false;
}

/** The slot that leads next when the present one falls silent. */
export function findSuccessor(state: LeaderState, slots: string[]): string | undefined {
    return slots.find(slot => slot !== state.leader);
}
