import { describe, expect, it } from "vitest";
import { exploreSchedules, runSchedule, type ScheduleOptions } from "../../bench/explore-maps.js";
import { coordinatorRules } from "../coordinatorState.js";
import { memberRules } from "../member.js";

describe("map switch under faults", () => {
    it.each([1, 100_001, 200_001, 300_001, 400_001])("keeps one map per step in schedules from seed %i", async seed => {
        const { failures, switches } = await exploreSchedules(1000, seed);
        expect(failures).toEqual([]);
        expect(switches).toBeGreaterThan(1000);
    });
});

const faultyVariants: Record<string, { rules: ScheduleOptions; expectedFailure: RegExp; }> = {
    "commit without all acknowledgements": {
        rules: {
            coordinatorRules: {
                ...coordinatorRules,
                mayCommit: (replies, ranks) => replies.size >= ranks - 1,
            },
        },
        expectedFailure: /ran on/,
    },
    "takeover that does not read the state": {
        rules: {
            coordinatorRules: {
                ...coordinatorRules,
                decideTakeover: readings => ({ kind: "clean", version: readings[0].state.version }),
            },
        },
        expectedFailure: /ran on|dropped/,
    },
    "takeover that releases although a commit was seen": {
        rules: {
            coordinatorRules: {
                ...coordinatorRules,
                decideTakeover: readings => {
                    const decision = coordinatorRules.decideTakeover(readings);
                    return decision.kind === "finish" ? { kind: "release" } : decision;
                },
            },
        },
        expectedFailure: /ran on/,
    },
    "no ballot check": {
        rules: { memberRules: { ...memberRules, checkBallot: () => undefined }, matchesHolds: false },
        expectedFailure: /ran on/,
    },
    "hold accepted behind the current step": {
        rules: { memberRules: { ...memberRules, checkHold: () => undefined } },
        expectedFailure: /ran on/,
    },
    "old weights dropped after the commit without waiting for its step": {
        rules: { coordinatorRules: { ...coordinatorRules, isInForceEverywhere: () => true } },
        expectedFailure: /dropped/,
    },
};

describe("wrong variants", () => {
    it.each(Object.keys(faultyVariants))("catches: %s", name => {
        const { rules, expectedFailure } = faultyVariants[name];
        const maxSchedules = 4000;
        let failure: string | undefined;
        for (let seed = 1; seed <= maxSchedules && !expectedFailure.test(failure ?? ""); seed++) {
            failure = runSchedule(seed, { ...rules, heals: false }).violation;
        }
        expect(failure).toMatch(expectedFailure);
    });
});
