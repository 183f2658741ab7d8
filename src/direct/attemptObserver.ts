/** Observes one attempt for the quarantine: whether its upstream responds to the prompt or crashes as it begins to. */
import type { UpstreamRecord } from "../peers/mirror.js";
import type { DirectContext } from "./context.js";
import type { DirectRequest } from "./types.js";

export interface AttemptObserver {
    /** Records that a part of the response has arrived. */
    recordData: () => void;
    /** Records that the response is complete. */
    recordCompletion: () => void;
    /**
     * Records that the upstream has broken the connection. Returns what resolves once it is known whether the upstream has
     * crashed; undefined if the request had been answered before.
     */
    recordBreak: () => Promise<void> | undefined;
}

/**
 * Time after the first data after which further data shows that the prompt does not crash the upstream, in milliseconds: an
 * upstream crashes as it begins to respond. Silence shows nothing, as a connection may break long after the crash.
 */
const harmlessAfterMs = 250;

/** Starts to observe an attempt that is being sent. */
export function observeAttempt(
    { quarantine, now }: Pick<DirectContext, "quarantine" | "now">,
    request: DirectRequest,
    upstream: UpstreamRecord,
): AttemptObserver {
    const sentAt = now();
    const knownCrashes = quarantine.getLatestCrashes();
    let beganAt: number | undefined;
    let isHarmless = false;
    const recordAnswer = () => {
        if (!isHarmless) {
            isHarmless = true;
            quarantine.recordAnswer(request, { upstream, sentAt, knownCrashes, beganAt: beganAt ?? sentAt });
        }
    };
    return {
        recordData: () => {
            beganAt ??= now();
            if (now() - beganAt >= harmlessAfterMs) {
                recordAnswer();
            }
        },
        recordCompletion: recordAnswer,
        recordBreak: () =>
            isHarmless ?
                undefined :
                quarantine.recordLoss(request, { upstream, sentAt, knownCrashes, beganAt: beganAt ?? sentAt }),
    };
}
