/** Explores schedules of requests between entries and slots: `npm run explore -- requests`. */
import { advanceAttempt } from "../entry/attempt.js";
import { beginRun, resumeRun } from "../slot/runStore.js";
import { maxClockSkewMs } from "../wire/auth.js";
import { type RequestRules, simulateRequests } from "./requestSimulation.js";

/** The decisions that the binaries run. */
export const requestRules: RequestRules = {
    advanceAttempt,
    beginRun,
    resumeRun,
    isFresh: ageMs => ageMs <= maxClockSkewMs,
};

/** Runs schedules from `seed` on and returns those that broke an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
    rules = requestRules,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let at = seed; at < seed + runs; at++) {
        const what = simulateRequests(rules, at);
        if (what.length > 0) {
            failures.push({ seed: at, what: what.join("; ") });
        }
    }
    return { runs, failures };
}
