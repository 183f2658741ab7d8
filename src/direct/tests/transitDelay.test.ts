import { expect, test } from "vitest";
import { createTransitDelays } from "../transitDelay.js";

/** Measures messages, each sent at a time of the peer's clock and received at a time of ours. */
function measureAll(messages: [sentAt: number, receivedAt: number][]): number[] {
    let time = 0;
    const delays = createTransitDelays(() => time);
    return messages.map(([sentAt, receivedAt]) => {
        time = receivedAt;
        return delays.measure("peer", sentAt);
    });
}

test.each<[string, [number, number][], number[]]>([
    ["clocks differ by a constant", [[5000, 100], [5200, 300], [5400, 500]], [0, 0, 0]],
    ["a queue builds up and empties", [[0, 10], [200, 510], [400, 1410], [600, 1420], [1500, 1510]], [
        0,
        300,
        1000,
        810,
        0,
    ]],
    ["the first message was late", [[0, 1000], [200, 210], [400, 1000]], [0, 0, 590]],
    ["the peer was suspended with messages on the way", [[0, 10], [200, 4210], [4200, 4210]], [0, 4000, 0]],
    ["the peer's clock has lost time for good", [[0, 10], [200, 4210], [30_000, 34_010], [64_000, 68_010]], [
        0,
        4000,
        4000,
        0,
    ]],
])("the delay beyond the shortest one lately is measured: %s", (title, messages, expected) => {
    expect(measureAll(messages)).toEqual(expected);
});
