/**
 * A slot's member of a switch of the group's expert map, which is the acceptor of ballots: it promises ballots, sends
 * orders to the engine beside it, and replies from the engine's state after the order. Requests are handled one at a
 * time, so that every check sees the engine as the previous order left it. All functions change the given state and
 * return the actions for the caller to carry out.
 */
import {
    type Ballot,
    compareBallots,
    type EngineOrder,
    type EngineState,
    type GroupReply,
    type GroupRequest,
    type GroupRequestKind,
    parseBallot,
    RefusalReason,
} from "./types.js";

/** Work that needs the engine. */
type Job = { kind: "request"; request: GroupRequest; } | { kind: "join"; generation: number; } | { kind: "read"; };

export interface MemberState {
    rank: number;
    /** Incarnation of this slot's process. */
    incarnation: string;
    /** Last known state of the engine; undefined until it has responded once. */
    engine: EngineState | undefined;
    /** Highest ballot promised; requests of lower ones are refused. */
    promised: Ballot | undefined;
    /** Ballot whose hold was released; a delayed copy of that hold request is refused. */
    released: Ballot | undefined;
    /** Jobs in order of arrival; the first one is under way. */
    jobs: Job[];
    /** Whether an order awaits the engine's response. */
    waiting: boolean;
    rules: MemberRules;
}

export type MemberAction =
    | { kind: "order"; order: EngineOrder; }
    | { kind: "reply"; request: GroupRequest; reply: GroupReply; };

/** Rules: the checks of requests that the safety of a switch depends on; tests replace them by faulty ones. */
export interface MemberRules {
    checkBallot: (state: MemberState, request: GroupRequest) => RefusalReason | undefined;
    checkHold: (engine: EngineState, step: number) => RefusalReason | undefined;
}

export const memberRules: MemberRules = {
    checkBallot: (state, request) => {
        const comparison = compareBallots(request.ballot, state.promised);
        if (request.kind === "take") {
            return comparison < 0 ? RefusalReason.ballot : undefined;
        }
        if (comparison !== 0) {
            return RefusalReason.ballot;
        }
        return request.incarnation === state.incarnation ? undefined : RefusalReason.incarnation;
    },
    checkHold: (engine, step) => step < engine.step ? RefusalReason.behind : undefined,
};

/** Creates the state of a slot whose process has just started; its first job reads the engine. */
export function createMember(rank: number, incarnation: string, rules: MemberRules = memberRules): MemberState {
    return {
        rank,
        incarnation,
        engine: undefined,
        promised: undefined,
        released: undefined,
        jobs: [{ kind: "read" }],
        waiting: false,
        rules,
    };
}

/** Handles a coordinator's request. */
export function handleRequest(state: MemberState, request: GroupRequest): MemberAction[] {
    state.jobs.push({ kind: "request", request });
    return runJobs(state);
}

/** Orders the engine to join a generation that the log has decided. */
export function joinGeneration(state: MemberState, generation: number): MemberAction[] {
    state.jobs.push({ kind: "join", generation });
    return runJobs(state);
}

/** Handles the engine's response to the order that was sent last. */
export function handleEngineState(state: MemberState, engine: EngineState): MemberAction[] {
    updateEngineState(state, engine);
    state.waiting = false;
    const job = state.jobs[0];
    if (job?.kind !== "request") {
        state.jobs.shift();
        return runJobs(state);
    }
    const { request } = job;
    if (hasStaleHold(request, engine)) {
        state.waiting = true;
        return [{ kind: "order", order: { kind: "claim", ballot: request.ballot } }];
    }
    state.jobs.shift();
    const refusal = verifyResult[request.kind](request as never, engine) ?? checkHoldStep(state, engine, request);
    return [createReply(state, request, refusal), ...runJobs(state)];
}

/** Handles a missing response of the engine: discards requests, which the coordinator resends, but keeps joins. */
export function handleEngineFailure(state: MemberState): MemberAction[] {
    state.waiting = false;
    const joins = state.jobs.filter(job => job.kind === "join");
    state.jobs = state.engine === undefined ? [{ kind: "read" }, ...joins] : joins;
    return [];
}

/** Resumes the jobs after a failure, or reads the engine's state when there are none; call at intervals. */
export function pollEngine(state: MemberState): MemberAction[] {
    if (state.jobs.length === 0) {
        state.jobs.push({ kind: "read" });
    }
    return runJobs(state);
}

/** Updates the engine's state, and takes over promises from it: they survive a restart of the slot's process there. */
function updateEngineState(state: MemberState, engine: EngineState): void {
    if (state.engine !== undefined && engine.generation > state.engine.generation) {
        state.released = undefined;
    }
    state.engine = engine;
    const mapBallot = engine.version === undefined ? undefined : parseBallot(engine.version);
    for (const ballot of [engine.fence, engine.hold?.ballot, mapBallot]) {
        if (compareBallots(ballot, state.promised) > 0) {
            state.promised = ballot;
        }
    }
}

/** Whether a late order of a process that has died transferred the hold back to an earlier ballot. */
function hasStaleHold(request: GroupRequest, engine: EngineState): boolean {
    return (request.kind === "commit" || request.kind === "release") && engine.hold !== undefined &&
        !engine.hold.committed && compareBallots(engine.hold.ballot, request.ballot) < 0;
}

/** Runs jobs in order until one has to wait for the engine. */
function runJobs(state: MemberState): MemberAction[] {
    const actions: MemberAction[] = [];
    while (!state.waiting && state.jobs.length > 0) {
        const job = state.jobs[0];
        const order = job.kind === "request" ? admitRequest(state, job.request, actions) : job;
        if (order === undefined) {
            state.jobs.shift();
            continue;
        }
        state.waiting = true;
        actions.push({ kind: "order", order });
    }
    return actions;
}

/** Checks a request and returns its order; on refusal adds the reply to `actions` and returns undefined. */
function admitRequest(state: MemberState, request: GroupRequest, actions: MemberAction[]): EngineOrder | undefined {
    const engine = state.engine;
    if (engine === undefined) {
        return { kind: "read" };
    }
    const refusal = checkRequest(state, engine, request);
    if (refusal !== undefined) {
        actions.push(createReply(state, request, refusal));
        return undefined;
    }
    if (request.kind === "take") {
        state.promised = request.ballot;
    }
    if (request.kind === "release") {
        state.released = request.ballot;
    }
    return createOrder[request.kind](request as never);
}

function checkRequest(state: MemberState, engine: EngineState, request: GroupRequest): RefusalReason | undefined {
    if (request.generation !== engine.generation) {
        return RefusalReason.generation;
    }
    const refusal = state.rules.checkBallot(state, request);
    if (refusal !== undefined || request.kind !== "hold") {
        return refusal;
    }
    if (compareBallots(request.ballot, state.released) === 0) {
        return RefusalReason.ballot;
    }
    return checkHoldStep(state, engine, request);
}

/** Checks the step of a hold, both before the order and against the engine's state after it. */
function checkHoldStep(state: MemberState, engine: EngineState, request: GroupRequest): RefusalReason | undefined {
    return request.kind === "hold" ? state.rules.checkHold(engine, request.step) : undefined;
}

type RequestOf<K extends GroupRequestKind> = Extract<GroupRequest, { kind: K; }>;

const createOrder: { [K in GroupRequestKind]: (request: RequestOf<K>) => EngineOrder; } = {
    take: ({ ballot }) => ({ kind: "claim", ballot }),
    read: () => ({ kind: "read" }),
    prepare: ({ ballot, version, map }) => ({ kind: "load", ballot, version, map }),
    hold: ({ ballot, version, step }) => ({ kind: "hold", ballot, version, step }),
    commit: ({ ballot, version }) => ({ kind: "commit", ballot, version }),
    release: ({ ballot }) => ({ kind: "release", ballot }),
    drop: ({ ballot, versions }) => ({ kind: "drop", ballot, versions }),
};

/** Verifies from the engine's state after the order that the order took effect. */
const verifyResult: {
    [K in GroupRequestKind]: (request: RequestOf<K>, engine: EngineState) => RefusalReason | undefined;
} = {
    take: ({ ballot }, engine) => compareBallots(engine.fence, ballot) > 0 ? RefusalReason.ballot : undefined,
    read: () => undefined,
    prepare: ({ version }, engine) => engine.loaded.includes(version) ? undefined : RefusalReason.engine,
    hold: ({ version, step, ballot }, { hold }) => {
        const isHeld = hold?.version === version && hold.step === step && compareBallots(hold.ballot, ballot) === 0;
        return isHeld ? undefined : RefusalReason.engine;
    },
    commit: ({ version }, engine) => {
        const isCommitted = engine.hold?.version === version && engine.hold.committed;
        return isCommitted || engine.version === version ? undefined : RefusalReason.engine;
    },
    release: (request, engine) => engine.hold === undefined ? undefined : RefusalReason.engine,
    drop: ({ versions }, engine) =>
        versions.some(version => engine.loaded.includes(version)) ? RefusalReason.engine : undefined,
};

function createReply(state: MemberState, request: GroupRequest, refusal: RefusalReason | undefined): MemberAction {
    const reply: GroupReply = {
        kind: request.kind,
        generation: state.engine?.generation ?? 0,
        ballot: request.ballot,
        rank: state.rank,
        incarnation: state.incarnation,
        state: state.engine!,
        refusal,
        promised: refusal === undefined ? undefined : state.promised,
    };
    return { kind: "reply", request, reply };
}
