import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { createForecast, forecastShares, observeCounts } from "../forecast.js";
import { computeSkew, countReplicas, countMoves, packLayer } from "../placement.js";
import { planLayer, planPresets } from "../plan.js";

const counts = fc.array(fc.integer({ min: 0, max: 10_000 }), { minLength: 8, maxLength: 8 });

describe("plan", () => {
    it("keeps every expert, stays within the budget and never raises the predicted skew", () => {
        fc.assert(
            fc.property(counts, counts, fc.integer({ min: 0, max: 9 }), (before, forecast, budget) => {
                const placement = packLayer(before, 4, 3);
                const result = planLayer({ placement, forecast, budget }, planPresets.skew);
                if (result.kind === "stay") {
                    return;
                }
                expect(Math.min(...countReplicas(result.placement, 8))).toBeGreaterThan(0);
                expect(countMoves(placement, result.placement)).toBeLessThanOrEqual(budget);
                expect(computeSkew(result.placement, forecast)).toBeLessThanOrEqual(
                    computeSkew(placement, forecast) + 1e-9,
                );
            }),
            { seed: 4, numRuns: 500 },
        );
    });

    it("gives an expert that has become hot a further copy and says why", () => {
        const placement = packLayer([10, 10, 10, 10], 4, 2);
        const result = planLayer({ placement, forecast: [80, 10, 10, 10], budget: 1 }, planPresets.cost);
        expect(result.kind === "move" && result.moves.map(({ expert, reason }) => ({ expert, reason })))
            .toMatchInlineSnapshot(`
              [
                {
                  "expert": 0,
                  "reason": "replicate",
                },
              ]
            `);
    });

    it.each([
        { name: "quiet window", input: { isQuiet: true, budget: 5, forecast: [80, 10, 10, 10] } },
        { name: "no budget", input: { budget: 0.5, forecast: [80, 10, 10, 10] } },
        { name: "level ranks", input: { budget: 5, forecast: [10, 10, 10, 10] } },
    ])("stays: $name", ({ input }) => {
        const placement = packLayer([10, 10, 10, 10], 4, 2);
        expect(planLayer({ placement, ...input }, planPresets.skew)).toMatchSnapshot();
    });

    it("takes load from a slow rank", () => {
        const forecast = [10, 11, 12, 13, 14, 15, 16, 17];
        const placement = packLayer(forecast, 4, 3);
        const result = planLayer({ placement, forecast, speeds: [0.5, 1, 1, 1], budget: 6 }, planPresets.skew);
        const share = (experts: Int32Array) =>
            experts.subarray(0, 3).reduce(
                (sum, e) => sum + forecast[e] / countReplicas({ ...placement, experts }, 8)[e],
                0,
            );
        expect(result.kind === "move" && share(result.placement.experts)).toBeLessThan(share(placement.experts));
    });

    it("forecasts a steady rise ahead of the last count", () => {
        const state = createForecast(2);
        [100, 110, 120, 130, 140].forEach(count => observeCounts(state, [count, 200 - count]));
        expect(forecastShares(state, 0)[0]).toBeGreaterThan(0.7);
    });
});
