import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { requestRules } from "../../bench/explore-requests.js";
import { type RequestRules, simulateRequests } from "../../bench/requestSimulation.js";
import type { AttemptEvent } from "../../entry/attempt.js";
import type { Frame } from "../../wire/messages.js";

const runs = 20_000;
const seed = 20261203;
const { advanceAttempt, beginRun, resumeRun } = requestRules;

function findViolation(rules: RequestRules, numRuns: number): string | undefined {
    let violation: string | undefined;
    fc.check(
        fc.property(fc.integer({ min: 1, max: 2 ** 31 - 1 }), schedule => {
            const violations = simulateRequests(rules, schedule);
            violation = violations.length > 0 ? `${violations[0]} (schedule ${schedule})` : violation;
            return violations.length === 0;
        }),
        { seed, numRuns, endOnFailure: true },
    );
    return violation;
}

function replaceFrame(change: (frame: Frame, state: { attempt: number; }) => Frame): RequestRules {
    return {
        ...requestRules,
        advanceAttempt: (state, event: AttemptEvent, now) =>
            advanceAttempt(
                state,
                event.kind === "frame" ? { ...event, frame: change(event.frame, state) } : event,
                now,
            ),
    };
}

const faultyRules: Record<string, { rules: RequestRules; expectedViolation: RegExp; }> = {
    "no tombstone on revocation": {
        rules: {
            ...requestRules,
            resumeRun: (store, params, now) => {
                const result = resumeRun(store, params, now);
                if (result.kind === "refuse") {
                    store.records.delete(`${params.requestId}/${params.attempt}`);
                }
                return result;
            },
        },
        expectedViolation: /not-run|effects/,
    },
    "no check of the incarnation": {
        rules: {
            ...requestRules,
            beginRun: (store, params, now) => beginRun(store, { ...params, incarnation: store.incarnation }, now),
        },
        expectedViolation: /effects/,
    },
    "runs without an incarnation": {
        rules: {
            ...requestRules,
            beginRun: (store, params, now) =>
                beginRun(store, { ...params, incarnation: params.incarnation ?? store.incarnation }, now),
        },
        expectedViolation: /effects/,
    },
    "retry on an unknown outcome": {
        rules: replaceFrame(frame =>
            frame.kind === "failed" && frame.outcome === "unknown" ? { ...frame, outcome: "not-run" } : frame
        ),
        expectedViolation: /not-run|effects/,
    },
    "unknown runs count as not-run after a restart": {
        rules: {
            ...requestRules,
            resumeRun: (store, params, now) => {
                const result = resumeRun(store, params, now);
                return result.kind === "refuse" ? { ...result, outcome: "not-run" } : result;
            },
        },
        expectedViolation: /not-run|effects/,
    },
    "a further copy of a run is refused as not-run": {
        rules: {
            ...requestRules,
            beginRun: (store, params, now) => {
                const result = beginRun(store, params, now);
                return result.kind === "replay" ? { kind: "refuse", status: 409, title: "known" } : result;
            },
        },
        expectedViolation: /not-run|effects/,
    },
    "copies of any age are accepted": {
        rules: { ...requestRules, isFresh: () => true },
        expectedViolation: /not-run|effects/,
    },
    "an answer ends without a check of its length": {
        rules: {
            ...requestRules,
            advanceAttempt: (state, event, now) =>
                advanceAttempt(
                    state,
                    event.kind === "frame" && event.frame.kind === "end" ?
                        { ...event, frame: { ...event.frame, length: state.bodyLength } } :
                        event,
                    now,
                ),
        },
        expectedViolation: /wrong answer/,
    },
    "frames of abandoned attempts are taken": {
        rules: replaceFrame((frame, state) => ({ ...frame, attempt: state.attempt })),
        expectedViolation: /wrong answer|not-run|effects/,
    },
};

describe("requests between entries and slots", () => {
    it(`break no invariant in ${runs} schedules of faults`, () => {
        expect(findViolation(requestRules, runs)).toBeUndefined();
    });

    it.each(Object.entries(faultyRules))("fail when %s", (name, { rules, expectedViolation }) => {
        expect(findViolation(rules, runs)).toMatch(expectedViolation);
    });
});
