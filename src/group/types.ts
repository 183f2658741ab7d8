/** Types of the map switch: what slots of a group ask of one another, and what they order their engines to do. */

/** Total order of attempts to coordinate; no two attempts share a ballot. */
export interface Ballot {
    round: number;
    rank: number;
    /** Incarnation of the coordinating slot's process. */
    nonce: string;
}

/** Placement of experts: `layers[l][rank * slotsPerRank + slot]` is an expert. */
export interface ExpertMap {
    slotsPerRank: number;
    layers: number[][];
}

/** Promise of an engine to run no step from `step` on with its present map until it is told otherwise. */
export interface EngineHold {
    ballot: Ballot;
    version: string;
    step: number;
    committed: boolean;
}

export interface EngineState {
    generation: number;
    /** Step of the generation that the engine enters next. */
    step: number;
    /** Map in force; undefined in a generation that has none yet. */
    version?: string;
    hold?: EngineHold;
    /** Versions whose experts are all in memory. */
    loaded: string[];
    /** Highest ballot in an order; kept only by engines that refuse older ones. */
    fence?: Ballot;
    /** Recent mean time of a step, in milliseconds. */
    stepMs: number;
}

export type EngineOrder =
    | { kind: "read"; }
    /** Leaves the present generation for a later one, without a map at first. */
    | { kind: "join"; generation: number; }
    /** Passes an existing hold to `ballot`, so that no commit of an earlier ballot takes effect. */
    | { kind: "claim"; ballot: Ballot; }
    | { kind: "load"; ballot: Ballot; version: string; map: ExpertMap; }
    | { kind: "hold"; ballot: Ballot; version: string; step: number; }
    | { kind: "commit"; ballot: Ballot; version: string; }
    | { kind: "release"; ballot: Ballot; }
    | { kind: "drop"; ballot: Ballot; versions: string[]; };

export type RequestBody =
    | { kind: "take"; }
    | { kind: "read"; }
    | { kind: "prepare"; version: string; map: ExpertMap; }
    | { kind: "hold"; version: string; step: number; }
    | { kind: "commit"; version: string; }
    | { kind: "release"; }
    | { kind: "drop"; versions: string[]; };
export type RequestKind = RequestBody["kind"];

export type GroupRequest = RequestBody & {
    generation: number;
    ballot: Ballot;
    to: number;
    /** Incarnation of the receiving slot as its answer to `take` gave it; absent in `take`. */
    incarnation?: string;
};

export const RefusalReason = {
    ballot: "ballot",
    incarnation: "incarnation",
    generation: "generation",
    /** The engine is already past the step of the hold. */
    behind: "behind",
    /** The engine did not do what was ordered. */
    engine: "engine",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface GroupReply {
    kind: RequestKind;
    generation: number;
    ballot: Ballot;
    rank: number;
    incarnation: string;
    state: EngineState;
    refusal?: RefusalReason;
    /** Highest ballot that the slot has promised, in refusals. */
    promised?: Ballot;
}

/** Compares two ballots; negative when `a` is the lower one. */
export function compareBallots(a: Ballot | undefined, b: Ballot | undefined): number {
    if (a === undefined || b === undefined) {
        return Number(a !== undefined) - Number(b !== undefined);
    }
    return a.round - b.round || a.rank - b.rank || (a.nonce < b.nonce ? -1 : Number(a.nonce > b.nonce));
}

/** Formats a ballot; the text is also the version of the one map that the ballot may propose. */
export function formatBallot(ballot: Ballot): string {
    return `${ballot.round}.${ballot.rank}.${ballot.nonce}`;
}

/** Parses what `formatBallot` made. */
export function parseBallot(text: string): Ballot {
    const [round, rank, nonce] = text.split(".");
    return { round: Number(round), rank: Number(rank), nonce };
}
