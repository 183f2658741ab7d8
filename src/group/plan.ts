/** Plans moves of experts between ranks: few moves, each worth more than it costs. */
import { computeRankLoads, countReplicas, type LayerPlacement } from "./placement.js";

export interface PlanParameters {
    /** Predicted skew below which nothing is moved. */
    targetSkew: number;
    /** Smallest relative drop of the soft maximum that one moved expert has to bring. */
    minGain: number;
    /** Moves that a layer earns per interval, as a share of its slots. */
    movesPerInterval: number;
    /** Intervals whose unused moves are kept for bursts. */
    burstIntervals: number;
    /** Multiple of the usual forecast error that is added to each expert. */
    errorMultiple: number;
}

/** What operators choose between in the document: level ranks, or few moves. */
export const planPresets = {
    skew: { targetSkew: 1.005, minGain: 0.00005, movesPerInterval: 0.04, burstIntervals: 3, errorMultiple: 0 },
    cost: { targetSkew: 1.01, minGain: 0.0005, movesPerInterval: 0.008, burstIntervals: 30, errorMultiple: 0 },
} as const satisfies Record<string, PlanParameters>;
export type PlanPreset = keyof typeof planPresets;

export const MoveReason = { exchange: "exchange", replicate: "replicate" } as const;
export type MoveReason = (typeof MoveReason)[keyof typeof MoveReason];

/** A rank loads `expert` into the slot that held `dropped`. */
export interface Move {
    slot: number;
    expert: number;
    dropped: number;
    reason: MoveReason;
    /** Predicted skew before and after. */
    skewBefore: number;
    skewAfter: number;
}

export interface PlanInput {
    placement: LayerPlacement;
    /** Forecast tokens or shares by expert. */
    forecast: ArrayLike<number>;
    /** Speed of each rank relative to a sound one; all 1 when absent. */
    speeds?: number[];
    /** Moves that may be used now. */
    budget: number;
    /** Whether the document forbids moves at this time. */
    isFrozen?: boolean;
    /** Experts that are new to a rank, at most; without bound when absent. */
    spare?: number;
    /** Stands for a slot that holds nothing: an expert without load that ranks need not load. */
    emptyExpert?: number;
}

export type PlanResult = { kind: "move"; moves: Move[]; placement: LayerPlacement; } | {
    kind: "stay";
    reason: string;
};

/** Exponent of the soft maximum; higher ones look at the heaviest ranks only. */
const softness = 16;
/** Relative error of sums of loads. */
const rounding = 1e-12;
/** Heaviest ranks that are looked at for one change. */
const ranksTried = 4;

interface Search {
    placement: LayerPlacement;
    forecast: ArrayLike<number>;
    copies: Int32Array;
    /** Slots that hold each expert. */
    slots: number[][];
    loads: Float64Array;
    powers: Float64Array;
    speeds: number[] | undefined;
    mean: number;
    rules: SpareRules | undefined;
}

/** What each rank held at first, for the bound on new experts. */
interface SpareRules {
    spare: number;
    emptyExpert: number | undefined;
    held: Set<number>[];
}

/** One candidate: slots that change and the loads that follow. */
interface Candidate {
    changes: { slot: number; expert: number; }[];
    gainPerMove: number;
}

/** Plans the moves of one layer, the most useful ones first. */
export function planLayer(input: PlanInput, weights: PlanParameters): PlanResult {
    const refusal = explainStay(input, weights);
    if (refusal !== undefined) {
        return { kind: "stay", reason: refusal };
    }
    const search = createSearch(input);
    const moves: Move[] = [];
    const skewAtFirst = computeMax(search);
    let kept = { moves: 0, experts: search.placement.experts };
    let left = Math.floor(input.budget);
    while (left > 0 && computeMax(search) > weights.targetSkew) {
        const candidate = findCandidate(search, left, weights.minGain);
        if (candidate === undefined) {
            break;
        }
        left -= candidate.changes.length;
        moves.push(...applyCandidate(search, candidate));
        if (computeMax(search) <= skewAtFirst * (1 + rounding)) {
            kept = { moves: moves.length, experts: Int32Array.from(search.placement.experts) };
        }
    }
    if (kept.moves === 0) {
        return { kind: "stay", reason: "no move brings more than it costs" };
    }
    const placement = { ...search.placement, experts: kept.experts };
    return { kind: "move", moves: moves.slice(0, kept.moves), placement };
}

function explainStay(input: PlanInput, weights: PlanParameters): string | undefined {
    if (input.isFrozen === true) {
        return "the document forbids moves at this time";
    }
    if (input.budget < 1) {
        return "the budget of moves is used up";
    }
    const loads = computeRankLoads(input.placement, input.forecast, input.speeds);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const skew = mean === 0 ? 1 : Math.max(...loads) / mean;
    return skew <= weights.targetSkew ? `the predicted skew ${skew.toFixed(3)} is within the target` : undefined;
}

function createSearch({ placement, forecast, speeds, spare, emptyExpert }: PlanInput): Search {
    const experts = Int32Array.from(placement.experts);
    const loads = computeRankLoads(placement, forecast, speeds);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const powers = loads.map(load => computePower(load / mean));
    const copies = countReplicas(placement, forecast.length);
    const slots: number[][] = Array.from(copies, () => []);
    experts.forEach((expert, slot) => slots[expert].push(slot));
    const rules = spare === undefined ? undefined : { spare, emptyExpert, held: listHeld(placement) };
    return { placement: { ...placement, experts }, forecast, copies, slots, loads, powers, speeds, mean, rules };
}

function listHeld({ experts, slotsPerRank, ranks }: LayerPlacement): Set<number>[] {
    return Array.from(
        { length: ranks },
        (ignored, rank) => new Set(experts.subarray(rank * slotsPerRank, (rank + 1) * slotsPerRank)),
    );
}

/** Whether `rank` may take `expert` in place of what `slot` holds, within the bound on new experts. */
function hasRoom(search: Search, rank: number, expert: number, slot: number): boolean {
    const { rules, placement: { experts, slotsPerRank } } = search;
    if (rules === undefined || expert === rules.emptyExpert || rules.held[rank].has(expert)) {
        return true;
    }
    let added = 1;
    for (let other = rank * slotsPerRank; other < (rank + 1) * slotsPerRank; other++) {
        const isNew = experts[other] !== rules.emptyExpert && !rules.held[rank].has(experts[other]);
        added += Number(other !== slot && isNew);
    }
    return added <= rules.spare;
}

function computeMax(search: Search): number {
    return Math.max(...search.loads) / search.mean;
}

function computePower(value: number): number {
    const square = value * value;
    const fourth = square * square;
    const eighth = fourth * fourth;
    return eighth * eighth;
}

function getSpeed(search: Search, rank: number): number {
    return search.speeds?.[rank] ?? 1;
}

/** Finds a change worth making on the heaviest rank, or else on the next ones. */
function findCandidate(search: Search, left: number, minGain: number): Candidate | undefined {
    const order = Array.from(search.loads.keys()).sort((a, b) => search.loads[b] - search.loads[a]);
    for (const rank of order.slice(0, ranksTried)) {
        const candidate = findRankCandidate(search, rank, left);
        if (candidate !== undefined && candidate.gainPerMove >= minGain) {
            return candidate;
        }
    }
    return undefined;
}

/** Finds the change that relieves `heaviest` with the largest drop of the soft maximum per moved expert. */
function findRankCandidate(search: Search, heaviest: number, left: number): Candidate | undefined {
    const total = search.powers.reduce((sum, power) => sum + power, 0);
    let gainPerMove = 0;
    let changes: Candidate["changes"] = [];
    const offer: Offer = (drop, slot, expert, other) => {
        const gain = drop / total / softness / (other === undefined ? 1 : 2);
        if (gain > gainPerMove) {
            gainPerMove = gain;
            changes = [{ slot, expert }];
            if (other !== undefined) {
                changes.push({ slot: other, expert: search.placement.experts[slot] });
            }
        }
    };
    if (left >= 2) {
        visitExchanges(search, heaviest, offer);
    }
    visitCopies(search, heaviest, offer);
    visitReplacements(search, heaviest, offer);
    return changes.length === 0 ? undefined : { changes, gainPerMove };
}

/** Takes in a change of `slot` to `expert`; with `other`, that slot gets the expert of `slot` in exchange. */
type Offer = (drop: number, slot: number, expert: number, other?: number) => void;

/** Exchanges an expert of the heaviest rank for a lighter one of another rank. */
function visitExchanges(search: Search, heaviest: number, offer: Offer): void {
    const { placement: { experts, slotsPerRank, ranks }, forecast, copies, loads, powers, mean } = search;
    const start = heaviest * slotsPerRank;
    for (let slot = start; slot < start + slotsPerRank; slot++) {
        const given = forecast[experts[slot]] / copies[experts[slot]];
        for (let rank = 0; rank < ranks; rank++) {
            if (rank === heaviest || hasExpert(search, rank, experts[slot])) {
                continue;
            }
            for (let other = rank * slotsPerRank; other < (rank + 1) * slotsPerRank; other++) {
                const taken = forecast[experts[other]] / copies[experts[other]];
                if (taken >= given || hasExpert(search, heaviest, experts[other])) {
                    continue;
                }
                if (!hasRoom(search, rank, experts[slot], other) || !hasRoom(search, heaviest, experts[other], slot)) {
                    continue;
                }
                const delta = given - taken;
                const after = computePower((loads[heaviest] - delta / getSpeed(search, heaviest)) / mean) +
                    computePower((loads[rank] + delta / getSpeed(search, rank)) / mean);
                const drop = powers[heaviest] + powers[rank] - after;
                offer(drop, slot, experts[other], other);
            }
        }
    }
}

/** Puts a further copy of an expert of the heaviest rank in place of a spare copy elsewhere. */
function visitCopies(search: Search, heaviest: number, offer: Offer): void {
    const { experts, slotsPerRank } = search.placement;
    for (let slot = heaviest * slotsPerRank; slot < (heaviest + 1) * slotsPerRank; slot++) {
        for (let other = 0; other < experts.length; other++) {
            visitReplacement(search, other, experts[slot], offer);
        }
    }
}

/** Replaces a copy on the heaviest rank, where another copy exists, by any other expert. */
function visitReplacements(search: Search, heaviest: number, offer: Offer): void {
    const { slotsPerRank } = search.placement;
    for (let slot = heaviest * slotsPerRank; slot < (heaviest + 1) * slotsPerRank; slot++) {
        for (let expert = 0; expert < search.copies.length; expert++) {
            visitReplacement(search, slot, expert, offer);
        }
    }
}

function visitReplacement(search: Search, slot: number, expert: number, offer: Offer): void {
    const { experts, slotsPerRank } = search.placement;
    const dropped = experts[slot];
    const rank = Math.floor(slot / slotsPerRank);
    const isNeeded = search.copies[dropped] < 2 && dropped !== search.rules?.emptyExpert;
    if (dropped === expert || isNeeded || hasExpert(search, rank, expert) || !hasRoom(search, rank, expert, slot)) {
        return;
    }
    offer(computeReplacementDrop(search, slot, expert), slot, expert);
}

function computeReplacementDrop(search: Search, slot: number, expert: number): number {
    const { placement: { experts, slotsPerRank }, forecast, copies, loads, powers, mean } = search;
    const dropped = experts[slot];
    const own = Math.floor(slot / slotsPerRank);
    const gained = forecast[expert] / (copies[expert] + 1);
    const relief = forecast[expert] / copies[expert] - gained;
    const lost = forecast[dropped] / copies[dropped];
    const burden = copies[dropped] === 1 ? 0 : forecast[dropped] / (copies[dropped] - 1) - lost;
    let drop = powers[own] - computePower((loads[own] + (gained - lost) / getSpeed(search, own)) / mean);
    const addShift = (index: number, shift: number) => {
        const rank = Math.floor(index / slotsPerRank);
        if (index !== slot) {
            drop += powers[rank] - computePower((loads[rank] + shift / getSpeed(search, rank)) / mean);
        }
    };
    search.slots[expert].forEach(index => addShift(index, -relief));
    search.slots[dropped].forEach(index => addShift(index, burden));
    return drop;
}

function hasExpert(search: Search, rank: number, expert: number): boolean {
    const { experts, slotsPerRank } = search.placement;
    for (let slot = rank * slotsPerRank; slot < (rank + 1) * slotsPerRank; slot++) {
        if (experts[slot] === expert) {
            return true;
        }
    }
    return false;
}

function applyCandidate(search: Search, candidate: Candidate): Move[] {
    const { experts } = search.placement;
    const skewBefore = computeMax(search);
    const moves = candidate.changes.map(({ slot, expert }) => ({ slot, expert, dropped: experts[slot] }));
    moves.forEach(({ slot, expert, dropped }) => {
        experts[slot] = expert;
        search.slots[dropped].splice(search.slots[dropped].indexOf(slot), 1);
        search.slots[expert].push(slot);
        search.copies[dropped] -= 1;
        search.copies[expert] += 1;
    });
    search.loads = computeRankLoads(search.placement, search.forecast, search.speeds);
    search.powers = search.loads.map(load => computePower(load / search.mean));
    const skewAfter = computeMax(search);
    const reason = moves.length === 2 ? MoveReason.exchange : MoveReason.replicate;
    return moves.map(move => ({ ...move, reason, skewBefore, skewAfter }));
}
