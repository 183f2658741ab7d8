/**
 * A group of slots over lock-step engines and a network that loses, repeats, delays and reorders messages.
 * The decision modules are the ones that the slots run. Left out: sizes, processor time and the loading of weights,
 * which takes no time here. An order of a dead slot process may still reach its engine later; at an engine that
 * ignores fencing numbers it does so before the next process of that slot dies.
 */
import type { Random } from "../core/random.js";
import type { CoordinatorRules, CoordinatorTimes } from "../group/coordinatorState.js";
import {
    applyOrder,
    copyEngineState,
    createEngineState,
    type EngineChecks,
    enterStep,
    getNextVersion,
} from "../group/engineRules.js";
import type { MemberRules } from "../group/member.js";
import { createGroupNode, type GroupAction, type GroupEvent, type GroupNode, handleGroupEvent } from "../group/node.js";
import type { EngineOrder, EngineState, ExpertMap, GroupReply, GroupRequest } from "../group/types.js";

export interface GroupSimulationOptions {
    ranks: number;
    checks: EngineChecks;
    /** Whether the log stays down from the first generation on, so that no rank can be replaced. */
    isLogDown: boolean;
    memberRules?: MemberRules;
    coordinatorRules?: CoordinatorRules;
}

interface SimulatedSlot {
    id: number;
    rank: number;
    node: GroupNode;
    engine: EngineState;
    /** Order that the running process waits for. */
    pendingOrder: EngineOrder | undefined;
    /** Orders of dead processes that are still on their way. */
    delayedOrders: EngineOrder[];
    isRunning: boolean;
    isPaused: boolean;
    /** Records of the log that the process has read. */
    logPosition: number;
    /** Slots by rank, for each generation that the process knows. */
    membersByGeneration: Map<number, number[]>;
}

type Message =
    | { kind: "request"; to: number; from: number; request: GroupRequest; }
    | { kind: "reply"; to: number; reply: GroupReply; };

export interface GroupSimulation {
    options: GroupSimulationOptions;
    random: Random;
    now: number;
    slots: SimulatedSlot[];
    messages: Message[];
    /** Generation records in order of their offsets: slots by rank. */
    generationLog: { generation: number; members: number[]; }[];
    /** Version by generation and step. */
    versionsByStep: Map<string, string>;
    /** Steps entered by rank, for each generation. */
    enteredSteps: Map<number, number[]>;
    failure: string | undefined;
    switches: number;
    processCount: number;
}

export const coordinatorTimes: CoordinatorTimes = {
    resendIntervalMs: 20,
    heartbeatIntervalMs: 40,
    electionTimeoutMs: 100,
    idleElectionTimeoutMs: 200,
    holdTimeoutMs: 100,
    leadTimeMs: 20,
};
const stepMs = 10;
/** Messages that the network holds; it loses the oldest ones of a flood. */
const maxMessages = 400;
export const simulatedMap: ExpertMap = { slotsPerRank: 1, layers: [[0]] };

/** Creates a group whose first generation is in the log. */
export function createGroupSimulation(options: GroupSimulationOptions, random: Random): GroupSimulation {
    const world: GroupSimulation = {
        options,
        random,
        now: 0,
        slots: [],
        messages: [],
        generationLog: [],
        versionsByStep: new Map(),
        enteredSteps: new Map(),
        failure: undefined,
        switches: 0,
        processCount: 0,
    };
    const members = Array.from({ length: options.ranks }, (slot, rank) => addSlot(world, rank).id);
    world.generationLog.push({ generation: 1, members });
    world.slots.forEach(slot => startProcess(world, slot));
    return world;
}

function addSlot(world: GroupSimulation, rank: number): SimulatedSlot {
    const slot: SimulatedSlot = {
        id: world.slots.length,
        rank,
        node: createNode(world, rank),
        engine: { ...createEngineState(), stepMs },
        pendingOrder: undefined,
        delayedOrders: [],
        isRunning: false,
        isPaused: false,
        logPosition: 0,
        membersByGeneration: new Map(),
    };
    world.slots.push(slot);
    return slot;
}

function createNode(world: GroupSimulation, rank: number): GroupNode {
    world.processCount += 1;
    const { ranks, memberRules, coordinatorRules } = world.options;
    const nonce = `p${world.processCount}`;
    const options = { rank, ranks, nonce, times: coordinatorTimes, rules: coordinatorRules, memberRules };
    return createGroupNode(options, world.now, world.random.next());
}

/** Starts a process with nothing in memory. */
export function startProcess(world: GroupSimulation, slot: SimulatedSlot): void {
    slot.node = createNode(world, slot.rank);
    slot.isRunning = true;
    slot.isPaused = false;
    slot.logPosition = 0;
    slot.membersByGeneration = new Map();
    dispatchEvent(world, slot, { kind: "tick" });
    readLog(world, slot);
}

/** Kills a process; an order on its way may still reach the engine. */
export function crashProcess(world: GroupSimulation, slot: SimulatedSlot): void {
    if (!world.options.checks.fenced) {
        slot.delayedOrders.splice(0).forEach(order => applyOrderToEngine(world, slot, order));
    }
    if (slot.pendingOrder !== undefined) {
        slot.delayedOrders.push(slot.pendingOrder);
    }
    slot.pendingOrder = undefined;
    slot.isRunning = false;
}

/** Lets a process read what the log has beyond its offset. */
export function readLog(world: GroupSimulation, slot: SimulatedSlot): void {
    for (; slot.logPosition < world.generationLog.length; slot.logPosition++) {
        const { generation, members } = world.generationLog[slot.logPosition];
        if (slot.membersByGeneration.has(generation)) {
            continue;
        }
        slot.membersByGeneration.set(generation, members);
        if (members.includes(slot.id)) {
            dispatchEvent(world, slot, { kind: "generation", generation });
        }
    }
}

/** Replaces a rank by a fresh slot and engine; competing records of one generation may both be appended. */
export function replaceRank(world: GroupSimulation, rank: number): void {
    const latest = getCurrentGeneration(world);
    const copies = 1 + world.random.pickIndex(2);
    for (let copy = 0; copy < copies; copy++) {
        const fresh = addSlot(world, rank);
        const members = latest.members.map((id, index) => index === rank ? fresh.id : id);
        world.generationLog.push({ generation: latest.generation + 1, members });
        startProcess(world, fresh);
    }
}

/** Returns the generation in force: the record with the lowest offset of the highest generation. */
export function getCurrentGeneration(world: GroupSimulation): { generation: number; members: number[]; } {
    const highest = Math.max(...world.generationLog.map(record => record.generation));
    return world.generationLog.find(record => record.generation === highest)!;
}

/** Gives a running process an event. */
export function dispatchEvent(world: GroupSimulation, slot: SimulatedSlot, event: GroupEvent): void {
    handleGroupEvent(slot.node, event, world.now, world.random.next()).forEach(action =>
        executeAction(world, slot, action)
    );
}

function executeAction(world: GroupSimulation, slot: SimulatedSlot, action: GroupAction): void {
    if (action.kind === "order") {
        slot.pendingOrder = action.order;
    }
    else if (action.kind === "send") {
        const to = slot.membersByGeneration.get(action.request.generation)?.[action.request.to];
        if (to !== undefined) {
            world.messages.push({ kind: "request", to, from: slot.id, request: action.request });
        }
    }
    else if (action.kind === "reply") {
        const { ballot, generation } = action.request;
        const to = slot.membersByGeneration.get(generation)?.[ballot.rank];
        if (to !== undefined) {
            world.messages.push({ kind: "reply", to, reply: action.reply });
        }
    }
    else if (action.kind === "needMap") {
        slot.node.coordinator.proposal = simulatedMap;
    }
    else if (action.kind === "switched") {
        world.switches += 1;
    }
}

/** Delivers the message at `index`; with `keep` it stays on its way and comes again. */
export function deliverMessage(world: GroupSimulation, index: number, keep: boolean): void {
    const message = world.messages[index];
    if (!keep) {
        world.messages.splice(index, 1);
    }
    if (world.messages.length > maxMessages) {
        world.messages.splice(0, maxMessages / 2);
    }
    const slot = world.slots[message.to];
    if (slot.isRunning && !slot.isPaused) {
        dispatchEvent(world, slot, message);
    }
}

/** Lets the engine work on the slot's order; an unanswered order of a fenced engine may come late. */
export function executeOrder(world: GroupSimulation, slot: SimulatedSlot, outcome: "answer" | "lost" | "late"): void {
    const { pendingOrder: order } = slot;
    if (order === undefined || slot.isPaused) {
        return;
    }
    slot.pendingOrder = undefined;
    if (outcome === "late") {
        slot.delayedOrders.push(order);
    }
    else {
        applyOrderToEngine(world, slot, order);
    }
    const event: GroupEvent = outcome === "answer" ?
        { kind: "engine", state: copyEngineState(slot.engine) } :
        { kind: "engineFailed" };
    dispatchEvent(world, slot, event);
}

/** Lets an order of a dead process reach the engine. */
export function applyDelayedOrder(world: GroupSimulation, slot: SimulatedSlot): void {
    const order = slot.delayedOrders.shift();
    if (order !== undefined) {
        applyOrderToEngine(world, slot, order);
    }
}

function applyOrderToEngine(world: GroupSimulation, slot: SimulatedSlot, order: EngineOrder): void {
    const before = slot.engine.loaded;
    applyOrder(slot.engine, order, world.options.checks);
    const dropped = before.filter(version => !slot.engine.loaded.includes(version));
    const { generation } = slot.engine;
    const early = world.slots.find(other =>
        other.engine.generation === generation && dropped.includes(other.engine.version ?? "")
    );
    if (early !== undefined) {
        recordFailure(world, `rank ${slot.rank} dropped ${early.engine.version} before rank ${early.rank} had left it`);
    }
}

/** Lets an engine enter its next step if every rank has entered the one before. */
export function enterNextStep(world: GroupSimulation, slot: SimulatedSlot): boolean {
    const { engine } = slot;
    const { step, generation } = engine;
    const version = getNextVersion(engine);
    const entered = world.enteredSteps.get(generation) ?? Array.from({ length: world.options.ranks }, () => 0);
    world.enteredSteps.set(generation, entered);
    if (version === undefined || entered.some(count => count < step)) {
        return false;
    }
    enterStep(engine);
    entered[slot.rank] = Math.max(entered[slot.rank], engine.step);
    const key = `${generation}/${step}`;
    const other = world.versionsByStep.get(key);
    if (other !== undefined && other !== version) {
        recordFailure(world, `step ${key} ran on ${other} and on ${version}`);
    }
    world.versionsByStep.set(key, version);
    if (!engine.loaded.includes(version)) {
        recordFailure(world, `rank ${slot.rank} ran step ${key} on ${version}, which it had not loaded`);
    }
    return true;
}

function recordFailure(world: GroupSimulation, what: string): void {
    world.failure ??= what;
}
