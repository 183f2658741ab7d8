/** Simulated engines of one group, which execute orders and steps as the platform's engines do. */
import type { ArmedMap, RankOrder, RankReport } from "../rankTypes.js";

/** Number of ranks of the group. */
export const ranks = 5;

interface Engine {
    mapVersion: number;
    highest: number;
    prepared?: number;
    armed?: ArmedMap;
    held?: number;
}

export interface Group {
    step: number;
    engines: Engine[];
    /** Steps that began while ranks had different maps. */
    mixed: number[];
    isIdle: boolean;
}

const orderHandlers: {
    [K in RankOrder["kind"]]: (group: Group, engine: Engine, order: Extract<RankOrder, { kind: K; }>) => boolean;
} = {
    prepare: (group, engine, { version }) => {
        if (engine.prepared === version) {
            return true;
        }
        if (version <= engine.highest || engine.armed !== undefined) {
            return false;
        }
        engine.highest = version;
        engine.prepared = version;
        return true;
    },
    arm: (group, engine, { version, step }) => {
        if (engine.armed?.version === version && engine.armed.step === step) {
            return true;
        }
        if (engine.prepared !== version || step <= group.step || engine.armed !== undefined) {
            return false;
        }
        engine.armed = { version, step };
        return true;
    },
    disarm: (group, engine, { version }) => {
        if (engine.mapVersion === version) {
            return false;
        }
        engine.armed = engine.armed?.version === version ? undefined : engine.armed;
        return true;
    },
    hold: (group, engine, { step }) => {
        if (engine.held === step) {
            return true;
        }
        if (engine.held !== undefined || step <= group.step) {
            return false;
        }
        engine.held = step;
        return true;
    },
    go: (group, engine, { step }) => {
        if (engine.held === step) {
            engine.held = undefined;
        }
        return true;
    },
};

/** Creates a group with map 0. */
export function createGroup(): Group {
    return {
        step: 0,
        engines: Array.from({ length: ranks }, () => ({ mapVersion: 0, highest: 0 })),
        mixed: [],
        isIdle: false,
    };
}

/** Executes an order at a rank; returns whether the rank accepts it. */
export function executeOrder(group: Group, rank: number, order: RankOrder): boolean {
    return orderHandlers[order.kind](group, group.engines[rank], order as never);
}

/** Begins the next step unless it is held or the group is idle. */
export function beginStep(group: Group): void {
    const next = group.step + 1;
    if (group.isIdle || group.engines.some(({ held }) => held !== undefined && held <= next)) {
        return;
    }
    group.step = next;
    for (const engine of group.engines) {
        if (engine.armed?.step === next) {
            engine.mapVersion = engine.armed.version;
            engine.armed = undefined;
        }
    }
    if (new Set(group.engines.map(({ mapVersion }) => mapVersion)).size > 1) {
        group.mixed.push(next);
    }
}

/** Reads the report of a rank. */
export function readReport(group: Group, rank: number): RankReport {
    const { mapVersion, prepared, armed, held } = group.engines[rank];
    return {
        epoch: 1,
        rank,
        size: ranks,
        isOpen: true,
        step: group.step,
        mapVersion,
        preparedVersion: prepared,
        armed: armed && { ...armed },
        heldStep: held,
        running: 1,
        queued: 0,
        memoryShare: 0,
        pace: 1,
    };
}
