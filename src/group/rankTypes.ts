/**
 * Types of a rank's state as its engine reports it, and of the orders to the engine (`prepare`, `arm`, `hold` and
 * others) that change the group's expert map.
 */

/** Maximum number of ranks in a group; a larger number in a report or message is invalid. */
export const maxRanks = 4096;

/** Map version that a rank switches to when `step` begins. */
export interface ArmedMap {
    version: number;
    step: number;
}

/** State of one rank. */
export interface RankReport {
    /** Number of times the group has formed; maps, holds and versions are valid only within one epoch. */
    epoch: number;
    rank: number;
    /** Number of ranks in the group. */
    size: number;
    /** Whether the engine reports the group as open. */
    isOpen: boolean;
    /** Newest step that has begun. */
    step: number;
    /** Version of the active map. */
    mapVersion: number;
    /** Version whose experts are all in memory. */
    preparedVersion?: number;
    armed?: ArmedMap;
    /** Step that the group does not begin until it is released by `go`. */
    heldStep?: number;
    /** Number of running requests. */
    running: number;
    /** Number of queued requests. */
    queued: number;
    /** Used share of the KV cache, from 0 to 1. */
    memoryShare: number;
    /** Slowdown relative to the rank's hardware; above 1 if the rank is slower than it should be. */
    pace: number;
}

/** An expert map: the experts of each rank, by set, then by rank. */
export type ExpertPlan = number[][][];

export type RankOrder =
    /** Loads the experts of `version` into memory. */
    | { kind: "prepare"; version: number; plan: ExpertPlan; }
    /** Switches to the prepared `version` when `step` begins. */
    | { kind: "arm"; version: number; step: number; }
    /** Withdraws an arm that has not taken effect. */
    | { kind: "disarm"; version: number; }
    /** Keeps the group from beginning `step`. */
    | { kind: "hold"; step: number; }
    /** Releases the hold of `step`. */
    | { kind: "go"; step: number; };
export type RankOrderKind = RankOrder["kind"];

/** Outcome of an order that was sent to a rank. */
export const OrderOutcome = {
    /** The rank executes the order or has executed it before. */
    accepted: "accepted",
    /** The order does not fit the rank's state. */
    refused: "refused",
    /** No response in time or a server error; the rank may have executed the order or may still execute it later. */
    unanswered: "unanswered",
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Timeout of an order, in milliseconds; many times the usual response time. Orders may be resent without harm. */
export const rankOrderTimeoutMs = 70;

/** Number of times each expert was selected for requests of one rank, by set, since the rank started. */
export interface RankCounts {
    epoch: number;
    sets: number[][];
}

/** Experts of one rank, by set. */
export interface RankPlacement {
    epoch: number;
    /** Version of the active map. */
    version: number;
    experts: number[][];
    /** Map that is prepared, if any. */
    prepared?: { version: number; experts: number[][]; };
}

/** Client of one rank's engine. Reads reject without a response; `order` resolves to `unanswered` instead. */
export interface RankClient {
    readReport: () => Promise<RankReport>;
    readCounts: (dimensions: { sets: number; experts: number; }) => Promise<RankCounts>;
    readPlacement: () => Promise<RankPlacement>;
    order: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}
