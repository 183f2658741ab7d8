/** Compact encoding of token counts: a rank holds few of the experts, so only experts with tokens are sent. */

/** By layer: a flat list of alternating experts and their tokens. */
export type EncodedCounts = number[][];

/** Encodes the token counts of one rank, given by layer, then expert. */
export function encodeCounts(counts: number[][]): EncodedCounts {
    return counts.map(layer => layer.flatMap((count, expert) => count > 0 ? [expert, Math.round(count)] : []));
}

/** Sums the counts of all ranks in one layer; returns tokens by expert. */
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
