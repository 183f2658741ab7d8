/** State of the coordinating side of a map switch. */
import { decideTakeover, hasAllAcknowledgements, isInForceEverywhere, type EngineReading, type TakeoverDecision } from "./takeover.js";
import type { Ballot, ExpertMap, GroupReply, GroupRequest } from "./types.js";

export const Phase = {
    follow: "follow",
    take: "take",
    prepare: "prepare",
    hold: "hold",
    commit: "commit",
    release: "release",
    settle: "settle",
    drop: "drop",
    steady: "steady",
} as const;
export type Phase = (typeof Phase)[keyof typeof Phase];

export interface CoordinatorTimes {
    /** Interval of repeated requests while something is under way, in milliseconds. */
    resendIntervalMs: number;
    /** Interval of heartbeats while nothing is, in milliseconds. */
    heartbeatIntervalMs: number;
    /** Silence during a switch after which the lowest rank takes over, in milliseconds; others wait a tenth longer. */
    electionTimeoutMs: number;
    /** The same while nothing is under way. */
    idleElectionTimeoutMs: number;
    /** Time for all ranks to acknowledge a hold before it is released, in milliseconds. */
    holdTimeoutMs: number;
    /** Time between the choice of a step and that step, in milliseconds. */
    leadTimeMs: number;
}

export interface CoordinatorRules {
    /** Whether a hold has the acknowledgements that a commit needs. */
    mayCommit: (replies: ReadonlyMap<number, GroupReply>, ranks: number) => boolean;
    decideTakeover: (readings: EngineReading[]) => TakeoverDecision;
    isInForceEverywhere: (readings: EngineReading[], version: string) => boolean;
}

export const coordinatorRules: CoordinatorRules = { mayCommit: hasAllAcknowledgements, decideTakeover: decideTakeover, isInForceEverywhere: isInForceEverywhere };

export interface CoordinatorState {
    rank: number;
    ranks: number;
    nonce: string;
    generation: number;
    phase: Phase;
    ballot: Ballot;
    /** Highest round seen in any ballot. */
    maxRound: number;
    /** Acknowledgements of the present phase by rank. */
    replies: Map<number, GroupReply>;
    readings: Map<number, EngineReading>;
    /** Version that the present ballot commits, and its step. */
    target: { version: string; step: number; } | undefined;
    proposal: ExpertMap | undefined;
    obsoleteVersions: string[];
    /** Multiple of the lead; doubled after a hold came too late. */
    leadTimeFactor: number;
    resendAt: number;
    phaseEndsAt: number;
    electionAt: number;
    startedAt: number;
    times: CoordinatorTimes;
    rules: CoordinatorRules;
}

export type CoordinatorAction =
    | { kind: "send"; request: GroupRequest; }
    /** This slot starts to coordinate after the silence of another one. */
    | { kind: "elected"; round: number; }
    | { kind: "taken"; finished: boolean; }
    /** The map of `version` is in force at every rank from `step` on. */
    | { kind: "switched"; version: string; step: number; map: ExpertMap | undefined; durationMs: number; }
    | { kind: "released"; version: string | undefined; }
    /** The generation has no map and nobody has proposed one. */
    | { kind: "needMap"; };

export interface CoordinatorOptions {
    rank: number;
    ranks: number;
    nonce: string;
    times: CoordinatorTimes;
    rules?: CoordinatorRules;
}

/** Creates a slot's coordinator, which follows at first. */
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

/** Sets the time at which this slot takes over unless it hears from a coordinator before. */
export function scheduleElection(
    state: CoordinatorState,
    now: number,
    random: number,
    silenceMs: number = state.times.electionTimeoutMs,
): void {
    state.electionAt = now + silenceMs * (1 + state.rank / 10 + random / 2);
}
