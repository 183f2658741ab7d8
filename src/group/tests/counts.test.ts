import { expect, it } from "vitest";
import { encodeCounts, sumLayerCounts, sumRankTokens } from "../counts.js";

const layers = 60;
const experts = 256;
const slotsPerRank = 3;
const ranksPerNode = 4;
const intervalSeconds = 60;
const maxBytesPerSecond = 4096;

it("sums what ranks have encoded", () => {
    const ranks = [[[0, 5, 0, 7]], [[0, 0, 2, 7]]].map(encodeCounts);
    expect({ total: sumLayerCounts(ranks, 0, 4), tokens: ranks.map(sumRankTokens) }).toMatchInlineSnapshot(`
      {
        "tokens": [
          12,
          9,
        ],
        "total": [
          0,
          5,
          2,
          14,
        ],
      }
    `);
});

it("keeps the counts of a node of four ranks under its share of control traffic", () => {
    const counts = Array.from(
        { length: layers },
        () => Array.from({ length: experts }, (count, expert) => expert < slotsPerRank ? 9_999_999 : 0),
    );
    const bytes = JSON.stringify(encodeCounts(counts)).length;
    expect(bytes * ranksPerNode / intervalSeconds).toBeLessThan(maxBytesPerSecond);
    expect(bytes).toMatchInlineSnapshot(`1921`);
});
