/** A rank of a group as its engine tells of it, and the orders that change the group's expert map. */

/** Map that a rank takes as a step begins. */
export interface ArmedMap {
    version: number;
    step: number;
}

export interface RankReport {
    /** Number of times that the group has formed; maps, holds and versions belong to one epoch. */
    epoch: number;
    rank: number;
    /** Ranks of the group. */
    size: number;
    isOpen: boolean;
    /** Last step that was begun. */
    step: number;
    mapVersion: number;
    /** Version whose experts are all in memory. */
    preparedVersion?: number;
    armed?: ArmedMap;
    /** Step that the group does not begin before it is told to. */
    heldStep?: number;
    running: number;
    queued: number;
    /** Share of the memory for prompts that is in use. */
    memoryShare: number;
    /** Over 1 when the rank is slower than its hardware should be. */
    pace: number;
}

/** Experts by set, then by rank. */
export type ExpertPlan = number[][][];

export type RankOrder =
    | { kind: "prepare"; version: number; plan: ExpertPlan; }
    | { kind: "arm"; version: number; step: number; }
    | { kind: "disarm"; version: number; }
    | { kind: "hold"; step: number; }
    | { kind: "go"; step: number; };
export type RankOrderKind = RankOrder["kind"];

export const OrderOutcome = {
    /** Begun, or done before. */
    accepted: "accepted",
    /** Does not fit the rank's state. */
    refused: "refused",
    /** May have been accepted, or may be carried out later. */
    unanswered: "unanswered",
} as const;
export type OrderOutcome = (typeof OrderOutcome)[keyof typeof OrderOutcome];

/** Time for a rank's answer to an order, in milliseconds: many times the usual one; it is given again without harm. */
export const rankOrderTimeoutMs = 70;

/** How often requests of one rank chose each expert, by set, since the rank started. */
export interface RankCounts {
    epoch: number;
    sets: number[][];
}

/** Experts of one rank, by set. */
export interface RankPlacement {
    epoch: number;
    version: number;
    experts: number[][];
    prepared?: { version: number; experts: number[][]; };
}

/** Access to one rank's engine. */
export interface RankClient {
    readReport: () => Promise<RankReport>;
    readCounts: (figures: { sets: number; experts: number; }) => Promise<RankCounts>;
    readPlacement: () => Promise<RankPlacement>;
    order: (order: RankOrder, epoch: number) => Promise<OrderOutcome>;
}
