/**
 * Plans the next expert map of a group: few moves per expert set, within the number of new experts that a rank can
 * load.
 */
import { computeRankLoads, type LayerPlacement } from "./placement.js";
import { planLayer, type PlanParameters } from "./plan.js";
import type { ExpertPlan } from "./rankTypes.js";

export interface RebalanceInput {
    /** Active map. */
    current: ExpertPlan;
    /** Estimated share of the demand of each expert, by set. */
    shares: ArrayLike<number>[];
    /** Number of experts in each set. */
    experts: number;
    /** Maximum number of experts of each set on one rank. */
    placements: number;
    /** Maximum number of new experts of each set that one rank can load in a change. */
    spare: number;
}

/** A planned change of the expert map. */
export interface Rebalance {
    plan: ExpertPlan;
    /** Number of experts that ranks have to load. */
    moves: number;
    /** Maximum rank load over the mean, averaged over the sets, under the active map. */
    skewBefore: number;
    /** The same under the new map. */
    skewAfter: number;
}

/** Planning stops at the target skew or when a move gains less than `minGain`; each move costs a copy of an expert. */
const weights: PlanParameters = {
    targetSkew: 1.03,
    minGain: 0.02,
    movesPerInterval: 0,
    burstIntervals: 0,
    errorMultiple: 0,
};

/** Plans a change of all sets; undefined if no move gains more than it costs. */
export function planRebalance(input: RebalanceInput): Rebalance | undefined {
    const { current, shares, experts, placements, spare } = input;
    let moves = 0;
    let skewBefore = 0;
    let skewAfter = 0;
    const plan = current.map((ranks, set) => {
        const placement = packPlacement(ranks, placements, experts);
        const forecast = [...Array.from(shares[set]), 0];
        const result = planLayer(
            { placement, forecast, budget: ranks.length * spare, spare, emptyExpert: experts },
            weights,
        );
        const next = result.kind === "move" ? result.placement : placement;
        skewBefore += computeSetSkew(placement, forecast) / current.length;
        skewAfter += computeSetSkew(next, forecast) / current.length;
        const rankExperts = unpackPlacement(next, experts);
        moves += countNewExperts(ranks, rankExperts);
        return rankExperts;
    });
    return moves === 0 ? undefined : { plan, moves, skewBefore, skewAfter };
}

/** Computes the maximum rank load over the mean, averaged over the sets; 1 is a perfect balance. */
export function computePlanSkew({ current, shares, experts, placements }: RebalanceInput): number {
    const skews = current.map((ranks, set) =>
        computeSetSkew(packPlacement(ranks, placements, experts), [...Array.from(shares[set]), 0])
    );
    return skews.reduce((sum, skew) => sum + skew, 0) / Math.max(1, skews.length);
}

function computeSetSkew(placement: LayerPlacement, forecast: number[]): number {
    const loads = computeRankLoads(placement, forecast);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/** Converts the experts of each rank to a placement; unused slots are filled with `empty`. */
function packPlacement(ranks: number[][], slotsPerRank: number, empty: number): LayerPlacement {
    const experts = new Int32Array(ranks.length * slotsPerRank).fill(empty);
    ranks.forEach((held, rank) => held.forEach((expert, slot) => experts[rank * slotsPerRank + slot] = expert));
    return { ranks: ranks.length, slotsPerRank, experts };
}

/** Converts a placement to the sorted experts of each rank, without `empty`. */
function unpackPlacement({ experts, ranks, slotsPerRank }: LayerPlacement, empty: number): number[][] {
    return Array.from({ length: ranks }, (ignored, rank) => {
        const held = Array.from(experts.subarray(rank * slotsPerRank, (rank + 1) * slotsPerRank));
        return held.filter(expert => expert !== empty).sort((a, b) => a - b);
    });
}

function countNewExperts(before: number[][], after: number[][]): number {
    return after.reduce((sum, held, rank) => sum + held.filter(expert => !before[rank].includes(expert)).length, 0);
}
