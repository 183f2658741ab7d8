/** What a coordinator may conclude from the states and acknowledgements of all ranks. */
import type { EngineState, GroupReply } from "./types.js";

export interface EngineReading {
    state: EngineState;
    incarnation: string;
    /** Time of arrival, in milliseconds. */
    receivedAt: number;
}

export type TakeoverDecision =
    /** A commit was seen somewhere: every rank holds or runs `version`, and all have to get there. */
    | { kind: "finish"; version: string; step: number; }
    /** Holds without a commit: nobody has passed them and nobody will. */
    | { kind: "release"; }
    | { kind: "clean"; version: string | undefined; };

/** Whether every rank of the group has acknowledged. */
export function hasAllAcknowledgements(replies: ReadonlyMap<number, GroupReply>, ranks: number): boolean {
    return replies.size === ranks;
}

/** Whether every rank has `version` in force, so that no rank needs the weights of earlier ones. */
export function isInForceEverywhere(readings: EngineReading[], version: string): boolean {
    return readings.every(reading => reading.state.version === version);
}

/**
 * Decides what a new coordinator does, given the state of every rank after it promised the new ballot.
 * A rank runs a version that another one still holds only after a commit, so that counts as a commit too.
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
