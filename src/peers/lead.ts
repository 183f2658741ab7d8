/**
 * Which slot of a group leads: collects all ranks' states, tells everyone, plans maps. Leading needs no agreement, since
 * what the lead orders is safe with two of them; one is only cheaper. The lowest id leads; the others take over in order
 * of their ids when they hear nothing.
 */

export interface LeadState {
    own: string;
    /** Slot that leads, as far as this one has heard. */
    lead: string | undefined;
    /** Time of the newest vector, in milliseconds. */
    heardAt: number;
}

/** Silence after which the next slot leads, in milliseconds; three vectors. */
const leadSilenceMs = 600;
/** Added for each slot that comes before, in milliseconds; more than a vector takes to arrive. */
const stepMs = 150;
/** Slots that may come before at most, so that the last one does not wait for long. */
const maxSteps = 12;

/** Creates the state of a slot that has heard nothing. */
export function createLead(own: string, now: number): LeadState {
    return { own, lead: undefined, heardAt: now };
}

/** Takes in a vector; between two leads the lower id stays. */
export function noteVector(state: LeadState, from: string, now: number): void {
    if (state.lead === state.own && from > state.own) {
        return;
    }
    state.lead = from;
    state.heardAt = now;
}

/** Whether this slot leads now; `slots` are the ids of all slots of the group. */
export function advanceLead(state: LeadState, slots: string[], now: number): boolean {
    if (state.lead === state.own) {
        return true;
    }
    const before = slots.filter(id => id < state.own).length;
    if (now - state.heardAt > leadSilenceMs + Math.min(before, maxSteps) * stepMs) {
        state.lead = state.own;
        return true;
    }
    return false;
}
