/** Decides whether the instance list's leaving mark is meant for this process or for an earlier one of its name. */
import { InstanceState } from "../core/types.js";

/** Longest lag of the list, in milliseconds. */
const maxListLagMs = 30_000;

export interface LeavingState {
    startedAt: number;
    /** Whether the list has shown this instance as live since the process started. */
    seenLive: boolean;
}

/** Creates the state of a process that started at `now`. */
export function createLeavingState(now: number): LeavingState {
    return { startedAt: now, seenLive: false };
}

/** Takes in what the list says of this instance and returns whether the process is leaving. */
export function observeListedState(watch: LeavingState, state: InstanceState | undefined, now: number): boolean {
    watch.seenLive = watch.seenLive || state === InstanceState.live;
    return state === InstanceState.leaving && (watch.seenLive || now - watch.startedAt > maxListLagMs);
}
