/**
 * Explores random schedules (sequences of faults and messages) of requests with idempotency keys, and reports those
 * that violate an invariant: `npm run explore -- claims`.
 */
import { handleClaimEvent } from "../slot/claims.js";
import { registerKey } from "../slot/keyedRuns.js";
import { type ClaimRules, simulateClaims } from "./claimSimulation.js";

/** The production rules (decision functions), which tests replace by faulty variants. */
export const claimRules: ClaimRules = {
    handleClaimEvent,
    registerKey,
    formatIncarnation: (slot, start) => `slot-${slot}-${start}`,
    releasesKey: outcome => outcome === "not-run",
};

/** Runs `runs` schedules with consecutive seeds, starting from `seed`; returns those that violated an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let scheduleSeed = seed; scheduleSeed < seed + runs; scheduleSeed++) {
        const { violations } = simulateClaims(claimRules, scheduleSeed);
        if (violations.length > 0) {
            failures.push({ seed: scheduleSeed, what: violations.join("; ") });
        }
    }
    return { runs, failures };
}
