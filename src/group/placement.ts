/** Loads of ranks under a placement of one layer's experts. */

/** Placement of one layer: `experts[rank * slotsPerRank + slot]` is an expert; copies share its tokens evenly. */
export interface LayerPlacement {
    ranks: number;
    slotsPerRank: number;
    experts: Int32Array;
}

/** Counts the copies of each expert. */
export function countReplicas(placement: LayerPlacement, expertCount: number): Int32Array {
    const replicas = new Int32Array(expertCount);
    placement.experts.forEach(expert => replicas[expert] += 1);
    return replicas;
}

/** Sums the tokens that each rank gets, divided by the rank's speed. */
export function computeRankLoads(
    placement: LayerPlacement,
    counts: ArrayLike<number>,
    speeds?: number[],
): Float64Array {
    const replicas = countReplicas(placement, counts.length);
    const loads = new Float64Array(placement.ranks);
    placement.experts.forEach((expert, index) => {
        const rank = Math.floor(index / placement.slotsPerRank);
        loads[rank] += counts[expert] / replicas[expert] / (speeds?.[rank] ?? 1);
    });
    return loads;
}

/** Computes the largest rank load over the mean one; 1 when there is no load. */
export function computeSkew(placement: LayerPlacement, counts: ArrayLike<number>): number {
    const loads = computeRankLoads(placement, counts);
    const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
    return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/** Counts the experts that ranks have to load to get from `before` to `after`. */
export function countMoves(before: LayerPlacement, after: LayerPlacement): number {
    const { ranks, slotsPerRank } = before;
    let moves = 0;
    for (let rank = 0; rank < ranks; rank++) {
        const start = rank * slotsPerRank;
        const held = new Set(before.experts.subarray(start, start + slotsPerRank));
        const needed = new Set(after.experts.subarray(start, start + slotsPerRank));
        needed.forEach(expert => moves += held.has(expert) ? 0 : 1);
    }
    return moves;
}

/** Packs a layer afresh: copies for the hottest experts, then the heaviest copy first on the lightest rank. */
export function packLayer(counts: ArrayLike<number>, ranks: number, slotsPerRank: number): LayerPlacement {
    const replicas = allocateReplicas(counts, ranks * slotsPerRank, ranks);
    const items: { expert: number; load: number; }[] = [];
    replicas.forEach((count, expert) => {
        for (let replica = 0; replica < count; replica++) {
            items.push({ expert, load: counts[expert] / count });
        }
    });
    items.sort((a, b) => b.load - a.load || a.expert - b.expert);
    const experts = new Int32Array(ranks * slotsPerRank);
    const used = new Int32Array(ranks);
    const loads = new Float64Array(ranks);
    for (const { expert, load } of items) {
        const rank = findLightestRank(loads, used, slotsPerRank);
        experts[rank * slotsPerRank + used[rank]] = expert;
        used[rank] += 1;
        loads[rank] += load;
    }
    return { ranks, slotsPerRank, experts };
}

function allocateReplicas(counts: ArrayLike<number>, slots: number, maxReplicas: number): Int32Array {
    const replicas = new Int32Array(counts.length).fill(1);
    for (let remaining = slots - counts.length; remaining > 0; remaining--) {
        let hottest = 0;
        for (let expert = 1; expert < replicas.length; expert++) {
            const isHotter = counts[expert] / replicas[expert] > counts[hottest] / replicas[hottest];
            hottest = isHotter && replicas[expert] < maxReplicas || replicas[hottest] >= maxReplicas ? expert : hottest;
        }
        replicas[hottest] += 1;
    }
    return replicas;
}

function findLightestRank(loads: Float64Array, used: Int32Array, slotsPerRank: number): number {
    let lightest = -1;
    for (let rank = 0; rank < loads.length; rank++) {
        if (used[rank] < slotsPerRank && (lightest < 0 || loads[rank] < loads[lightest])) {
            lightest = rank;
        }
    }
    return lightest;
}
