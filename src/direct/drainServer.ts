/** Stops an entry's server for callers by the schedule of its environment. */
import type { DirectServer } from "./server.js";
import { computeStopSchedule, isRequestTaken, type StopBounds } from "./stopSchedule.js";

/** Interval at which it is checked whether all requests are finished, in milliseconds. */
const pollMs = 50;
/** Time for which the last responses are sent after the remaining requests have been ended, in milliseconds. */
const flushMs = 50;

export interface Drain {
    /** Whether a request that is read now may be taken; `deadlineAt` is in milliseconds of the clock. */
    isTaken: (deadlineAt: number) => boolean;
    /** Resolves when all requests are finished or have been ended. */
    finished: Promise<void>;
}

/** Starts to stop a server. `now` returns milliseconds. */
export function startDrain(directServer: DirectServer, bounds: StopBounds, now: () => number): Drain {
    const schedule = computeStopSchedule(bounds);
    const startedAt = now();
    return {
        isTaken: deadlineAt => isRequestTaken(schedule, now() - startedAt, deadlineAt - startedAt),
        finished: drainServer(directServer, schedule, () => now() - startedAt),
    };
}

async function drainServer(
    { closeListener, closeIdleConnections, countInFlight, endRequests, interruptUnsent }: DirectServer,
    { closeAtMs, interruptAtMs }: ReturnType<typeof computeStopSchedule>,
    getElapsedMs: () => number,
): Promise<void> {
    await waitFor(closeAtMs);
    closeListener();
    closeIdleConnections();
    while (countInFlight() > 0 && getElapsedMs() < interruptAtMs) {
        await waitFor(Math.min(pollMs, interruptAtMs - getElapsedMs()));
        closeIdleConnections();
    }
    if (countInFlight() > 0) {
        endRequests();
        await waitFor(flushMs);
        // The process that exits would close their connections in good order.
        interruptUnsent();
    }
}

function waitFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
