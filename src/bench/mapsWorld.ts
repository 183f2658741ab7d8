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
import { handleGroupEvent, createGroupNode, type GroupAction, type GroupEvent, type GroupNode } from "../group/node.js";
import type { EngineOrder, EngineState, ExpertMap, GroupReply, GroupRequest } from "../group/types.js";

export interface WorldOptions {
    ranks: number;
    checks: EngineChecks;
    /** Whether the log stays down from the first generation on, so that no rank can be replaced. */
    logDown: boolean;
    memberRules?: MemberRules;
    coordinatorRules?: CoordinatorRules;
}

interface WorldSlot {
    id: number;
    rank: number;
    node: GroupNode;
    engine: EngineState;
    /** Order that the running process waits for. */
    order: EngineOrder | undefined;
    /** Orders of dead processes that are still on their way. */
    late: EngineOrder[];
    up: boolean;
    paused: boolean;
    /** Records of the log that the process has read. */
    logRead: number;
    /** Slots by rank, for each generation that the process knows. */
    members: Map<number, number[]>;
}

type Message =
    | { kind: "request"; to: number; from: number; request: GroupRequest; }
    | { kind: "reply"; to: number; reply: GroupReply; };

export interface World {
    options: WorldOptions;
    random: Random;
    now: number;
    slots: WorldSlot[];
    messages: Message[];
    /** Generation records in order of their offsets: slots by rank. */
    log: { generation: number; members: number[]; }[];
    /** Version by generation and step. */
    record: Map<string, string>;
    /** Steps entered by rank, for each generation. */
    entered: Map<number, number[]>;
    failure: string | undefined;
    switches: number;
    processes: number;
}

export const worldTimes: CoordinatorTimes = {
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
export const worldMap: ExpertMap = { slotsPerRank: 1, layers: [[0]] };

/** Creates a group whose first generation is in the log. */
export function createWorld(options: WorldOptions, random: Random): World {
    const world: World = {
        options,
        random,
        now: 0,
        slots: [],
        messages: [],
        log: [],
        record: new Map(),
        entered: new Map(),
        failure: undefined,
        switches: 0,
        processes: 0,
    };
    const members = Array.from({ length: options.ranks }, (slot, rank) => addSlot(world, rank).id);
    world.log.push({ generation: 1, members });
    world.slots.forEach(slot => startProcess(world, slot));
    return world;
}

function addSlot(world: World, rank: number): WorldSlot {
    const slot: WorldSlot = {
        id: world.slots.length,
        rank,
        node: createNode(world, rank),
        engine: { ...createEngineState(), stepMs },
        order: undefined,
        late: [],
        up: false,
        paused: false,
        logRead: 0,
        members: new Map(),
    };
    world.slots.push(slot);
    return slot;
}

function createNode(world: World, rank: number): GroupNode {
    world.processes += 1;
    const { ranks, memberRules, coordinatorRules } = world.options;
    const nonce = `p${world.processes}`;
    const options = { rank, ranks, nonce, times: worldTimes, rules: coordinatorRules, memberRules };
    return createGroupNode(options, world.now, world.random.next());
}

/** Starts a process with nothing in memory. */
export function startProcess(world: World, slot: WorldSlot): void {
    slot.node = createNode(world, slot.rank);
    slot.up = true;
    slot.paused = false;
    slot.logRead = 0;
    slot.members = new Map();
    sendEvent(world, slot, { kind: "tick" });
    readLog(world, slot);
}

/** Kills a process; an order on its way may still reach the engine. */
export function crashProcess(world: World, slot: WorldSlot): void {
    if (!world.options.checks.fenced) {
        slot.late.splice(0).forEach(order => applyTo(world, slot, order));
    }
    if (slot.order !== undefined) {
        slot.late.push(slot.order);
    }
    slot.order = undefined;
    slot.up = false;
}

/** Lets a process read what the log has beyond its offset. */
export function readLog(world: World, slot: WorldSlot): void {
    for (; slot.logRead < world.log.length; slot.logRead++) {
        const { generation, members } = world.log[slot.logRead];
        if (slot.members.has(generation)) {
            continue;
        }
        slot.members.set(generation, members);
        if (members.includes(slot.id)) {
            sendEvent(world, slot, { kind: "generation", generation });
        }
    }
}

/** Replaces a rank by a fresh slot and engine; competing records of one generation may both be appended. */
export function replaceRank(world: World, rank: number): void {
    const latest = getLatest(world);
    const copies = 1 + world.random.pickIndex(2);
    for (let copy = 0; copy < copies; copy++) {
        const fresh = addSlot(world, rank);
        const members = latest.members.map((id, index) => index === rank ? fresh.id : id);
        world.log.push({ generation: latest.generation + 1, members });
        startProcess(world, fresh);
    }
}

/** Returns the generation in force: the record with the lowest offset of the highest generation. */
export function getLatest(world: World): { generation: number; members: number[]; } {
    const highest = Math.max(...world.log.map(record => record.generation));
    return world.log.find(record => record.generation === highest)!;
}

/** Gives a running process an event. */
export function sendEvent(world: World, slot: WorldSlot, event: GroupEvent): void {
    handleGroupEvent(slot.node, event, world.now, world.random.next()).forEach(action => handleAction(world, slot, action));
}

function handleAction(world: World, slot: WorldSlot, action: GroupAction): void {
    if (action.kind === "order") {
        slot.order = action.order;
    }
    else if (action.kind === "send") {
        const to = slot.members.get(action.request.generation)?.[action.request.to];
        if (to !== undefined) {
            world.messages.push({ kind: "request", to, from: slot.id, request: action.request });
        }
    }
    else if (action.kind === "reply") {
        const { ballot, generation } = action.request;
        const to = slot.members.get(generation)?.[ballot.rank];
        if (to !== undefined) {
            world.messages.push({ kind: "reply", to, reply: action.reply });
        }
    }
    else if (action.kind === "needMap") {
        slot.node.coordinator.proposal = worldMap;
    }
    else if (action.kind === "switched") {
        world.switches += 1;
    }
}

/** Delivers the message at `index`; with `keep` it stays on its way and comes again. */
export function deliverMessage(world: World, index: number, keep: boolean): void {
    const message = world.messages[index];
    if (!keep) {
        world.messages.splice(index, 1);
    }
    if (world.messages.length > maxMessages) {
        world.messages.splice(0, maxMessages / 2);
    }
    const slot = world.slots[message.to];
    if (slot.up && !slot.paused) {
        sendEvent(world, slot, message);
    }
}

/** Lets the engine work on the slot's order; an unanswered order of a fenced engine may come late. */
export function answerOrder(world: World, slot: WorldSlot, outcome: "answer" | "lost" | "late"): void {
    const { order } = slot;
    if (order === undefined || slot.paused) {
        return;
    }
    slot.order = undefined;
    if (outcome === "late") {
        slot.late.push(order);
    }
    else {
        applyTo(world, slot, order);
    }
    const event: GroupEvent = outcome === "answer" ?
        { kind: "engine", state: copyEngineState(slot.engine) } :
        { kind: "engineFailed" };
    sendEvent(world, slot, event);
}

/** Lets an order of a dead process reach the engine. */
export function applyLateOrder(world: World, slot: WorldSlot): void {
    const order = slot.late.shift();
    if (order !== undefined) {
        applyTo(world, slot, order);
    }
}

function applyTo(world: World, slot: WorldSlot, order: EngineOrder): void {
    const before = slot.engine.loaded;
    applyOrder(slot.engine, order, world.options.checks);
    const dropped = before.filter(version => !slot.engine.loaded.includes(version));
    const { generation } = slot.engine;
    const early = world.slots.find(other =>
        other.engine.generation === generation && dropped.includes(other.engine.version ?? "")
    );
    if (early !== undefined) {
        fail(world, `rank ${slot.rank} dropped ${early.engine.version} before rank ${early.rank} had left it`);
    }
}

/** Lets an engine enter its next step if every rank has entered the one before. */
export function advanceEngine(world: World, slot: WorldSlot): boolean {
    const { engine } = slot;
    const { step, generation } = engine;
    const version = getNextVersion(engine);
    const entered = world.entered.get(generation) ?? Array.from({ length: world.options.ranks }, () => 0);
    world.entered.set(generation, entered);
    if (version === undefined || entered.some(count => count < step)) {
        return false;
    }
    enterStep(engine);
    entered[slot.rank] = Math.max(entered[slot.rank], engine.step);
    const key = `${generation}/${step}`;
    const other = world.record.get(key);
    if (other !== undefined && other !== version) {
        fail(world, `step ${key} ran on ${other} and on ${version}`);
    }
    world.record.set(key, version);
    if (!engine.loaded.includes(version)) {
        fail(world, `rank ${slot.rank} ran step ${key} on ${version}, which it had not loaded`);
    }
    return true;
}

function fail(world: World, what: string): void {
    world.failure ??= what;
}
