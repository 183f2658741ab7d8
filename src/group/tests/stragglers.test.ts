import { expect, it } from "vitest";
import { createStragglerState, getPlanSpeeds, observeRanks, type RankObservation } from "../stragglers.js";

const healthy: RankObservation = { tokens: 100, busyMs: 10, step: 0 };

function observeIntervals(observe: (interval: number) => RankObservation[], intervals: number) {
    const state = createStragglerState(4);
    const changes = Array.from({ length: intervals }, (change, interval) => observeRanks(state, observe(interval)))
        .flat();
    return { changes: changes.map(({ rank, verdict }) => `${rank} ${verdict}`), speeds: getPlanSpeeds(state) };
}

it.each([
    {
        name: "a rank that needs twice the time for the same tokens is slow and gets less load",
        observe: (step: number) => [{ ...healthy, busyMs: 20, step }, ...[1, 2, 3].map(() => ({ ...healthy, step }))],
        changes: ["0 slow"],
        isSlowed: true,
    },
    {
        name: "a rank with twice the tokens in twice the time is hot, not slow",
        observe: (step: number) => [
            { tokens: 200, busyMs: 20, step },
            ...[1, 2, 3].map(() => ({ ...healthy, step })),
        ],
        changes: ["0 hot"],
        isSlowed: false,
    },
    {
        name: "the rank that the others wait for is stalled",
        observe: () => [{ ...healthy, step: 6 }, ...[1, 2, 3].map(() => ({ ...healthy, step: 7 }))],
        changes: ["0 stalled"],
        isSlowed: false,
    },
    {
        name: "one late reading changes nothing",
        observe: (step: number) => [
            { ...healthy, busyMs: step === 5 ? 14 : 10, step },
            ...[1, 2, 3].map(() => ({ ...healthy, step })),
        ],
        changes: [],
        isSlowed: false,
    },
])("$name", ({ observe, changes, isSlowed }) => {
    const result = observeIntervals(observe, 20);
    expect(result.changes).toEqual(changes);
    expect(result.speeds[0] < 0.7).toBe(isSlowed);
});
