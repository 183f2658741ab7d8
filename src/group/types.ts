/**
 * Messages of the switch of a group's expert map: requests between the slots of the group, and orders from a slot to
 * its engine. A slot is the balancer's process beside the engine of one rank.
 */

/** Identifies one attempt to coordinate, as in Paxos. Ballots are totally ordered, and no two attempts share one. */
export interface Ballot {
    round: number;
    rank: number;
    /** Incarnation of the coordinating slot's process; a restart changes it. */
    nonce: string;
}

/** Placement of experts on ranks: `layers[l][rank * slotsPerRank + i]` is the expert at position `i` of a rank. */
export interface ExpertMap {
    /** Experts of each layer that a rank holds. */
    slotsPerRank: number;
    layers: number[][];
}

/** Barrier of an engine: it runs no step from `step` on until the hold is committed or released. */
export interface EngineHold {
    /** Ballot whose coordinator may commit or release the hold. */
    ballot: Ballot;
    /** Map that takes effect at `step` once the hold is committed. */
    version: string;
    step: number;
    committed: boolean;
}

/** State of an engine, as it is returned for every order. */
export interface EngineState {
    /** Generation of the group's membership; 0 before the engine has joined one. */
    generation: number;
    /** Next step that the engine enters, counted from the start of the generation. */
    step: number;
    /** Version of the map in force; undefined in a generation without a map. */
    version?: string;
    hold?: EngineHold;
    /** Versions of the maps whose experts are all in memory. */
    loaded: string[];
    /** Fencing token: highest ballot of any order; kept only by engines that refuse orders of lower ballots. */
    fence?: Ballot;
    /** Recent mean duration of a step, in milliseconds. */
    stepMs: number;
}

/** Orders to an engine; the response to each is the engine's state, whether or not it took effect. */
export type EngineOrder =
    | { kind: "read"; }
    /** Moves the engine to a later generation, which starts without a map. */
    | { kind: "join"; generation: number; }
    /** Transfers an uncommitted hold to `ballot`, so that a commit of an earlier ballot has no effect. */
    | { kind: "claim"; ballot: Ballot; }
    /** Loads the experts of a map into memory. */
    | { kind: "load"; ballot: Ballot; version: string; map: ExpertMap; }
    | { kind: "hold"; ballot: Ballot; version: string; step: number; }
    | { kind: "commit"; ballot: Ballot; version: string; }
    /** Removes an uncommitted hold. */
    | { kind: "release"; ballot: Ballot; }
    /** Frees the experts of maps that are neither in force nor held. */
    | { kind: "drop"; ballot: Ballot; versions: string[]; };

/** Requests of a coordinator to the members of its group. */
export type RequestBody =
    /** Asks for a promise to refuse lower ballots, and for the engine's state; phase 1 of Paxos. */
    | { kind: "take"; }
    | { kind: "read"; }
    | { kind: "prepare"; version: string; map: ExpertMap; }
    | { kind: "hold"; version: string; step: number; }
    | { kind: "commit"; version: string; }
    | { kind: "release"; }
    | { kind: "drop"; versions: string[]; };
export type GroupRequestKind = RequestBody["kind"];

export type GroupRequest = RequestBody & {
    generation: number;
    ballot: Ballot;
    /** Rank of the receiving slot. */
    to: number;
    /** Incarnation of the receiving slot, from its reply to `take`; absent in `take` itself. */
    incarnation?: string;
};

export const RefusalReason = {
    /** The slot has not promised this ballot, has promised a higher one, or has already released its hold. */
    ballot: "ballot",
    /** The slot has restarted since it promised the ballot. */
    incarnation: "incarnation",
    /** The engine is in another generation. */
    generation: "generation",
    /** The engine is already past the step of the hold. */
    behind: "behind",
    /** The order did not take effect in the engine. */
    engine: "engine",
} as const;
export type RefusalReason = (typeof RefusalReason)[keyof typeof RefusalReason];

export interface GroupReply {
    kind: GroupRequestKind;
    generation: number;
    ballot: Ballot;
    rank: number;
    /** Incarnation of the replying slot's process. */
    incarnation: string;
    state: EngineState;
    refusal?: RefusalReason;
    /** Highest ballot that the slot has promised; set in refusals. */
    promised?: Ballot;
}

/** Compares two ballots for sorting: negative when `a` is lower. `undefined` is lower than any ballot. */
export function compareBallots(a: Ballot | undefined, b: Ballot | undefined): number {
    if (a === undefined || b === undefined) {
        return Number(a !== undefined) - Number(b !== undefined);
    }
    return a.round - b.round || a.rank - b.rank || (a.nonce < b.nonce ? -1 : Number(a.nonce > b.nonce));
}

/** Formats a ballot. The result is also the version of the only map that the ballot may propose. */
export function formatBallot(ballot: Ballot): string {
    return `${ballot.round}.${ballot.rank}.${ballot.nonce}`;
}

/** Parses the result of `formatBallot`. */
export function parseBallot(text: string): Ballot {
    const [round, rank, nonce] = text.split(".");
    return { round: Number(round), rank: Number(rank), nonce };
}
