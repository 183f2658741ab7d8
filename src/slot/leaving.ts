/** Decides whether `leaving` in the instance list refers to this process or to an earlier one of the same name. */
import { InstanceState } from "../core/types.js";

/** Maximum delay of the instance list, in milliseconds. */
const maxListLagMs = 30_000;

/** What the instance list has shown of this instance since the process started. */
export interface LeavingState {
    /** Start time of the process, Unix time in milliseconds. */
    startedAt: number;
    /** Whether the list has shown this instance as live since the process started. */
    seenLive: boolean;
}

/** Creates the state of a process that started at `now`, Unix time in milliseconds. */
export function createLeavingState(now: number): LeavingState {
    return { startedAt: now, seenLive: false };
}

/** Records the state of this instance in the list and returns whether this process is leaving. */
export function observeListedState(
    leavingState: LeavingState,
    listedState: InstanceState | undefined,
    now: number,
): boolean {
    leavingState.seenLive = leavingState.seenLive || listedState === InstanceState.live;
    return listedState === InstanceState.leaving &&
        (leavingState.seenLive || now - leavingState.startedAt > maxListLagMs);
}
