/**
 * Schedule of an entry's stop, from the signal to the moment at which the process is killed. New connections arrive until
 * the load balancer has noticed that the entry is no longer ready; a request that is taken late has to end before the
 * process is killed.
 */

/** Bounds of the environment, in milliseconds from the signal to stop. */
export interface StopBounds {
    /** Time until the process is killed. */
    graceMs: number;
    /** Time up to which requests may be sent to this entry of which some cannot end in time. */
    lastExcusedMs: number;
}

/** Times in milliseconds from the signal to stop. */
export interface StopSchedule {
    /** Closes the listener and idle connections; later requests are taken only if they end in time. */
    closeAtMs: number;
    /** Ends the requests that are left. */
    interruptAtMs: number;
}

/** Time by which the listener closes before the last excused request can be sent, in milliseconds. */
const closeMarginMs = 150;
/** Time that the process has left to send its last responses and to exit, in milliseconds. */
const exitMarginMs = 150;
/** Upper bounds of both times as shares of the grace period, for short grace periods. */
const maxCloseShare = 0.5;
const maxExitShare = 0.1;

/** Computes the schedule. */
export function computeStopSchedule({ graceMs, lastExcusedMs }: StopBounds): StopSchedule {
    return {
        closeAtMs: Math.max(0, Math.min(lastExcusedMs - closeMarginMs, graceMs * maxCloseShare)),
        interruptAtMs: graceMs - Math.min(exitMarginMs, Math.floor(graceMs * maxExitShare)),
    };
}

/** Whether a request that is read `readAtMs` after the signal and ends by `deadlineMs` after it may be taken. */
export function isRequestTaken(schedule: StopSchedule, readAtMs: number, deadlineMs: number): boolean {
    return readAtMs < schedule.closeAtMs || deadlineMs <= schedule.interruptAtMs;
}
