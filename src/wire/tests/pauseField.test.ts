import { expect, test } from "vitest";
import { parsePause } from "../pauseField.js";

test.each<[string[], ReturnType<typeof parsePause>]>([
    [[], { kind: "none" }],
    [["4"], { kind: "pause", ms: 4000 }],
    [["0.25"], { kind: "pause", ms: 250 }],
    [[" .5 "], { kind: "pause", ms: 500 }],
    [["0"], { kind: "pause", ms: 0 }],
    [["-1"], { kind: "invalid" }],
    [["1e3"], { kind: "invalid" }],
    [["Infinity"], { kind: "invalid" }],
    [[""], { kind: "invalid" }],
    [["soon"], { kind: "invalid" }],
    [["Sat, 05 Dec 2026 15:00:00 GMT"], { kind: "invalid" }],
    [["9".repeat(400)], { kind: "pause", ms: Infinity }],
    [["1", "3"], { kind: "pause", ms: 3000 }],
    [["x", "2"], { kind: "pause", ms: 2000 }],
])("a pause of %j seconds", (values, expected) => {
    expect(parsePause(values)).toEqual(expected);
});
