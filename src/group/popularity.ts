/**
 * Estimates how much each expert is in demand, from counts that all ranks share. Answers the load pattern in which the
 * demand changes to other experts at once: the newest counts are compared with the older ones, and a change of their
 * shape makes the older ones void.
 */

export interface PopularityState {
    sets: number;
    experts: number;
    /** Counts since the last step of the estimate, by set and expert. */
    fresh: Float64Array[];
    /** Estimated share of each expert, by set. */
    shares: Float64Array[];
    /** Counts that the estimate stands on, with the weight of the decay. */
    weight: number;
}

/** Choices of a set that make up one step of the estimate; fewer are mostly the chance of single prompts. */
const stepChoices = 40_000;
/** Weight that older counts keep in a step. */
const keptWeight = 0.75;
/** Distance of the new counts' shape from the estimate, from 0 to 1, at which the estimate is void. */
const changeDistance = 0.22;

/** Creates an estimate that knows nothing. */
export function createPopularity(sets: number, experts: number): PopularityState {
    const createSets = () => Array.from({ length: sets }, () => new Float64Array(experts));
    return { sets, experts, fresh: createSets(), shares: createSets(), weight: 0 };
}

/** Takes in what the requests of one rank chose since its last counts. */
export function noteChoices(state: PopularityState, counts: ArrayLike<number>[]): void {
    counts.forEach((set, index) => {
        const fresh = state.fresh[index];
        for (let expert = 0; expert < state.experts; expert++) {
            fresh[expert] += set[expert];
        }
    });
}

export const PopularityStep = {
    /** Too few choices since the last step. */
    waiting: "waiting",
    refined: "refined",
    /** The demand has changed; older counts are void. */
    changed: "changed",
} as const;
export type PopularityStep = (typeof PopularityStep)[keyof typeof PopularityStep];

/** Moves the estimate on when enough has been chosen. */
export function advancePopularity(state: PopularityState): { step: PopularityStep; distance: number; } {
    const total = sumAll(state.fresh) / state.sets;
    if (total < stepChoices) {
        return { step: PopularityStep.waiting, distance: 0 };
    }
    const shapes = state.fresh.map(computeShares);
    const distance = shapes.reduce((sum, shape, set) => sum + computeDistance(shape, state.shares[set]), 0) /
        state.sets;
    const hasChanged = state.weight === 0 || distance > changeDistance;
    const kept = hasChanged ? 0 : state.weight * keptWeight;
    state.shares = shapes.map((shape, set) =>
        shape.map((share, expert) => (share + kept * state.shares[set][expert]) / (1 + kept))
    );
    state.weight = kept + 1;
    state.fresh.forEach(set => set.fill(0));
    return { step: hasChanged ? PopularityStep.changed : PopularityStep.refined, distance };
}

function sumAll(sets: Float64Array[]): number {
    return sets.reduce((sum, set) => sum + sumOne(set), 0);
}

function sumOne(set: ArrayLike<number>): number {
    let sum = 0;
    for (let i = 0; i < set.length; i++) {
        sum += set[i];
    }
    return sum;
}

function computeShares(set: Float64Array): Float64Array {
    const sum = Math.max(1, sumOne(set));
    return set.map(count => count / sum);
}

/** Half of the sum of the differences of two shapes, from 0 to 1. */
function computeDistance(a: Float64Array, b: Float64Array): number {
    let sum = 0;
    for (let i = 0; i < a.length; i++) {
        sum += Math.abs(a[i] - b[i]);
    }
    return sum / 2;
}
