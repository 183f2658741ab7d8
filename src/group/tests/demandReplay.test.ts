import { describe, expect, test } from "vitest";
import { createRandom, type Random } from "../../core/random.js";
import { computePlanSkew, planRebalance } from "../planRebalance.js";
import { createPopularity, PopularityOutcome, recordSelections, updatePopularity } from "../popularity.js";
import type { ExpertPlan } from "../rankTypes.js";

/**
 * Dimensions of an engine group, from its data sheets. Each request selects experts by its topic, and the popularity of
 * topics changes.
 */
const dimensions = { ranks: 16, sets: 4, experts: 64, placements: 5, spare: 2 };
const topicCount = 9;
const requestCount = 160;
const selectionsPerStep = 240;
const stepMs = 60;
const shiftMs = 4000;
const runMs = 24_000;
/** Time from a plan to the first step on the new map, in milliseconds; 550 to 700 in the benchmark. */
const rolloutMs = 600;
/** Steps after a shift in which the policy with foresight plans; each change is limited to `spare` new experts. */
const foresightSteps = 5;
/** Skew from which on the leader plans a change. */
const rebalanceSkew = 1.4;

interface Workload {
    /** Share of each expert, by topic, then by set. */
    topicShares: number[][][];
    /** Popularity of each topic, as a share of the requests. */
    topicWeights: number[];
}

const normalize = (weights: number[]) => {
    const sum = weights.reduce((total, weight) => total + weight, 0);
    return weights.map(weight => weight / sum);
};
const createShares = (count: number, power: number, random: Random) =>
    normalize(Array.from({ length: count }, () => random.next() ** power + 0.01));

function createWorkload(random: Random): Workload {
    const topicShares = Array.from(
        { length: topicCount },
        () => Array.from({ length: dimensions.sets }, () => createShares(dimensions.experts, 6, random)),
    );
    return { topicShares, topicWeights: createShares(topicCount, 4, random) };
}

/** Combines the topics' expert shares by the weights of the topics; the result is by set, then by expert. */
function combineTopics({ topicShares }: Workload, weights: number[]): number[][] {
    return Array.from(
        { length: dimensions.sets },
        (ignored, set) =>
            Array.from(
                { length: dimensions.experts },
                (none, expert) =>
                    weights.reduce((sum, weight, topic) => sum + weight * topicShares[topic][set][expert], 0),
            ),
    );
}

function createInitialPlan(): ExpertPlan {
    return Array.from({ length: dimensions.sets }, () =>
        Array.from(
            { length: dimensions.ranks },
            (ignored, rank) =>
                Array.from({ length: dimensions.experts }, (none, expert) => expert).filter(expert =>
                    expert % dimensions.ranks === rank
                ),
        ));
}

type Policy = "static" | "estimate" | "foresight";

/** Simulates the shifts; returns the moves, the mean skew, and its mean and maximum from 2 s after each shift. */
function simulateShifts(seed: number, policy: Policy) {
    const random = createRandom(seed);
    const workload = createWorkload(random);
    const estimate = createPopularity(dimensions.sets, dimensions.experts);
    let current = createInitialPlan();
    let next: { plan: ExpertPlan; at: number; } | undefined;
    let demand: number[][] = [];
    let moves = 0;
    const skews: number[] = [];
    const lateSkews: number[] = [];
    const plan = (shares: ArrayLike<number>[], now: number) => {
        const planned = next === undefined ? planRebalance({ current, shares, ...dimensions }) : undefined;
        if (planned !== undefined) {
            moves += planned.moves;
            next = { plan: planned.plan, at: now + (policy === "foresight" ? 0 : rolloutMs) };
        }
    };
    for (let now = 0; now < runMs; now += stepMs) {
        if (now % shiftMs < stepMs) {
            workload.topicWeights = createShares(topicCount, 4, random);
            // Running requests stay for a while, so their topics only approximate the current popularity.
            const counts = Array.from({ length: topicCount }, () => 0);
            for (let request = 0; request < requestCount; request++) {
                let left = random.next();
                const topic = workload.topicWeights.findIndex(share => (left -= share) < 0);
                counts[Math.max(0, topic)] += 1 / requestCount;
            }
            demand = combineTopics(workload, counts);
        }
        if (next !== undefined && next.at <= now) {
            current = next.plan;
            next = undefined;
        }
        recordSelections(estimate, demand.map(set => set.map(share => share * selectionsPerStep * requestCount)));
        const { outcome } = updatePopularity(estimate);
        const skew = computePlanSkew({ current, shares: demand, ...dimensions });
        skews.push(skew);
        if (now % shiftMs >= 2000) {
            lateSkews.push(skew);
        }
        if (policy === "foresight" && now % shiftMs < stepMs * foresightSteps) {
            plan(demand, now);
        }
        else if (policy === "estimate" && outcome !== PopularityOutcome.waiting) {
            const estimatedSkew = computePlanSkew({ current, shares: estimate.shares, ...dimensions });
            if (estimatedSkew >= rebalanceSkew) {
                plan(estimate.shares, now);
            }
        }
    }
    const average = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;
    return { mean: average(skews), late: average(lateSkews), maxLateSkew: Math.max(...lateSkews), moves };
}

describe("a demand that moves to other experts every four seconds", () => {
    const seeds = [1, 2, 3, 4, 5, 6];
    const simulatePolicy = (policy: Policy) => seeds.map(seed => simulateShifts(seed, policy));
    const average = (values: number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

    test("is answered within two seconds of each shift", () => {
        const results = simulatePolicy("estimate");
        expect(Math.max(...results.map(({ maxLateSkew }) => maxLateSkew))).toBeLessThan(rebalanceSkew);
    });

    test("costs most of what a fixed map loses against one with foresight", () => {
        const [fixed, estimated, foreseen] = (["static", "estimate", "foresight"] as const).map(policy =>
            average(simulatePolicy(policy).map(({ mean }) => mean))
        );
        expect((fixed - estimated) / (fixed - foreseen)).toBeGreaterThan(0.5);
    });
});
