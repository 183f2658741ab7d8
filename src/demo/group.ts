/** The expert-parallel group of the demo: four ranks whose experts' popularity drifts. */
import type { SlotPlan } from "../standin/cluster.js";
import { type GroupEngines, startGroupEngines } from "../standin/groupEngine.js";

const shape = { ranks: 4, layers: 2, experts: 16 };
const pool = "grouped";
const name = "experts";

/** Adds the group and its pool to a document. */
export function addGroup(document: object): object {
    const { pools } = document as { pools: object[]; };
    return {
        ...document,
        pools: [...pools, { name: pool, kind: "engine" }],
        groups: [{ name, pool, ...shape, slotsPerRank: 6, preset: "skew", planIntervalSeconds: 1 }],
    };
}

/** Starts the engines of the group. */
export function startDemoGroup(): Promise<GroupEngines> {
    const engine = { firstTokenMs: 5, tokenMs: 5 };
    return startGroupEngines({ ...shape, stepMs: 10, fenced: true, seed: 7, engine });
}

/** Creates the plans of the group's slots. */
export function createGroupPlans(group: GroupEngines): SlotPlan[] {
    return group.upstreams.map((upstream, rank) => ({
        instance: `slot-g${rank}`,
        dataCentre: "dc-a",
        pool,
        kind: "engine",
        group: { name, rank },
        upstream,
    }));
}

/** Sums up the group; no step may have run on two maps. */
export function describeGroup(group: GroupEngines): { ok: boolean; figures: Record<string, number>; } {
    const figures = {
        mapSwitches: group.listVersions().length,
        mixedSteps: group.countMixedSteps(),
        groupSteps: group.countSteps(),
        skew: Number(group.takeSkew().toFixed(3)),
        longestGapMs: Math.round(group.takeLongestGapMs()),
    };
    return { ok: figures.mixedSteps === 0 && figures.mapSwitches > 1, figures };
}
