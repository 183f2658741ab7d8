/**
 * Estimates the share of the demand of each expert from the selection counts of all ranks. Older counts decay. Demand
 * may also shift to other experts abruptly: if the distribution of the newest counts differs too much from the
 * estimate, the older counts are discarded.
 */

/** Demand estimate of one group. */
export interface PopularityState {
    /** Number of expert sets; each has shares of its own. */
    sets: number;
    /** Number of experts in each set. */
    experts: number;
    /** Counts since the last update of the estimate, by set and expert. */
    newCounts: Float64Array[];
    /** Estimated share of each expert, by set. */
    shares: Float64Array[];
    /** Decayed number of updates that the estimate is based on; 0 while there is no estimate. */
    weight: number;
}

/** Expert selections per set, averaged over the sets, for an update; fewer mostly reflect noise of single prompts. */
const minSelections = 40_000;
/** Factor by which the weight of older counts decays in each update. */
const decayFactor = 0.75;
/** Total variation distance of the new counts from the estimate (0 to 1) above which older counts are discarded. */
const changeThreshold = 0.22;

/** Creates an estimate without counts. */
export function createPopularity(sets: number, experts: number): PopularityState {
    const createSets = () => Array.from({ length: sets }, () => new Float64Array(experts));
    return { sets, experts, newCounts: createSets(), shares: createSets(), weight: 0 };
}

/** Adds the selection counts of one rank since it last reported them, by set and expert. */
export function recordSelections(state: PopularityState, counts: ArrayLike<number>[]): void {
    counts.forEach((set, index) => {
        const newCounts = state.newCounts[index];
        for (let expert = 0; expert < state.experts; expert++) {
            newCounts[expert] += set[expert];
        }
    });
}

/** Result of an attempt to update the estimate. */
export const PopularityOutcome = {
    /** Too few selections since the last update; the estimate is unchanged. */
    waiting: "waiting",
    /** The new counts were merged into the estimate. */
    refined: "refined",
    /** The demand has shifted, or there was no estimate; older counts were discarded. */
    changed: "changed",
} as const;
export type PopularityOutcome = (typeof PopularityOutcome)[keyof typeof PopularityOutcome];

/** Updates the estimate once there are enough new counts; `distance` is that of the new counts from the estimate. */
export function updatePopularity(state: PopularityState): { outcome: PopularityOutcome; distance: number; } {
    const total = sumSets(state.newCounts) / state.sets;
    if (total < minSelections) {
        return { outcome: PopularityOutcome.waiting, distance: 0 };
    }
    const distributions = state.newCounts.map(computeShares);
    const distance = distributions.reduce(
        (sum, distribution, set) => sum + computeTotalVariation(distribution, state.shares[set]),
        0,
    ) /
        state.sets;
    const hasChanged = state.weight === 0 || distance > changeThreshold;
    const retainedWeight = hasChanged ? 0 : state.weight * decayFactor;
    state.shares = distributions.map((distribution, set) =>
        distribution.map((share, expert) => (share + retainedWeight * state.shares[set][expert]) / (1 + retainedWeight))
    );
    state.weight = retainedWeight + 1;
    state.newCounts.forEach(set => set.fill(0));
    return { outcome: hasChanged ? PopularityOutcome.changed : PopularityOutcome.refined, distance };
}

function sumSets(sets: Float64Array[]): number {
    return sets.reduce((sum, set) => sum + sumValues(set), 0);
}

function sumValues(set: ArrayLike<number>): number {
    let sum = 0;
    for (let i = 0; i < set.length; i++) {
        sum += set[i];
    }
    return sum;
}

function computeShares(set: Float64Array): Float64Array {
    const sum = Math.max(1, sumValues(set));
    return set.map(count => count / sum);
}

/** Computes the total variation distance of two distributions, from 0 to 1. */
function computeTotalVariation(a: Float64Array, b: Float64Array): number {
    let sum = 0;
    for (let i = 0; i < a.length; i++) {
        sum += Math.abs(a[i] - b[i]);
    }
    return sum / 2;
}
