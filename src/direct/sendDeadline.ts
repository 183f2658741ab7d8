/** When it is too late to send a request to an upstream. */
import type { DirectContext } from "./context.js";
import type { DirectRequest } from "./types.js";

/** Time from sending a request to its first event, in milliseconds, with a margin for the way back to the caller. */
const firstEventLatencyMs = 250;

/** Computes the latest time to send a request whose caller received its last output at `lastOutputAt`, in milliseconds. */
export function computeLatestSendAt(
    context: Pick<DirectContext, "estimateServiceMs">,
    request: DirectRequest,
    lastOutputAt: number,
): number {
    const { patienceMs } = request.route;
    const latestForCompletion = request.deadlineAt - context.estimateServiceMs(request);
    return patienceMs === undefined ?
        latestForCompletion :
        Math.min(latestForCompletion, lastOutputAt + patienceMs - firstEventLatencyMs);
}
