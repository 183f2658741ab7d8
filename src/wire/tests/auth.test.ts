import { describe, expect, it } from "vitest";
import { type CallToSign, createNonceCache, signCall, verifyCall } from "../auth.js";

const keys = ["key-one-of-the-pair", "key-two-of-the-pair"];
const call: CallToSign = { environment: "production", path: "/rpc", body: "{}", target: "slot.1" };
const signedAt = 100_000;

describe("verifyCall", () => {
    const verify = (header: string | undefined, changes: Partial<CallToSign> = {}, now = signedAt, pair = keys) =>
        verifyCall(pair, { ...call, ...changes }, header, now, createNonceCache(90_000));
    const header = signCall(keys, call, signedAt);
    const untargeted = signCall(keys, { ...call, target: undefined }, signedAt);
    const [time, nonce, target, signature] = header.split(".");

    it.each([
        ["the call as signed", verify(header), true],
        ["a key that is now the second", verify(header, {}, signedAt, ["new-first-key-here", keys[0]]), true],
        ["a retired key", verify(header, {}, signedAt, ["new-first-key-here", keys[1]]), false],
        ["another environment", verify(header, { environment: "trial" }), false],
        ["another path", verify(header, { path: "/run" }), false],
        ["another body", verify(header, { body: "[]" }), false],
        ["another instance", verify(header, { target: "slot.2" }), false],
        ["the target cut out", verify([time, nonce, "", signature].join(".")), false],
        ["the old header without a target", verify(untargeted), true],
        ["at the window's end", verify(header, {}, signedAt + 30_000), true],
        ["after the window", verify(header, {}, signedAt + 30_001), false],
        ["before the window", verify(header, {}, signedAt - 30_001), false],
        ["a time that is no number", verify(["x", nonce, target, signature].join(".")), false],
        ["no header", verify(undefined), false],
        ["a short header", verify("1.2.3"), false],
        ["signed before this process started", verify(signCall(keys, call, 89_999), {}, 91_000), false],
    ])("%s", (name, accepted, expected) => {
        expect(accepted).toBe(expected);
    });

    it.each([0, 29_999, 30_000])("refuses a replay %d ms later", delayMs => {
        const cache = createNonceCache(0);
        const first = signCall(keys, call, signedAt + 30_000);
        expect(verifyCall(keys, call, first, signedAt, cache)).toBe(true);
        expect(verifyCall(keys, call, signCall(keys, call, signedAt + delayMs), signedAt + delayMs, cache)).toBe(true);
        expect(verifyCall(keys, call, first, signedAt + delayMs, cache)).toBe(false);
        expect(verifyCall(keys, call, first, signedAt + 60_000, cache)).toBe(false);
    });

    it("keeps the cache bounded and refuses when it is full", () => {
        const cache = createNonceCache(0);
        cache.current = new Set(Array.from({ length: 200_000 }, (item, index) => String(index)));
        cache.rotatedAt = signedAt;
        expect(verifyCall(keys, call, header, signedAt, cache)).toBe(false);
        const later = signedAt + 60_000;
        expect(verifyCall(keys, call, signCall(keys, call, later), later, cache)).toBe(true);
    });
});
