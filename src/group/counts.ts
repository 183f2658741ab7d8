/** Compact counts of tokens: each rank sends only the experts that it holds. */

/** By layer: expert, tokens, expert, tokens and so on. */
export type EncodedCounts = number[][];

/** Encodes the counts of one rank, given by layer, then expert. */
export function encodeCounts(counts: number[][]): EncodedCounts {
    return counts.map(layer => layer.flatMap((count, expert) => count > 0 ? [expert, Math.round(count)] : []));
}

/** Sums the counts of all ranks in one layer. */
export function sumLayerCounts(ranks: EncodedCounts[], layer: number, experts: number): number[] {
    const total = new Array<number>(experts).fill(0);
    for (const encoded of ranks) {
        const pairs = encoded[layer] ?? [];
        for (let index = 0; index < pairs.length; index += 2) {
            total[pairs[index]] += pairs[index + 1];
        }
    }
    return total;
}

/** Sums the tokens of one rank over all layers. */
export function sumRankTokens(encoded: EncodedCounts): number {
    return encoded.reduce(
        (sum, pairs) => sum + pairs.reduce((layer, value, index) => layer + (index % 2 === 1 ? value : 0), 0),
        0,
    );
}
