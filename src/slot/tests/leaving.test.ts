import { expect, it } from "vitest";
import { createLeavingState, observeListedState } from "../leaving.js";

it.each(
    [
        { name: "live, then leaving", seen: [[1, "live"], [2000, "leaving"]], leaving: true },
        { name: "an earlier process as leaving", seen: [[1, "leaving"], [5000, "leaving"]], leaving: false },
        { name: "leaving for longer than it lags", seen: [[1, "leaving"], [30_001, "leaving"]], leaving: true },
        { name: "an earlier process, then this one", seen: [[1, "leaving"], [5000, "live"]], leaving: false },
        { name: "nothing", seen: [[1, undefined]], leaving: false },
    ] as const,
)("a list that shows $name: leaving $leaving", ({ seen, leaving }) => {
    const watch = createLeavingState(0);
    const results = seen.map(([time, state]) => observeListedState(watch, state, time));
    expect(results[results.length - 1]).toBe(leaving);
});
