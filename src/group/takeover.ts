/** Decisions of a coordinator from the engine states and acknowledgements of all ranks. */
import type { EngineState, GroupReply } from "./types.js";

/** State of an engine as its slot reported it. */
export interface EngineReading {
    state: EngineState;
    /** Incarnation of the slot's process. */
    incarnation: string;
    /** In milliseconds. */
    receivedAt: number;
}

export type TakeoverDecision =
    /** At least one rank has committed: every rank holds or runs `version`, and the switch has to be finished. */
    | { kind: "finish"; version: string; step: number; }
    /** No hold is committed: no rank has passed its hold, and none can any more. */
    | { kind: "release"; }
    /** No rank has a hold, and all run the same version. */
    | { kind: "clean"; version: string | undefined; };

/** Whether every rank of the group has acknowledged. */
export function hasAllAcknowledgements(replies: ReadonlyMap<number, GroupReply>, ranks: number): boolean {
    return replies.size === ranks;
}

/** Whether every rank runs `version`, so that the weights of earlier versions may be freed. */
export function isInForceEverywhere(readings: EngineReading[], version: string): boolean {
    return readings.every(reading => reading.state.version === version);
}

/**
 * Decides how a new coordinator proceeds, from the state of every rank read after its promise for the new ballot.
 * A rank can run a version that another one still holds only after a commit, so that counts as a commit too.
 */
export function decideTakeover(readings: EngineReading[]): TakeoverDecision {
    const engines = readings.map(reading => reading.state);
    const holds = engines.flatMap(engine => engine.hold === undefined ? [] : [engine.hold]);
    const committedHold = holds.find(hold => hold.committed);
    const appliedHold = holds.find(hold => engines.some(engine => engine.version === hold.version));
    const holdToFinish = committedHold ?? appliedHold;
    if (holdToFinish !== undefined) {
        return { kind: "finish", version: holdToFinish.version, step: holdToFinish.step };
    }
    const isUniform = engines.every(engine => engine.version === engines[0].version);
    return holds.length > 0 || !isUniform ? { kind: "release" } : { kind: "clean", version: engines[0].version };
}
