import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type ClaimRules, simulateClaims } from "../../bench/claimSimulation.js";
import { claimRules } from "../../bench/explore-claims.js";
import { claimWindowMs, maxClockAheadMs, safeParseIdempotencyKey } from "../claims.js";

const runs = 5000;
const seed = 20261203;
const { handleClaimEvent, registerKey } = claimRules;

function findViolation(rules: ClaimRules): string | undefined {
    let violation: string | undefined;
    fc.check(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), schedule => {
            const { violations } = simulateClaims(rules, schedule);
            violation = violations.length > 0 ? `${violations[0]} (schedule ${schedule})` : violation;
            return violations.length === 0;
        }),
        { seed, numRuns: runs, endOnFailure: true },
    );
    return violation;
}

const faultyRules: Record<string, Partial<ClaimRules>> = {
    "an append counts as won without a look at earlier claims": {
        handleClaimEvent: (state, event) =>
            handleClaimEvent(state, event).map(action =>
                action.kind === "settle" && action.verdict === "lost" ? { ...action, verdict: "won" } : action
            ),
    },
    "a claim that was not found counts as won": {
        handleClaimEvent: (state, event) =>
            handleClaimEvent(state, event).map(action =>
                action.kind === "settle" && action.verdict === "failed" ? { ...action, verdict: "won" } : action
            ),
    },
    "a restarted slot takes over its keys": { formatIncarnation: slot => `slot-${slot}` },
    "a key is released although its run is unknown": { releasesKey: outcome => outcome !== "run" },
    "a remembered owner counts as won without a new claim": {
        handleClaimEvent: (state, event) => {
            const owner = event.kind === "claim" && !event.claim.release ?
                state.streams.get(event.claim.key.stream)?.owners.get(event.claim.key.hash) :
                undefined;
            return event.kind === "claim" && owner === event.claim.claimant ?
                [{ kind: "settle", claim: event.claim, verdict: "won" }] :
                handleClaimEvent(state, event);
        },
    },
    "a slot forgets what it ran": {
        registerKey: (keyedRuns, params, record, now) => {
            keyedRuns.runs.clear();
            return registerKey(keyedRuns, params, record, now);
        },
    },
    "stale keys are claimed, whatever the log still keeps": {
        registerKey: (keyedRuns, params, record, now) => {
            const registered = registerKey(keyedRuns, params, record, Math.min(now, 1_760_000_000_000));
            return registered.kind === "claim" ?
                { ...registered, key: { ...registered.key, closesAt: Infinity } } :
                registered;
        },
        handleClaimEvent: (state, event) =>
            handleClaimEvent(
                state,
                event.kind === "read" && event.result !== undefined ?
                    { ...event, result: { ...event.result, oldest: 0 } } :
                    event,
            ),
    },
};

describe("claims of keys", () => {
    it(`let no key run twice in ${runs} schedules of faults`, () => {
        expect(findViolation(claimRules)).toBeUndefined();
    });

    it.each(Object.entries(faultyRules))("let a key run twice when %s", (name, rules) => {
        expect(findViolation({ ...claimRules, ...rules })).toMatch(/ran \d times/);
    });

    it("let the same key of two workspaces run once each when nothing fails", () => {
        for (let schedule = 0; schedule < 200; schedule++) {
            const { violations, effects, requested } = simulateClaims(claimRules, schedule, false);
            expect([violations, [...effects.keys()].sort()]).toEqual([[], [...requested].sort()]);
        }
    });
});

describe("keys", () => {
    const now = 1_760_000_030_000;
    const formatTimestamp = (time: number) => time.toString(16).padStart(12, "0").replace(/^(.{8})(.{4})$/, "$1-$2");
    const createKey = (time: number) => `${formatTimestamp(time)}-7abc-8abc-0123456789ab`;

    it.each([
        { name: "fresh", text: createKey(now), result: "claims-29333333-2" },
        { name: "of version 4", text: "f47ac10b-58cc-4372-a567-0e02b2c3d479", result: "unreadable" },
        { name: "no UUID", text: "claim-17", result: "unreadable" },
        { name: "past the window", text: createKey(now - claimWindowMs), result: "stale" },
        { name: "minted ahead of every clock", text: createKey(now + maxClockAheadMs + 1), result: "ahead" },
    ])("that are $name: $result", ({ text, result }) => {
        const parsed = safeParseIdempotencyKey("w", text, now);
        expect(parsed.success ? parsed.key.stream : parsed.reason).toBe(result);
    });
});
