/**
 * Explores random schedules (sequences of faults and messages) of requests from entries (ingress proxies) to slots
 * (sidecars of upstreams), and reports those that violate an invariant: `npm run explore -- requests`.
 */
import { advanceAttempt } from "../entry/attempt.js";
import { beginRun, resumeRun } from "../slot/runStore.js";
import { maxClockSkewMs } from "../wire/auth.js";
import { type RequestRules, simulateRequests } from "./requestSimulation.js";

/** The production rules (decision functions), which tests replace by faulty variants. */
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
