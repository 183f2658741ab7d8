/**
 * Which slot of a group leads: collects all ranks' states, tells everyone, plans maps. Leading needs no agreement, since
 * what the lead orders is safe with two of them; one is only cheaper. The slots take over in a fixed order when they
 * hear nothing, and each tells its state to the next one too, which so knows at once what the last lead left unfinished.
 */

export interface LeadState {
    own: string;
    /** Slot that leads, as far as this one has heard. */
    lead: string | undefined;
    /** Time of the newest vector, in milliseconds. */
    heardAt: number;
}

/** Silence after which the next slot leads, in milliseconds; more than two vectors. */
const leadSilenceMs = 500;
/** Added for each slot that comes before, in milliseconds; more than a vector takes to arrive. */
const stepMs = 150;
/** Slots that may come before at most, so that the last one does not wait for long. */
const maxSteps = 12;

/** Creates the state of a slot that has heard nothing. */
export function createLead(own: string, now: number): LeadState {
    return { own, lead: undefined, heardAt: now };
}

/** Takes in a vector; `slots` are in the order in which they lead, and between two leads the earlier one stays. */
export function noteVector(state: LeadState, from: string, slots: string[], now: number): void {
    if (state.lead === state.own && slots.indexOf(from) > slots.indexOf(state.own)) {
        return;
    }
    state.lead = from;
    state.heardAt = now;
}

/** Gives the lead up to the next slot; does nothing when this one does not lead. */
export function yieldLead(state: LeadState, slots: string[], now: number): void {
    const next = slots.find(slot => slot !== state.own);
    if (state.lead === state.own && next !== undefined) {
        state.lead = next;
        state.heardAt = now;
    }
}

/** Whether this slot leads now. */
export function advanceLead(state: LeadState, slots: string[], now: number): boolean {
    if (state.lead === state.own) {
        return true;
    }
    const others = slots.filter(slot => slot !== state.lead);
    const before = Math.max(0, others.indexOf(state.own));
    if (now - state.heardAt > leadSilenceMs + Math.min(before, maxSteps) * stepMs) {
        state.lead = state.own;
        return true;
    }
    return false;
}

/** The slot that leads next when the present one falls silent. */
export function findNextLead(state: LeadState, slots: string[]): string | undefined {
    return slots.find(slot => slot !== state.lead);
}
