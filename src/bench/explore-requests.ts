/** Explores random schedules of requests between entries and slots: `npm run explore -- requests`. */
import { advanceAttempt } from "../entry/attempt.js";
import { beginRun, resumeRun } from "../slot/runStore.js";
import { maxClockSkewMs } from "../wire/auth.js";
import { type RequestRules, simulateRequests } from "./requestSimulation.js";

/** The production decisions. */
export const requestRules: RequestRules = {
    advanceAttempt,
    beginRun,
    resumeRun,
    isFresh: ageMs => ageMs <= maxClockSkewMs,
};

/** Runs `runs` schedules with consecutive seeds, starting from `seed`; returns those that violated an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
    rules = requestRules,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let scheduleSeed = seed; scheduleSeed < seed + runs; scheduleSeed++) {
        const violations = simulateRequests(rules, scheduleSeed);
        if (violations.length > 0) {
            failures.push({ seed: scheduleSeed, what: violations.join("; ") });
        }
    }
    return { runs, failures };
}
