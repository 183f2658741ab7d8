/** Expert-parallel group of the demo: four ranks whose expert popularity drifts over time. */
import type { SlotOptions } from "../standin/cluster.js";
import { type FakeEngineGroup, startFakeEngineGroup } from "../standin/engineGroup.js";

const groupDimensions = { ranks: 4, layers: 2, experts: 16 };
const groupPool = "grouped";
const groupName = "experts";

/** Returns a copy of `document` with the group and its pool added. */
export function addDemoGroup(document: object): object {
    const { pools } = document as { pools: object[]; };
    return {
        ...document,
        pools: [...pools, { name: groupPool, kind: "engine" }],
        groups: [{
            name: groupName,
            pool: groupPool,
            ...groupDimensions,
            slotsPerRank: 6,
            preset: "skew",
            planIntervalSeconds: 1,
        }],
    };
}

/** Starts one fake engine per rank of the group. */
export function startDemoGroup(): Promise<FakeEngineGroup> {
    const engine = { firstTokenMs: 5, tokenMs: 5 };
    return startFakeEngineGroup({ ...groupDimensions, stepMs: 10, fenced: true, seed: 7, engine });
}

/** Creates the options of the group's slots, one per rank. */
export function createGroupSlotOptions(group: FakeEngineGroup): SlotOptions[] {
    return group.upstreams.map((upstream, rank) => ({
        instance: `slot-g${rank}`,
        dataCentre: "dc-a",
        pool: groupPool,
        kind: "engine",
        group: { name: groupName, rank },
        upstream,
    }));
}

/** Summarizes the group; `ok` requires at least one map switch and no step that ran on two maps. */
export function summarizeGroup(group: FakeEngineGroup): { ok: boolean; figures: Record<string, number>; } {
    const figures = {
        mapSwitches: group.listMapVersions().length,
        mixedSteps: group.countMixedSteps(),
        groupSteps: group.countSteps(),
        skew: Number(group.takeMeanSkew().toFixed(3)),
        longestGapMs: Math.round(group.takeLongestGapMs()),
    };
    return { ok: figures.mixedSteps === 0 && figures.mapSwitches > 1, figures };
}
