/** Explores schedules of keyed requests: `npm run explore -- claims`. */
import { handleClaimEvent } from "../slot/claims.js";
import { registerKey } from "../slot/keyedRuns.js";
import { type ClaimRules, simulateClaims } from "./claimSimulation.js";

/** The decisions that the binaries run. */
export const claimRules: ClaimRules = {
    handleClaimEvent: handleClaimEvent,
    registerKey: registerKey,
    formatIncarnation: (slot, start) => `slot-${slot}-${start}`,
    releasesKey: outcome => outcome === "not-run",
};

/** Runs schedules from `seed` on and returns those that broke an invariant. */
export async function exploreSchedules(
    runs: number,
    seed: number,
): Promise<{ runs: number; failures: { seed: number; what: string; }[]; }> {
    const failures: { seed: number; what: string; }[] = [];
    for (let at = seed; at < seed + runs; at++) {
        const { violations: findings } = simulateClaims(claimRules, at);
        if (findings.length > 0) {
            failures.push({ seed: at, what: findings.join("; ") });
        }
    }
    return { runs, failures };
}
