/**
 * Simulates a group that switches its expert map: slots (one process beside each engine), engines that run in lockstep,
 * and a network that loses, duplicates, delays and reorders messages. The slots run the production decision modules.
 * Not simulated: message sizes, CPU time, and the time to load weights. An order from a crashed slot process may reach
 * its engine later; if the engine does not check fencing tokens, the order arrives before the next process of that slot
 * crashes.
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
    /** Whether the log is unavailable after the first generation, so that no rank can be replaced. */
    isLogDown: boolean;
    memberRules?: MemberRules;
    coordinatorRules?: CoordinatorRules;
}

interface SimulatedSlot {
    id: number;
    rank: number;
    node: GroupNode;
    engine: EngineState;
    /** Order whose result the running process waits for. */
    pendingOrder: EngineOrder | undefined;
    /** Orders that the process no longer waits for and that have not reached the engine yet. */
    delayedOrders: EngineOrder[];
    isRunning: boolean;
    isPaused: boolean;
    /** Number of log records that the process has read. */
    logPosition: number;
    /** Slot ids by rank, for each generation that the process has read. */
    membersByGeneration: Map<number, number[]>;
}

type NetworkMessage =
    | { kind: "request"; to: number; from: number; request: GroupRequest; }
    | { kind: "reply"; to: number; reply: GroupReply; };

export interface GroupSimulation {
    options: GroupSimulationOptions;
    random: Random;
    /** Simulated time, in milliseconds. */
    now: number;
    /** All slots that ever existed, by id. */
    slots: SimulatedSlot[];
    messages: NetworkMessage[];
    /** Generation records by offset; `members` are slot ids by rank. */
    generationLog: { generation: number; members: number[]; }[];
    /** Map version that each step ran on, by generation and step. */
    versionsByStep: Map<string, string>;
    /** Number of steps entered, by rank, for each generation. */
    enteredSteps: Map<number, number[]>;
    /** First violated invariant. */
    violation: string | undefined;
    /** Number of completed map switches. */
    switches: number;
    /** Number of processes started so far, which makes their nonces unique. */
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
/** Duration of an engine step as its state reports it, in milliseconds. */
const stepMs = 10;
/** Maximum number of messages in flight; above it, the network drops the oldest half. */
const maxMessagesInFlight = 400;
/** The smallest map: one layer with one expert, on one slot per rank. */
export const simulatedMap: ExpertMap = { slotsPerRank: 1, layers: [[0]] };

/** Creates a group whose first generation is in the log, and starts its processes. */
export function createGroupSimulation(options: GroupSimulationOptions, random: Random): GroupSimulation {
    const simulation: GroupSimulation = {
        options,
        random,
        now: 0,
        slots: [],
        messages: [],
        generationLog: [],
        versionsByStep: new Map(),
        enteredSteps: new Map(),
        violation: undefined,
        switches: 0,
        processCount: 0,
    };
    const members = Array.from({ length: options.ranks }, (slot, rank) => addSlot(simulation, rank).id);
    simulation.generationLog.push({ generation: 1, members });
    simulation.slots.forEach(slot => startProcess(simulation, slot));
    return simulation;
}

function addSlot(simulation: GroupSimulation, rank: number): SimulatedSlot {
    const slot: SimulatedSlot = {
        id: simulation.slots.length,
        rank,
        node: createNode(simulation, rank),
        engine: { ...createEngineState(), stepMs },
        pendingOrder: undefined,
        delayedOrders: [],
        isRunning: false,
        isPaused: false,
        logPosition: 0,
        membersByGeneration: new Map(),
    };
    simulation.slots.push(slot);
    return slot;
}

function createNode(simulation: GroupSimulation, rank: number): GroupNode {
    simulation.processCount += 1;
    const { ranks, memberRules, coordinatorRules } = simulation.options;
    const nonce = `p${simulation.processCount}`;
    const options = { rank, ranks, nonce, times: coordinatorTimes, rules: coordinatorRules, memberRules };
    return createGroupNode(options, simulation.now, simulation.random.next());
}

/** Starts a process that has no state. */
export function startProcess(simulation: GroupSimulation, slot: SimulatedSlot): void {
    slot.node = createNode(simulation, slot.rank);
    slot.isRunning = true;
    slot.isPaused = false;
    slot.logPosition = 0;
    slot.membersByGeneration = new Map();
    dispatchEvent(simulation, slot, { kind: "tick" });
    readLog(simulation, slot);
}

/** Crashes a process; its pending order may still reach the engine. */
export function crashProcess(simulation: GroupSimulation, slot: SimulatedSlot): void {
    if (!simulation.options.checks.fenced) {
        slot.delayedOrders.splice(0).forEach(order => applyOrderToEngine(simulation, slot, order));
    }
    if (slot.pendingOrder !== undefined) {
        slot.delayedOrders.push(slot.pendingOrder);
    }
    slot.pendingOrder = undefined;
    slot.isRunning = false;
}

/** Reads the log from the process's position to the end. */
export function readLog(simulation: GroupSimulation, slot: SimulatedSlot): void {
    for (; slot.logPosition < simulation.generationLog.length; slot.logPosition++) {
        const { generation, members } = simulation.generationLog[slot.logPosition];
        if (slot.membersByGeneration.has(generation)) {
            continue;
        }
        slot.membersByGeneration.set(generation, members);
        if (members.includes(slot.id)) {
            dispatchEvent(simulation, slot, { kind: "generation", generation });
        }
    }
}

/** Replaces a rank by a new slot and engine; sometimes two competing records of the new generation are appended. */
export function replaceRank(simulation: GroupSimulation, rank: number): void {
    const current = getCurrentGeneration(simulation);
    const copies = 1 + simulation.random.pickIndex(2);
    for (let copy = 0; copy < copies; copy++) {
        const newSlot = addSlot(simulation, rank);
        const members = current.members.map((id, index) => index === rank ? newSlot.id : id);
        simulation.generationLog.push({ generation: current.generation + 1, members });
        startProcess(simulation, newSlot);
    }
}

/** Returns the current generation: of the records of the highest generation, the first one in the log. */
export function getCurrentGeneration(simulation: GroupSimulation): { generation: number; members: number[]; } {
    const highest = Math.max(...simulation.generationLog.map(record => record.generation));
    return simulation.generationLog.find(record => record.generation === highest)!;
}

/** Passes an event to a running process and executes the resulting actions. */
export function dispatchEvent(simulation: GroupSimulation, slot: SimulatedSlot, event: GroupEvent): void {
    handleGroupEvent(slot.node, event, simulation.now, simulation.random.next()).forEach(action =>
        executeAction(simulation, slot, action)
    );
}

function executeAction(simulation: GroupSimulation, slot: SimulatedSlot, action: GroupAction): void {
    if (action.kind === "order") {
        slot.pendingOrder = action.order;
    }
    else if (action.kind === "send") {
        const to = slot.membersByGeneration.get(action.request.generation)?.[action.request.to];
        if (to !== undefined) {
            simulation.messages.push({ kind: "request", to, from: slot.id, request: action.request });
        }
    }
    else if (action.kind === "reply") {
        const { ballot, generation } = action.request;
        const to = slot.membersByGeneration.get(generation)?.[ballot.rank];
        if (to !== undefined) {
            simulation.messages.push({ kind: "reply", to, reply: action.reply });
        }
    }
    else if (action.kind === "needMap") {
        slot.node.coordinator.proposal = simulatedMap;
    }
    else if (action.kind === "switched") {
        simulation.switches += 1;
    }
}

/** Delivers the message at `index`; with `keep`, it stays in flight and is delivered again later. */
export function deliverMessage(simulation: GroupSimulation, index: number, keep: boolean): void {
    const message = simulation.messages[index];
    if (!keep) {
        simulation.messages.splice(index, 1);
    }
    if (simulation.messages.length > maxMessagesInFlight) {
        simulation.messages.splice(0, maxMessagesInFlight / 2);
    }
    const slot = simulation.slots[message.to];
    if (slot.isRunning && !slot.isPaused) {
        dispatchEvent(simulation, slot, message);
    }
}

/**
 * Resolves the pending order of a running slot. "answer": the engine applies it and responds; "lost": the engine
 * applies it but the response is lost; "late": the process sees a failure and the engine applies it later.
 */
export function executeOrder(
    simulation: GroupSimulation,
    slot: SimulatedSlot,
    outcome: "answer" | "lost" | "late",
): void {
    const { pendingOrder: order } = slot;
    if (order === undefined || slot.isPaused) {
        return;
    }
    slot.pendingOrder = undefined;
    if (outcome === "late") {
        slot.delayedOrders.push(order);
    }
    else {
        applyOrderToEngine(simulation, slot, order);
    }
    const event: GroupEvent = outcome === "answer" ?
        { kind: "engine", state: copyEngineState(slot.engine) } :
        { kind: "engineFailed" };
    dispatchEvent(simulation, slot, event);
}

/** Applies the oldest delayed order at the engine. */
export function applyDelayedOrder(simulation: GroupSimulation, slot: SimulatedSlot): void {
    const order = slot.delayedOrders.shift();
    if (order !== undefined) {
        applyOrderToEngine(simulation, slot, order);
    }
}

function applyOrderToEngine(simulation: GroupSimulation, slot: SimulatedSlot, order: EngineOrder): void {
    const loadedBefore = slot.engine.loaded;
    applyOrder(slot.engine, order, simulation.options.checks);
    const dropped = loadedBefore.filter(version => !slot.engine.loaded.includes(version));
    const { generation } = slot.engine;
    const lagging = simulation.slots.find(other =>
        other.engine.generation === generation && dropped.includes(other.engine.version ?? "")
    );
    if (lagging !== undefined) {
        recordViolation(
            simulation,
            `rank ${slot.rank} dropped ${lagging.engine.version} before rank ${lagging.rank} had left it`,
        );
    }
}

/**
 * Makes an engine enter its next step if every rank has entered the current one, and checks the map version that the
 * step runs on. Returns whether the step was entered.
 */
export function enterNextStep(simulation: GroupSimulation, slot: SimulatedSlot): boolean {
    const { engine } = slot;
    const { step, generation } = engine;
    const version = getNextVersion(engine);
    const entered = simulation.enteredSteps.get(generation) ??
        Array.from({ length: simulation.options.ranks }, () => 0);
    simulation.enteredSteps.set(generation, entered);
    if (version === undefined || entered.some(count => count < step)) {
        return false;
    }
    enterStep(engine);
    entered[slot.rank] = Math.max(entered[slot.rank], engine.step);
    const key = `${generation}/${step}`;
    const knownVersion = simulation.versionsByStep.get(key);
    if (knownVersion !== undefined && knownVersion !== version) {
        recordViolation(simulation, `step ${key} ran on ${knownVersion} and on ${version}`);
    }
    simulation.versionsByStep.set(key, version);
    if (!engine.loaded.includes(version)) {
        recordViolation(simulation, `rank ${slot.rank} ran step ${key} on ${version}, which it had not loaded`);
    }
    return true;
}

function recordViolation(simulation: GroupSimulation, violation: string): void {
    simulation.violation ??= violation;
}
