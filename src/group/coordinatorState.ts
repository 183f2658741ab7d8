/** State and timeouts of the coordinator of a switch of a group's expert map. */
import {
    decideTakeover,
    type EngineReading,
    hasAllAcknowledgements,
    isInForceEverywhere,
    type TakeoverDecision,
} from "./takeover.js";
import type { Ballot, ExpertMap, GroupReply, GroupRequest } from "./types.js";

export const Phase = {
    /** This slot does not coordinate. */
    follow: "follow",
    /** Collects a promise for the ballot and the engine's state from every slot. */
    take: "take",
    /** Every engine loads the proposed map. */
    prepare: "prepare",
    /** Every engine places a hold at the switch step. */
    hold: "hold",
    commit: "commit",
    /** Every engine removes its uncommitted hold. */
    release: "release",
    /** Waits until the committed map is in force at every rank. */
    settle: "settle",
    /** Every engine frees the maps that are no longer used. */
    drop: "drop",
    /** No switch is under way; sends heartbeats. */
    steady: "steady",
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

/** Timeouts and intervals, all in milliseconds. */
export interface CoordinatorTimes {
    /** Interval at which unacknowledged requests are resent during a switch. */
    resendIntervalMs: number;
    /** Interval of heartbeats while no switch is under way. */
    heartbeatIntervalMs: number;
    /**
     * Time without a request from the coordinator during a switch after which rank 0 takes over. Each further rank
     * waits another tenth of it, and all add a random part of up to half.
     */
    electionTimeoutMs: number;
    /** The same while no switch is under way. */
    idleElectionTimeoutMs: number;
    /** Time for all ranks to acknowledge a hold; after that it is released. */
    holdTimeoutMs: number;
    /** Time planned between the choice of the switch step and that step. */
    leadTimeMs: number;
}

/** Rules: the decision functions that the safety of a switch depends on; tests replace them by faulty ones. */
export interface CoordinatorRules {
    /** Whether enough ranks have acknowledged the hold to commit it. */
    mayCommit: (replies: ReadonlyMap<number, GroupReply>, ranks: number) => boolean;
    decideTakeover: (readings: EngineReading[]) => TakeoverDecision;
    isInForceEverywhere: (readings: EngineReading[], version: string) => boolean;
}

export const coordinatorRules: CoordinatorRules = {
    mayCommit: hasAllAcknowledgements,
    decideTakeover,
    isInForceEverywhere,
};

export interface CoordinatorState {
    rank: number;
    /** Number of ranks in the group. */
    ranks: number;
    /** Incarnation of this slot's process. */
    nonce: string;
    generation: number;
    phase: Phase;
    ballot: Ballot;
    /** Highest round of any ballot seen. */
    maxRound: number;
    /** Acknowledgements of the current phase by rank. */
    replies: Map<number, GroupReply>;
    /** Latest engine state under the current ballot by rank. */
    readings: Map<number, EngineReading>;
    /** Version that the current ballot switches to, and the step at which it takes effect. */
    target: { version: string; step: number; } | undefined;
    /** Map that this slot wants to switch to. */
    proposal: ExpertMap | undefined;
    /** Versions to free in the `drop` phase. */
    obsoleteVersions: string[];
    /** Multiplier of the lead time; doubled when a hold reaches an engine past its step, 1 again after a switch. */
    leadTimeFactor: number;
    /** Time at which requests are resent or the next heartbeat is due, in milliseconds. */
    resendAt: number;
    /** Deadline of the `hold` phase, in milliseconds. */
    phaseEndsAt: number;
    /** Time at which this slot takes over unless a coordinator contacts it first, in milliseconds. */
    electionAt: number;
    /** Start of the current ballot, in milliseconds. */
    startedAt: number;
    times: CoordinatorTimes;
    rules: CoordinatorRules;
}

export type CoordinatorAction =
    | { kind: "send"; request: GroupRequest; }
    /** This slot takes over because no coordinator has contacted it in time. */
    | { kind: "elected"; round: number; }
    /** All slots have promised, and a switch was found under way; it is finished if committed, or else released. */
    | { kind: "taken"; finished: boolean; }
    /** The map of `version` is in force everywhere from `step` on; `map` is undefined if another ballot proposed it. */
    | { kind: "switched"; version: string; step: number; map: ExpertMap | undefined; durationMs: number; }
    /** The holds are released; `version` is undefined if another coordinator placed them. */
    | { kind: "released"; version: string | undefined; }
    /** The generation has no map, and this slot has no proposal. */
    | { kind: "needMap"; };

export interface CoordinatorOptions {
    rank: number;
    /** Number of ranks in the group. */
    ranks: number;
    /** Incarnation of this slot's process; ballots are unique only if it is. */
    nonce: string;
    times: CoordinatorTimes;
    rules?: CoordinatorRules;
}

/** Creates the coordinator of a slot as a follower; `now` is in milliseconds, `random` in [0, 1). */
export function createCoordinator(options: CoordinatorOptions, now: number, random: number): CoordinatorState {
    const { rank, ranks, nonce, times, rules } = options;
    const state: CoordinatorState = {
        rank,
        ranks,
        nonce,
        generation: 0,
        phase: Phase.follow,
        ballot: { round: 0, rank, nonce },
        maxRound: 0,
        replies: new Map(),
        readings: new Map(),
        target: undefined,
        proposal: undefined,
        obsoleteVersions: [],
        leadTimeFactor: 1,
        resendAt: 0,
        phaseEndsAt: 0,
        electionAt: 0,
        startedAt: now,
        times,
        rules: rules ?? coordinatorRules,
    };
    scheduleElection(state, now, random);
    return state;
}

/** Restarts the election timeout; rank and `random` in [0, 1) spread the slots' elections. */
export function scheduleElection(
    state: CoordinatorState,
    now: number,
    random: number,
    silenceMs: number = state.times.electionTimeoutMs,
): void {
    state.electionAt = now + silenceMs * (1 + state.rank / 10 + random / 2);
}
