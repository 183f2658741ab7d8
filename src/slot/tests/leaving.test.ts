import { expect, it } from "vitest";
import { createLeavingState, observeListedState } from "../leaving.js";

it.each(
    [
        { name: "live, then leaving", observations: [[1, "live"], [2000, "leaving"]], leaving: true },
        { name: "an earlier process as leaving", observations: [[1, "leaving"], [5000, "leaving"]], leaving: false },
        { name: "leaving for longer than it lags", observations: [[1, "leaving"], [30_001, "leaving"]], leaving: true },
        { name: "an earlier process, then this one", observations: [[1, "leaving"], [5000, "live"]], leaving: false },
        { name: "nothing", observations: [[1, undefined]], leaving: false },
    ] as const,
)("a list that shows $name: leaving $leaving", ({ observations, leaving }) => {
    const leavingState = createLeavingState(0);
    const results = observations.map(([time, state]) => observeListedState(leavingState, state, time));
    expect(results[results.length - 1]).toBe(leaving);
});
