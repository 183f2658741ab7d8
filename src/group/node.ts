/**
 * One slot's part in a switch of the group's expert map: its member (acceptor) and its coordinator (proposer) behind
 * one event handler.
 */
import { advanceCoordinator, enterGeneration, handleReply, observeBallot, proposeMap } from "./coordinator.js";
import {
    type CoordinatorAction,
    type CoordinatorOptions,
    type CoordinatorState,
    createCoordinator,
} from "./coordinatorState.js";
import {
    createMember,
    handleEngineFailure,
    handleEngineState,
    handleRequest,
    joinGeneration,
    type MemberAction,
    type MemberRules,
    type MemberState,
    pollEngine,
} from "./member.js";
import { compareBallots, type EngineState, type ExpertMap, type GroupReply, type GroupRequest } from "./types.js";

/** State of one slot; `handleGroupEvent` changes it. */
export interface GroupNode {
    member: MemberState;
    coordinator: CoordinatorState;
}

export type GroupEvent =
    | { kind: "tick"; }
    | { kind: "request"; request: GroupRequest; }
    | { kind: "reply"; reply: GroupReply; }
    /** The engine has responded to the order that it was sent last. */
    | { kind: "engine"; state: EngineState; }
    /** The engine has not responded to the order. */
    | { kind: "engineFailed"; }
    /** The log has a later generation, of which this slot is a member. */
    | { kind: "generation"; generation: number; }
    | { kind: "propose"; map: ExpertMap; };

export type GroupAction = MemberAction | CoordinatorAction;

/** Creates the state of a slot whose process has just started. */
export function createGroupNode(
    options: CoordinatorOptions & { memberRules?: MemberRules; },
    now: number,
    random: number,
): GroupNode {
    return {
        member: createMember(options.rank, options.nonce, options.memberRules),
        coordinator: createCoordinator(options, now, random),
    };
}

/**
 * Handles one event and returns the actions for the caller to carry out. `now` is in milliseconds; `random` in [0, 1)
 * spreads the slots' elections.
 */
export function handleGroupEvent(node: GroupNode, event: GroupEvent, now: number, random: number): GroupAction[] {
    return eventHandlers[event.kind](node, event as never, now, random);
}

type EventOf<K extends GroupEvent["kind"]> = Extract<GroupEvent, { kind: K; }>;

const eventHandlers: {
    [K in GroupEvent["kind"]]: (node: GroupNode, event: EventOf<K>, now: number, random: number) => GroupAction[];
} = {
    tick: ({ member, coordinator }, event, now, random) => [
        ...pollEngine(member),
        ...advanceCoordinator(coordinator, now, random),
    ],
    request: ({ member, coordinator }, { request }, now, random) => {
        const isOther = request.ballot.rank !== member.rank || request.ballot.nonce !== member.incarnation;
        if (isOther && compareBallots(request.ballot, member.promised) >= 0) {
            const isIdle = request.kind === "read" && member.engine?.hold === undefined;
            observeBallot(coordinator, request.ballot, isIdle, now, random);
        }
        return handleRequest(member, request);
    },
    reply: ({ coordinator }, { reply }, now, random) => handleReply(coordinator, reply, now, random),
    engine: ({ member, coordinator }, { state }, now, random) => {
        const actions = handleEngineState(member, state);
        if (state.generation > coordinator.generation) {
            enterGeneration(coordinator, state.generation, now, random);
        }
        return actions;
    },
    engineFailed: ({ member }) => handleEngineFailure(member),
    generation: ({ member }, { generation }) => joinGeneration(member, generation),
    propose: ({ coordinator }, { map }, now) => proposeMap(coordinator, map, now),
};
