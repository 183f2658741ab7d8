/**
 * Estimates how much each expert is in demand, from counts that all ranks share. Answers the load pattern in which the
 * demand changes to other experts at once: the newest counts are compared with the older ones, and a change of their
 * shape makes the older ones void.
 */

export interface PopularityState {
    sets: number;
    experts: number;
    /** Counts since the last step of the estimate, by set and expert. */
    newCounts: Float64Array[];
    /** Estimated share of each expert, by set. */
    shares: Float64Array[];
    /** Counts that the estimate stands on, with the weight of the decay. */
    weight: number;
}

/** Choices of a set that make up one step of the estimate; fewer are mostly the chance of single prompts. */
const minChoices = 40_000;
/** Weight that older counts keep in a step. */
const decayFactor = 0.75;
/** Distance of the new counts' shape from the estimate, from 0 to 1, at which the estimate is void. */
const changeThreshold = 0.22;

/** Creates an estimate that knows nothing. */
export function createPopularity(sets: number, experts: number): PopularityState {
    const createSets = () => Array.from({ length: sets }, () => new Float64Array(experts));
    return { sets, experts, newCounts: createSets(), shares: createSets(), weight: 0 };
}

/** Takes in what the requests of one rank chose since its last counts. */
export function recordChoices(state: PopularityState, counts: ArrayLike<number>[]): void {
    counts.forEach((set, index) => {
        const fresh = state.newCounts[index];
        for (let expert = 0; expert < state.experts; expert++) {
            fresh[expert] += set[expert];
        }
    });
}

export const PopularityOutcome = {
    /** Too few choices since the last step. */
    waiting: "waiting",
    refined: "refined",
    /** The demand has changed; older counts are void. */
    changed: "changed",
} as const;
export type PopularityOutcome = (typeof PopularityOutcome)[keyof typeof PopularityOutcome];

/** Moves the estimate on when enough has been chosen. */
export function updatePopularity(state: PopularityState): { step: PopularityOutcome; distance: number; } {
    const total = sumSets(state.newCounts) / state.sets;
    if (total < minChoices) {
        return { step: PopularityOutcome.waiting, distance: 0 };
    }
    const distributions = state.newCounts.map(computeShares);
    const distance = distributions.reduce((sum, shape, set) => sum + computeTotalVariation(shape, state.shares[set]), 0) /
        state.sets;
    const hasChanged = state.weight === 0 || distance > changeThreshold;
    const retainedWeight = hasChanged ? 0 : state.weight * decayFactor;
    state.shares = distributions.map((shape, set) =>
        shape.map((share, expert) => (share + retainedWeight * state.shares[set][expert]) / (1 + retainedWeight))
    );
    state.weight = retainedWeight + 1;
    state.newCounts.forEach(set => set.fill(0));
    return { step: hasChanged ? PopularityOutcome.changed : PopularityOutcome.refined, distance };
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

/** Half of the sum of the differences of two shapes, from 0 to 1. */
function computeTotalVariation(a: Float64Array, b: Float64Array): number {
    let sum = 0;
    for (let i = 0; i < a.length; i++) {
        sum += Math.abs(a[i] - b[i]);
    }
    return sum / 2;
}
