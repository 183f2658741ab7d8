/** Plans the next expert map of a group: few moves in each set, within what each rank may take in one change. */
import { computeRankLoads, type LayerPlacement } from "./placement.js";
import { planLayer, type PlanParameters } from "./plan.js";
import type { ExpertPlan } from "./rankTypes.js";

export interface RebalanceInput {
    /** Experts that each rank holds now, by set, then by rank. */
    current: ExpertPlan;
    /** Share of each expert, by set. */
    shares: ArrayLike<number>[];
    experts: number;
    /** Experts of each set that a rank can hold. */
    placements: number;
    /** New experts of each set that a rank can take. */
    spare: number;
}

export interface Rebalance {
    plan: ExpertPlan;
    moves: number;
    /** Load of the most loaded rank over the mean, averaged over the sets, before and after. */
    skewBefore: number;
    skewAfter: number;
}

/** Moves are planned while each brings this much; a move costs a copy over the ranks' links. */
const weights: PlanParameters = { targetSkew: 1.03, minGain: 0.02, movesPerInterval: 0, burstIntervals: 0, errorMultiple: 0 };

/** Plans a change of all sets; undefined when no move brings more than it costs. */
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
        const lists = unpackPlacement(next, experts);
        moves += countNewExperts(ranks, lists);
        return lists;
    });
    return moves === 0 ? undefined : { plan, moves, skewBefore, skewAfter };
}

/** Load of the most loaded rank over the mean, averaged over the sets. */
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

/** Fills the slots that hold nothing with `empty`. */
function packPlacement(ranks: number[][], slotsPerRank: number, empty: number): LayerPlacement {
    const experts = new Int32Array(ranks.length * slotsPerRank).fill(empty);
    ranks.forEach((held, rank) => held.forEach((expert, slot) => experts[rank * slotsPerRank + slot] = expert));
    return { ranks: ranks.length, slotsPerRank, experts };
}

function unpackPlacement({ experts, ranks, slotsPerRank }: LayerPlacement, empty: number): number[][] {
    return Array.from({ length: ranks }, (ignored, rank) => {
        const held = Array.from(experts.subarray(rank * slotsPerRank, (rank + 1) * slotsPerRank));
        return held.filter(expert => expert !== empty).sort((a, b) => a - b);
    });
}

function countNewExperts(before: number[][], after: number[][]): number {
    return after.reduce((sum, held, rank) => sum + held.filter(expert => !before[rank].includes(expert)).length, 0);
}
