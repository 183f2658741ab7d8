/**
 * The coordinator of a switch of a group's expert map. Any slot may coordinate at any time: clocks and heartbeats
 * decide who tries, but safety does not depend on them. Each ballot does at most one thing: finish a committed switch
 * that it finds, release uncommitted holds that it finds, or propose one map of its own. Times are in milliseconds,
 * `random` is in [0, 1).
 */
import { type CoordinatorAction, type CoordinatorState, Phase, scheduleElection } from "./coordinatorState.js";
import { hasAllAcknowledgements } from "./takeover.js";
import {
    type Ballot,
    compareBallots,
    type ExpertMap,
    formatBallot,
    type GroupReply,
    type RefusalReason,
    type RequestBody,
} from "./types.js";

/** Upper limit for doubling the lead time. */
const maxLeadTimeFactor = 64;

/** Enters a generation as a follower; replies to ballots of earlier generations are ignored from now on. */
export function enterGeneration(state: CoordinatorState, generation: number, now: number, random: number): void {
    state.generation = generation;
    state.phase = Phase.follow;
    state.readings = new Map();
    scheduleElection(state, now, random);
}

/**
 * Records that another slot coordinates with `ballot`: steps down if it is the higher one, and restarts the election
 * timeout. `isIdle` is whether no switch is under way.
 */
export function observeBallot(
    state: CoordinatorState,
    ballot: Ballot,
    isIdle: boolean,
    now: number,
    random: number,
): void {
    state.maxRound = Math.max(state.maxRound, ballot.round);
    if (compareBallots(ballot, state.ballot) > 0 && state.phase !== Phase.follow) {
        state.phase = Phase.follow;
        state.proposal = undefined;
    }
    const { electionTimeoutMs, idleElectionTimeoutMs } = state.times;
    scheduleElection(state, now, random, isIdle ? idleElectionTimeoutMs : electionTimeoutMs);
}

/** Proposes a switch to `map`. A steady coordinator begins it at once; others keep the proposal. */
export function proposeMap(state: CoordinatorState, map: ExpertMap, now: number): CoordinatorAction[] {
    state.proposal = map;
    return state.phase === Phase.steady ? startBallot(state, now) : [];
}

/** Handles due timers: elections, timeouts of holds, resent requests and heartbeats. */
export function advanceCoordinator(state: CoordinatorState, now: number, random: number): CoordinatorAction[] {
    if (state.generation === 0) {
        return [];
    }
    if (state.phase === Phase.follow) {
        if (now < state.electionAt) {
            return [];
        }
        scheduleElection(state, now, random);
        const actions = startBallot(state, now);
        return [{ kind: "elected", round: state.ballot.round }, ...actions];
    }
    if (state.phase === Phase.hold && now >= state.phaseEndsAt) {
        return enterPhase(state, Phase.release, now);
    }
    return now >= state.resendAt ? sendPhaseRequests(state, now) : [];
}

/** Handles a member's reply; one to another ballot, generation or phase is ignored. */
export function handleReply(
    state: CoordinatorState,
    reply: GroupReply,
    now: number,
    random: number,
): CoordinatorAction[] {
    if (reply.generation !== state.generation || compareBallots(reply.ballot, state.ballot) !== 0) {
        return [];
    }
    if (state.phase === Phase.follow || reply.kind !== getRequestKind(state.phase)) {
        return [];
    }
    if (reply.refusal !== undefined) {
        return refusalHandlers[reply.refusal](state, reply, now, random);
    }
    state.replies.set(reply.rank, reply);
    state.readings.set(reply.rank, { state: reply.state, incarnation: reply.incarnation, receivedAt: now });
    const isComplete = state.phase === Phase.hold ? state.rules.mayCommit : hasAllAcknowledgements;
    return isComplete(state.replies, state.ranks) ? phaseCompletions[state.phase](state, now) : [];
}

const refusalHandlers: Record<
    RefusalReason,
    (state: CoordinatorState, reply: GroupReply, now: number, random: number) => CoordinatorAction[]
> = {
    ballot: (state, reply, now, random) => {
        state.maxRound = Math.max(state.maxRound, reply.promised?.round ?? 0);
        state.phase = Phase.follow;
        state.proposal = undefined;
        scheduleElection(state, now, random);
        return [];
    },
    incarnation: (state, reply, now) => startBallot(state, now),
    generation: () => [],
    behind: (state, reply, now) => {
        state.leadTimeFactor = Math.min(maxLeadTimeFactor, state.leadTimeFactor * 2);
        return enterPhase(state, Phase.release, now);
    },
    // The engine refuses a hold when it has one of another ballot, which only a later ballot may finish or release.
    engine: (state, reply, now) => state.phase === Phase.hold ? startBallot(state, now) : [],
};

const phaseCompletions: Record<Phase, (state: CoordinatorState, now: number) => CoordinatorAction[]> = {
    follow: () => [],
    take: finishTakeover,
    prepare: (state, now) => {
        state.target = { version: formatBallot(state.ballot), step: chooseSwitchStep(state, now) };
        return enterPhase(state, Phase.hold, now);
    },
    hold: (state, now) => enterPhase(state, Phase.commit, now),
    commit: (state, now) => enterPhase(state, Phase.settle, now),
    release: (state, now) => {
        const released: CoordinatorAction = { kind: "released", version: state.target?.version };
        return [released, ...startBallot(state, now)];
    },
    settle: (state, now) => {
        const { target } = state;
        const readings = [...state.readings.values()];
        state.replies.clear();
        if (target === undefined || !state.rules.isInForceEverywhere(readings, target.version)) {
            return [];
        }
        state.leadTimeFactor = 1;
        const durationMs = now - state.startedAt;
        const map = target.version === formatBallot(state.ballot) ? state.proposal : undefined;
        state.proposal = map === undefined ? state.proposal : undefined;
        return [{ kind: "switched", ...target, map, durationMs }, ...enterDropPhase(state, now)];
    },
    drop: (state, now) => enterPhase(state, Phase.steady, now),
    steady: (state, now) => {
        state.replies.clear();
        const readings = [...state.readings.values()];
        const version = readings[0].state.version;
        if (readings.some(reading => reading.state.hold !== undefined || reading.state.version !== version)) {
            return startBallot(state, now);
        }
        return state.proposal === undefined ? [] : startBallot(state, now);
    },
};

function finishTakeover(state: CoordinatorState, now: number): CoordinatorAction[] {
    const decision = state.rules.decideTakeover([...state.readings.values()]);
    const taken: CoordinatorAction = { kind: "taken", finished: decision.kind === "finish" };
    if (decision.kind === "finish") {
        state.target = { version: decision.version, step: decision.step };
        return [taken, ...enterPhase(state, Phase.commit, now)];
    }
    if (decision.kind === "release") {
        return [taken, ...enterPhase(state, Phase.release, now)];
    }
    if (state.proposal !== undefined) {
        return enterPhase(state, Phase.prepare, now);
    }
    if (decision.version === undefined) {
        return [{ kind: "needMap" }, ...enterPhase(state, Phase.steady, now)];
    }
    return enterDropPhase(state, now);
}

/** Frees the maps that no rank uses; every rank must run the same version and have no hold. */
function enterDropPhase(state: CoordinatorState, now: number): CoordinatorAction[] {
    const readings = [...state.readings.values()];
    const loaded = new Set(readings.flatMap(reading => reading.state.loaded));
    loaded.delete(state.target?.version ?? readings[0].state.version ?? "");
    state.obsoleteVersions = [...loaded];
    return enterPhase(state, state.obsoleteVersions.length === 0 ? Phase.steady : Phase.drop, now);
}

/** Starts a new ballot: asks every slot for its promise and its engine's state. */
function startBallot(state: CoordinatorState, now: number): CoordinatorAction[] {
    state.maxRound += 1;
    state.ballot = { round: state.maxRound, rank: state.rank, nonce: state.nonce };
    state.target = undefined;
    state.startedAt = now;
    state.readings = new Map();
    return enterPhase(state, Phase.take, now);
}

function enterPhase(state: CoordinatorState, phase: Phase, now: number): CoordinatorAction[] {
    state.phase = phase;
    state.replies = new Map();
    state.phaseEndsAt = now + state.times.holdTimeoutMs;
    return sendPhaseRequests(state, now);
}

/**
 * Sends the phase's request to every rank that has not acknowledged it. Loading takes long, so in that phase the
 * others get a `read` as a heartbeat.
 */
function sendPhaseRequests(state: CoordinatorState, now: number): CoordinatorAction[] {
    const { resendIntervalMs, heartbeatIntervalMs } = state.times;
    state.resendAt = now + (state.phase === Phase.steady ? heartbeatIntervalMs : resendIntervalMs);
    const body = createRequestBody(state);
    const actions: CoordinatorAction[] = [];
    for (let to = 0; to < state.ranks; to++) {
        const { generation, ballot } = state;
        const incarnation = state.readings.get(to)?.incarnation;
        const request = { generation, ballot, to, incarnation };
        if (!state.replies.has(to)) {
            actions.push({ kind: "send", request: { ...body, ...request } });
        }
        else if (state.phase === Phase.prepare) {
            actions.push({ kind: "send", request: { kind: "read", ...request } });
        }
    }
    return actions;
}

const requestKinds: Record<Phase, RequestBody["kind"]> = {
    follow: "read",
    take: "take",
    prepare: "prepare",
    hold: "hold",
    commit: "commit",
    release: "release",
    settle: "read",
    drop: "drop",
    steady: "read",
};

function getRequestKind(phase: Phase): RequestBody["kind"] {
    return requestKinds[phase];
}

function createRequestBody(state: CoordinatorState): RequestBody {
    const version = state.target?.version ?? formatBallot(state.ballot);
    const bodies: Record<RequestBody["kind"], () => RequestBody> = {
        take: () => ({ kind: "take" }),
        read: () => ({ kind: "read" }),
        prepare: () => ({ kind: "prepare", version, map: state.proposal! }),
        hold: () => ({ kind: "hold", version, step: state.target!.step }),
        commit: () => ({ kind: "commit", version }),
        release: () => ({ kind: "release" }),
        drop: () => ({ kind: "drop", versions: state.obsoleteVersions }),
    };
    return bodies[getRequestKind(state.phase)]();
}

/** Chooses a step that no engine is likely to reach before it gets its hold; step 0 when there is no map yet. */
function chooseSwitchStep(state: CoordinatorState, now: number): number {
    const readings = [...state.readings.values()];
    if (readings[0].state.version === undefined) {
        return 0;
    }
    const projectedSteps = readings.map(({ state: engine, receivedAt }) =>
        engine.step + (now - receivedAt) / Math.max(engine.stepMs, 0.1)
    );
    const slowestStepMs = Math.max(0.1, ...readings.map(reading => reading.state.stepMs));
    return Math.ceil(Math.max(...projectedSteps) + 1 + state.leadTimeFactor * state.times.leadTimeMs / slowestStepMs);
}
