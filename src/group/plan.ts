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
const softMaxExponent = 16;
/** Relative error of sums of loads. */
const loadTolerance = 1e-12;
/** Heaviest ranks that are looked at for one change. */
const maxRanksSearched = 4;

interface Search {
    placement: LayerPlacement;
    forecast: ArrayLike<number>;
    replicas: Int32Array;
    /** Slots that hold each expert. */
    slotsByExpert: number[][];
    loads: Float64Array;
    powers: Float64Array;
    speeds: number[] | undefined;
    mean: number;
    newExpertLimit: NewExpertLimit | undefined;
}

/** What each rank held at first, for the bound on new experts. */
interface NewExpertLimit {
    spare: number;
    emptyExpert: number | undefined;
    initialExperts: Set<number>[];
}

/** One candidate: slots that change and the loads that follow. */
interface Candidate {
    changes: { slot: number; expert: number; }[];
    gainPerMove: number;
}

/** Plans the moves of one layer, the most useful ones first. */
export function planLayer(input: PlanInput, parameters: PlanParameters): PlanResult {
    const stayReason = explainNoMoves(input, parameters);
    if (stayReason !== undefined) {
        return { kind: "stay", reason: stayReason };
    }
    const search = createSearch(input);
    const moves: Move[] = [];
    const initialSkew = computeSearchSkew(search);
    let accepted = { moves: 0, experts: search.placement.experts };
    let remaining = Math.floor(input.budget);
    while (remaining > 0 && computeSearchSkew(search) > parameters.targetSkew) {
        const candidate = findCandidate(search, remaining, parameters.minGain);
        if (candidate === undefined) {
            break;
        }
        remaining -= candidate.changes.length;
        moves.push(...applyCandidate(search, candidate));
        if (computeSearchSkew(search) <= initialSkew * (1 + loadTolerance)) {
            accepted = { moves: moves.length, experts: Int32Array.from(search.placement.experts) };
        }
    }
    if (accepted.moves === 0) {
        return { kind: "stay", reason: "no move brings more than it costs" };
    }
    const placement = { ...search.placement, experts: accepted.experts };
    return { kind: "move", moves: moves.slice(0, accepted.moves), placement };
}

function explainNoMoves(input: PlanInput, parameters: PlanParameters): string | undefined {
    if (input.isFrozen === true) {
        return "the document forbids moves at this time";
    }
    if (input.budget < 1) {
        return "the budget of moves is used up";
    }
    const loads = computeRankLoads(input.placement, input.forecast, input.speeds);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const skew = mean === 0 ? 1 : Math.max(...loads) / mean;
    return skew <= parameters.targetSkew ? `the predicted skew ${skew.toFixed(3)} is within the target` : undefined;
}

function createSearch({ placement, forecast, speeds, spare, emptyExpert }: PlanInput): Search {
    const experts = Int32Array.from(placement.experts);
    const loads = computeRankLoads(placement, forecast, speeds);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    const powers = loads.map(load => computeSoftMaxPower(load / mean));
    const replicas = countReplicas(placement, forecast.length);
    const slotsByExpert: number[][] = Array.from(replicas, () => []);
    experts.forEach((expert, slot) => slotsByExpert[expert].push(slot));
    const newExpertLimit = spare === undefined ? undefined : { spare, emptyExpert, held: listExpertsByRank(placement) };
    return { placement: { ...placement, experts }, forecast, replicas: replicas, slotsByExpert: slotsByExpert, loads, powers, speeds, mean, newExpertLimit: newExpertLimit };
}

function listExpertsByRank({ experts, slotsPerRank, ranks }: LayerPlacement): Set<number>[] {
    return Array.from(
        { length: ranks },
        (ignored, rank) => new Set(experts.subarray(rank * slotsPerRank, (rank + 1) * slotsPerRank)),
    );
}

/** Whether `rank` may take `expert` in place of what `slot` holds, within the bound on new experts. */
function isWithinLimit(search: Search, rank: number, expert: number, slot: number): boolean {
    const { newExpertLimit: newExpertLimit, placement: { experts, slotsPerRank } } = search;
    if (newExpertLimit === undefined || expert === newExpertLimit.emptyExpert || newExpertLimit.initialExperts[rank].has(expert)) {
        return true;
    }
    let newExperts = 1;
    for (let other = rank * slotsPerRank; other < (rank + 1) * slotsPerRank; other++) {
        const isNew = experts[other] !== newExpertLimit.emptyExpert && !newExpertLimit.initialExperts[rank].has(experts[other]);
        newExperts += Number(other !== slot && isNew);
    }
    return newExperts <= newExpertLimit.spare;
}

function computeSearchSkew(search: Search): number {
    return Math.max(...search.loads) / search.mean;
}

function computeSoftMaxPower(value: number): number {
    const square = value * value;
    const fourth = square * square;
    const eighth = fourth * fourth;
    return eighth * eighth;
}

function getSpeed(search: Search, rank: number): number {
    return search.speeds?.[rank] ?? 1;
}

/** Finds a change worth making on the heaviest rank, or else on the next ones. */
function findCandidate(search: Search, remaining: number, minGain: number): Candidate | undefined {
    const order = Array.from(search.loads.keys()).sort((a, b) => search.loads[b] - search.loads[a]);
    for (const rank of order.slice(0, maxRanksSearched)) {
        const candidate = findRankCandidate(search, rank, remaining);
        if (candidate !== undefined && candidate.gainPerMove >= minGain) {
            return candidate;
        }
    }
    return undefined;
}

/** Finds the change that relieves `heaviest` with the largest drop of the soft maximum per moved expert. */
function findRankCandidate(search: Search, heaviest: number, remaining: number): Candidate | undefined {
    const total = search.powers.reduce((sum, power) => sum + power, 0);
    let gainPerMove = 0;
    let changes: Candidate["changes"] = [];
    const tryChange: TryChange = (reduction, slot, expert, other) => {
        const gain = reduction / total / softMaxExponent / (other === undefined ? 1 : 2);
        if (gain > gainPerMove) {
            gainPerMove = gain;
            changes = [{ slot, expert }];
            if (other !== undefined) {
                changes.push({ slot: other, expert: search.placement.experts[slot] });
            }
        }
    };
    if (remaining >= 2) {
        visitExchanges(search, heaviest, tryChange);
    }
    visitReplications(search, heaviest, tryChange);
    visitReplacements(search, heaviest, tryChange);
    return changes.length === 0 ? undefined : { changes, gainPerMove };
}

/** Takes in a change of `slot` to `expert`; with `other`, that slot gets the expert of `slot` in exchange. */
type TryChange = (reduction: number, slot: number, expert: number, other?: number) => void;

/** Exchanges an expert of the heaviest rank for a lighter one of another rank. */
function visitExchanges(search: Search, heaviest: number, tryChange: TryChange): void {
    const { placement: { experts, slotsPerRank, ranks }, forecast, replicas: replicas, loads, powers, mean } = search;
    const start = heaviest * slotsPerRank;
    for (let slot = start; slot < start + slotsPerRank; slot++) {
        const heavyLoad = forecast[experts[slot]] / replicas[experts[slot]];
        for (let rank = 0; rank < ranks; rank++) {
            if (rank === heaviest || hasExpert(search, rank, experts[slot])) {
                continue;
            }
            for (let other = rank * slotsPerRank; other < (rank + 1) * slotsPerRank; other++) {
                const lightLoad = forecast[experts[other]] / replicas[experts[other]];
                if (lightLoad >= heavyLoad || hasExpert(search, heaviest, experts[other])) {
                    continue;
                }
                if (!isWithinLimit(search, rank, experts[slot], other) || !isWithinLimit(search, heaviest, experts[other], slot)) {
                    continue;
                }
                const delta = heavyLoad - lightLoad;
                const after = computeSoftMaxPower((loads[heaviest] - delta / getSpeed(search, heaviest)) / mean) +
                    computeSoftMaxPower((loads[rank] + delta / getSpeed(search, rank)) / mean);
                const reduction = powers[heaviest] + powers[rank] - after;
                tryChange(reduction, slot, experts[other], other);
            }
        }
    }
}

/** Puts a further copy of an expert of the heaviest rank in place of a spare copy elsewhere. */
function visitReplications(search: Search, heaviest: number, tryChange: TryChange): void {
    const { experts, slotsPerRank } = search.placement;
    for (let slot = heaviest * slotsPerRank; slot < (heaviest + 1) * slotsPerRank; slot++) {
        for (let other = 0; other < experts.length; other++) {
            visitReplacement(search, other, experts[slot], tryChange);
        }
    }
}

/** Replaces a copy on the heaviest rank, where another copy exists, by any other expert. */
function visitReplacements(search: Search, heaviest: number, tryChange: TryChange): void {
    const { slotsPerRank } = search.placement;
    for (let slot = heaviest * slotsPerRank; slot < (heaviest + 1) * slotsPerRank; slot++) {
        for (let expert = 0; expert < search.replicas.length; expert++) {
            visitReplacement(search, slot, expert, tryChange);
        }
    }
}

function visitReplacement(search: Search, slot: number, expert: number, tryChange: TryChange): void {
    const { experts, slotsPerRank } = search.placement;
    const dropped = experts[slot];
    const rank = Math.floor(slot / slotsPerRank);
    const isNeeded = search.replicas[dropped] < 2 && dropped !== search.newExpertLimit?.emptyExpert;
    if (dropped === expert || isNeeded || hasExpert(search, rank, expert) || !isWithinLimit(search, rank, expert, slot)) {
        return;
    }
    tryChange(computeReplacementReduction(search, slot, expert), slot, expert);
}

function computeReplacementReduction(search: Search, slot: number, expert: number): number {
    const { placement: { experts, slotsPerRank }, forecast, replicas: replicas, loads, powers, mean } = search;
    const dropped = experts[slot];
    const ownRank = Math.floor(slot / slotsPerRank);
    const addedLoad = forecast[expert] / (replicas[expert] + 1);
    const loadDropPerReplica = forecast[expert] / replicas[expert] - addedLoad;
    const removedLoad = forecast[dropped] / replicas[dropped];
    const loadRisePerReplica = replicas[dropped] === 1 ? 0 : forecast[dropped] / (replicas[dropped] - 1) - removedLoad;
    let reduction = powers[ownRank] - computeSoftMaxPower((loads[ownRank] + (addedLoad - removedLoad) / getSpeed(search, ownRank)) / mean);
    const addLoadShift = (index: number, shift: number) => {
        const rank = Math.floor(index / slotsPerRank);
        if (index !== slot) {
            reduction += powers[rank] - computeSoftMaxPower((loads[rank] + shift / getSpeed(search, rank)) / mean);
        }
    };
    search.slotsByExpert[expert].forEach(index => addLoadShift(index, -loadDropPerReplica));
    search.slotsByExpert[dropped].forEach(index => addLoadShift(index, loadRisePerReplica));
    return reduction;
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
    const skewBefore = computeSearchSkew(search);
    const moves = candidate.changes.map(({ slot, expert }) => ({ slot, expert, dropped: experts[slot] }));
    moves.forEach(({ slot, expert, dropped }) => {
        experts[slot] = expert;
        search.slotsByExpert[dropped].splice(search.slotsByExpert[dropped].indexOf(slot), 1);
        search.slotsByExpert[expert].push(slot);
        search.replicas[dropped] -= 1;
        search.replicas[expert] += 1;
    });
    search.loads = computeRankLoads(search.placement, search.forecast, search.speeds);
    search.powers = search.loads.map(load => computeSoftMaxPower(load / search.mean));
    const skewAfter = computeSearchSkew(search);
    const reason = moves.length === 2 ? MoveReason.exchange : MoveReason.replicate;
    return moves.map(move => ({ ...move, reason, skewBefore, skewAfter }));
}
