/** Explores schedules of map switches under faults: `npm run explore -- maps --runs N --seed S`. */
import { createRandom, type Random } from "../core/random.js";
import { Phase } from "../group/coordinatorState.js";
import {
    applyDelayedOrder,
    crashProcess,
    createGroupSimulation,
    deliverMessage,
    dispatchEvent,
    enterNextStep,
    executeOrder,
    getCurrentGeneration,
    type GroupSimulation,
    type GroupSimulationOptions,
    readLog,
    replaceRank,
    simulatedMap,
    startProcess,
} from "./groupSimulation.js";

export interface ScheduleOptions extends Pick<GroupSimulationOptions, "memberRules" | "coordinatorRules"> {
    /** Whether engines match the ballots of holds; true by default. */
    matchesHolds?: boolean;
    /** Whether the schedule ends with healing; true by default. */
    heals?: boolean;
}

export interface ScheduleResult {
    seed: number;
    /** What broke; undefined when nothing did. */
    failure: string | undefined;
    switches: number;
    steps: number;
    healingRounds: number;
}

const faultFreeRounds = 25;
const actionCount = 240;
/** Rounds of one tick, all deliveries and one step each, within which a healed group has to step again. */
export const maxHealingRounds = 300;
const stepsAfterHealing = 5;
/** Shares of faults among the actions; most schedules have few, so that switches get far before one strikes. */
const faultIntensities = [0.05, 0.1, 0.3, 1];
const tickMs = 10;

/** Runs `runs` schedules from `seed` on. */
export async function exploreSchedules(runs: number, seed: number) {
    const failures: { seed: number; what: string; }[] = [];
    let switches = 0;
    let worstHealRounds = 0;
    for (let index = 0; index < runs; index++) {
        const result = runSchedule(seed + index);
        switches += result.switches;
        worstHealRounds = Math.max(worstHealRounds, result.healingRounds);
        if (result.failure !== undefined) {
            failures.push({ seed: seed + index, what: result.failure });
        }
    }
    return { runs, switches, worstHealRounds, failures };
}

/** Runs one schedule: a quiet start, faults, then healing. */
export function runSchedule(seed: number, schedule: ScheduleOptions = {}): ScheduleResult {
    const random = createRandom(seed);
    const ranks = 2 + random.pickIndex(3);
    const { matchesHolds = true, heals = true, ...rules } = schedule;
    const checks = { fenced: random.next() < 0.5, matchesHolds };
    const options = { ranks, checks, isLogDown: random.next() < 0.3, ...rules };
    const world = createGroupSimulation(options, random);
    for (let round = 0; round < faultFreeRounds && world.failure === undefined; round++) {
        runRound(world);
    }
    if (seed % 2 === 0) {
        interruptSwitch(world);
    }
    const weights = createActionWeights(random);
    for (let action = 0; action < actionCount && world.failure === undefined; action++) {
        runRandomAction(world, weights);
    }
    const healRounds = world.failure === undefined && heals ? healGroup(world) : 0;
    if (world.failure === undefined && healRounds > maxHealingRounds) {
        world.failure = `the group did not step within ${maxHealingRounds} rounds after the faults stopped`;
    }
    return {
        seed,
        failure: world.failure,
        switches: world.switches,
        steps: world.versionsByStep.size,
        healingRounds: healRounds,
    };
}

type SimulationAction = (world: GroupSimulation) => void;

/** Faults that a schedule draws from; `weight` is its share at full strength. */
const actions: { weight: number; isFault: boolean; run: SimulationAction; }[] = [
    {
        weight: 30,
        isFault: false,
        run: world => withRandomMessage(world, index => deliverMessage(world, index, false)),
    },
    { weight: 25, isFault: false, run: world => executeOrder(world, pickSlot(world), "answer") },
    { weight: 30, isFault: false, run: world => enterNextStep(world, pickSlot(world)) },
    { weight: 12, isFault: false, run: advanceClock },
    { weight: 120, isFault: false, run: runLossyRound },
    { weight: 30, isFault: false, run: world => withRunningSlot(world, slot => proposeMap(world, slot)) },
    { weight: 40, isFault: true, run: world => withRandomMessage(world, index => deliverMessage(world, index, true)) },
    { weight: 60, isFault: true, run: world => withRandomMessage(world, index => world.messages.splice(index, 1)) },
    { weight: 2, isFault: true, run: world => executeOrder(world, pickSlot(world), "lost") },
    { weight: 3, isFault: true, run: delayOrder },
    { weight: 2, isFault: false, run: world => applyDelayedOrder(world, pickSlot(world)) },
    { weight: 10, isFault: true, run: pauseSlot },
    { weight: 8, isFault: false, run: resumeSlot },
    { weight: 6, isFault: true, run: crashSlot },
    { weight: 8, isFault: false, run: restartSlot },
    { weight: 15, isFault: true, run: expireElectionTimeout },
    { weight: 0.4, isFault: true, run: replaceRandomRank },
    {
        weight: 3,
        isFault: false,
        run: world => world.options.isLogDown || withRunningSlot(world, s => readLog(world, s)),
    },
];

function createActionWeights(random: Random): number[] {
    const intensity = faultIntensities[random.pickIndex(faultIntensities.length)];
    return actions.map(({ weight, isFault }) => isFault ? weight * intensity * random.pickIndex(3) : weight);
}

function runRandomAction(world: GroupSimulation, weights: number[]): void {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = world.random.next() * total;
    const index = weights.findIndex(weight => (left -= weight) < 0);
    actions[Math.max(0, index)].run(world);
}

function pickSlot(world: GroupSimulation) {
    return world.slots[world.random.pickIndex(world.slots.length)];
}

function withRandomMessage(world: GroupSimulation, run: (index: number) => void): void {
    if (world.messages.length > 0) {
        run(world.random.pickIndex(world.messages.length));
    }
}

function withRunningSlot(world: GroupSimulation, run: (slot: GroupSimulation["slots"][number]) => void): void {
    const slot = pickSlot(world);
    if (slot.isRunning && !slot.isPaused) {
        run(slot);
    }
}

function advanceClock(world: GroupSimulation): void {
    world.now += tickMs * world.random.next();
    withRunningSlot(world, slot => dispatchEvent(world, slot, { kind: "tick" }));
}

function delayOrder(world: GroupSimulation): void {
    if (world.options.checks.fenced) {
        executeOrder(world, pickSlot(world), "late");
    }
}

function pauseSlot(world: GroupSimulation): void {
    const slot = pickCommittingSlot(world);
    slot.isPaused = true;
    loseSentRequests(world, slot);
}

function resumeSlot(world: GroupSimulation): void {
    pickSlot(world).isPaused = false;
}

function crashSlot(world: GroupSimulation): void {
    const slot = pickCommittingSlot(world);
    if (slot.isRunning) {
        crashProcess(world, slot);
        loseSentRequests(world, slot);
    }
}

/** Picks a slot; often one that is between two of the messages of a commit. */
function pickCommittingSlot(world: GroupSimulation) {
    const committing = world.slots.filter(slot => slot.isRunning && slot.node.coordinator.phase === Phase.commit);
    return committing.length > 0 && world.random.next() < 0.5 ? committing[0] : pickSlot(world);
}

/** Loses some of the requests that a slot has sent, as if it had stopped between two of them. */
function loseSentRequests(world: GroupSimulation, slot: GroupSimulation["slots"][number]): void {
    world.messages = world.messages.filter(message =>
        message.kind !== "request" || message.from !== slot.id || world.random.next() < 0.5
    );
}

function restartSlot(world: GroupSimulation): void {
    const slot = pickSlot(world);
    if (!slot.isRunning) {
        startProcess(world, slot);
    }
}

/** Lets a slot believe that the coordinator is gone. */
function expireElectionTimeout(world: GroupSimulation): void {
    withRunningSlot(world, slot => {
        slot.node.coordinator.electionAt = world.now;
        dispatchEvent(world, slot, { kind: "tick" });
    });
}

function proposeMap(world: GroupSimulation, slot: GroupSimulation["slots"][number]): void {
    dispatchEvent(world, slot, { kind: "propose", map: simulatedMap });
}

function replaceRandomRank(world: GroupSimulation): void {
    if (!world.options.isLogDown && world.slots.length < 12) {
        replaceRank(world, world.random.pickIndex(world.options.ranks));
    }
}

/** One tick of every slot, every delivery and order, then steps. */
function runRound(world: GroupSimulation): void {
    world.now += tickMs;
    const running = world.slots.filter(slot => slot.isRunning && !slot.isPaused);
    running.forEach(slot => dispatchEvent(world, slot, { kind: "tick" }));
    for (let turn = 0; turn < 4; turn++) {
        running.forEach(slot => executeOrder(world, slot, "answer"));
        for (let count = world.messages.length; count > 0; count--) {
            deliverMessage(world, 0, false);
        }
    }
    world.slots.forEach(slot => enterNextStep(world, slot));
}

/**
 * Stops a coordinator somewhere within a switch, lets another slot take over, then wakes the first one
 * and delivers copies of its old messages, perhaps to restarted slots.
 */
function interruptSwitch(world: GroupSimulation): void {
    const { random } = world;
    const leader = world.slots.find(slot => slot.node.coordinator.phase === Phase.steady);
    if (leader === undefined) {
        return;
    }
    proposeMap(world, leader);
    const phase = [Phase.hold, Phase.commit, Phase.commit, Phase.settle][random.pickIndex(4)];
    const sent: GroupSimulation["messages"] = [];
    for (let turn = 0; turn < 400 && leader.node.coordinator.phase !== phase; turn++) {
        deliverAndExecuteOne(world, sent);
    }
    for (let extra = random.pickIndex(12); extra > 0; extra--) {
        deliverAndExecuteOne(world, sent);
    }
    sent.push(...world.messages);
    leader.isPaused = true;
    loseSentRequests(world, leader);
    const others = world.slots.filter(slot => slot !== leader);
    const next = others[random.pickIndex(others.length)];
    next.node.coordinator.electionAt = world.now;
    leader.isPaused = random.next() < 0.3;
    for (let round = 0; round < 8; round++) {
        if (random.next() < 0.15) {
            const slot = pickSlot(world);
            crashProcess(world, slot);
            startProcess(world, slot);
        }
        runLossyRound(world);
        for (let count = random.pickIndex(10); count > 0 && sent.length > 0; count--) {
            world.messages.push(sent[random.pickIndex(sent.length)]);
        }
    }
    leader.isPaused = false;
}

/** One delivery and one order, in random order; steps are rare. */
function deliverAndExecuteOne(world: GroupSimulation, sent: GroupSimulation["messages"]): void {
    const { random } = world;
    withRandomMessage(world, index => {
        sent.push(world.messages[index]);
        deliverMessage(world, index, false);
    });
    executeOrder(world, pickSlot(world), "answer");
    if (random.next() < 0.1) {
        advanceRandomEngine(world);
    }
}

function advanceRandomEngine(world: GroupSimulation): void {
    world.now += 1;
    withRunningSlot(world, slot => dispatchEvent(world, slot, { kind: "tick" }));
    enterNextStep(world, pickSlot(world));
}

/** A round in which messages and orders may wait or come in another order. */
function runLossyRound(world: GroupSimulation): void {
    const { random } = world;
    world.now += tickMs;
    const running = world.slots.filter(slot => slot.isRunning && !slot.isPaused && random.next() < 0.9);
    running.forEach(slot => dispatchEvent(world, slot, { kind: "tick" }));
    for (let turn = 0; turn < 3; turn++) {
        running.forEach(slot => random.next() < 0.9 && executeOrder(world, slot, "answer"));
        for (let count = world.messages.length; count > 0; count--) {
            if (random.next() < 0.8) {
                deliverMessage(world, random.next() < 0.7 ? 0 : random.pickIndex(world.messages.length), false);
            }
        }
    }
    world.slots.forEach(slot => random.next() < 0.95 && enterNextStep(world, slot));
}

/** Ends all faults and returns the rounds until the group in force has stepped on and switched once more. */
function healGroup(world: GroupSimulation): number {
    world.slots.forEach(slot => {
        slot.isPaused = false;
        while (slot.delayedOrders.length > 0) {
            applyDelayedOrder(world, slot);
        }
        if (!slot.isRunning) {
            startProcess(world, slot);
        }
        readLog(world, slot);
    });
    const { generation, members } = getCurrentGeneration(world);
    const slots = members.map(id => world.slots[id]);
    const first = slots[0].engine.generation === generation ? slots[0].engine.step : 0;
    for (let round = 1; round <= maxHealingRounds; round++) {
        runRound(world);
        if (world.failure !== undefined) {
            return round;
        }
        const leader = slots.find(slot => slot.node.coordinator.phase === "steady");
        const stepped = slots.every(slot =>
            slot.engine.generation === generation && slot.engine.step >= first + stepsAfterHealing &&
            slot.engine.hold === undefined
        );
        if (stepped && leader !== undefined) {
            return round;
        }
    }
    return maxHealingRounds + 1;
}
