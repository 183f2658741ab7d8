import { describe, expect, test } from "vitest";
import { parseRateLimit } from "../rateLimitField.js";

describe("the rate limit that a response names", () => {
    test.each<[string[], ReturnType<typeof parseRateLimit>]>([
        [[], { kind: "none" }],
        [["4"], { kind: "limit", requestsPerSecond: 4, isRepeated: false }],
        [[" 0.5 "], { kind: "limit", requestsPerSecond: 0.5, isRepeated: false }],
        [[".25"], { kind: "limit", requestsPerSecond: 0.25, isRepeated: false }],
        [["3."], { kind: "limit", requestsPerSecond: 3, isRepeated: false }],
        [["0"], { kind: "limit", requestsPerSecond: 0, isRepeated: false }],
        [["99999999999999999999"], { kind: "limit", requestsPerSecond: 1e20, isRepeated: false }],
        [["4", "3"], { kind: "limit", requestsPerSecond: 3, isRepeated: true }],
        [["4, 3"], { kind: "limit", requestsPerSecond: 3, isRepeated: true }],
        [["many", "3"], { kind: "limit", requestsPerSecond: 3, isRepeated: true }],
        [[""], { kind: "invalid" }],
        [["-1"], { kind: "invalid" }],
        [["1e3"], { kind: "invalid" }],
        [["0x10"], { kind: "invalid" }],
        [["Infinity"], { kind: "invalid" }],
        [["9".repeat(400)], { kind: "invalid" }],
        [["4 a second"], { kind: "invalid" }],
    ])("%j", (values, expected) => {
        expect(parseRateLimit(values)).toEqual(expected);
    });
});
