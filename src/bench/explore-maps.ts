/**
 * Explores random schedules (sequences of faults and messages) of a group that switches its expert map:
 * `npm run explore -- maps --runs N --seed S`.
 */
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
    /** Whether engines compare the ballots of holds; true by default. */
    matchesHolds?: boolean;
    /** Whether all faults are healed at the end and recovery is checked; true by default. */
    heals?: boolean;
}

export interface ScheduleResult {
    seed: number;
    /** First violated invariant. */
    violation: string | undefined;
    /** Number of completed map switches. */
    switches: number;
    /** Number of different steps that engines entered. */
    steps: number;
    /** Rounds from the end of the faults to recovery; 0 if healing was skipped. */
    healingRounds: number;
}

/** Rounds without faults at the start of a schedule. */
const faultFreeRounds = 25;
/** Number of random actions, faults or not, in a schedule. */
const actionCount = 240;
/** Number of rounds, see `runRound`, within which a group has to recover after the faults end. */
export const maxHealingRounds = 300;
/** Number of steps that every rank has to enter after the faults end. */
const stepsAfterHealing = 5;
/** Factors for the weights of faults; most are small, so that switches progress far before the first fault. */
const faultIntensities = [0.05, 0.1, 0.3, 1];
const tickMs = 10;

/** Runs `runs` schedules with consecutive seeds, starting from `seed`. */
export async function exploreSchedules(runs: number, seed: number) {
    const failures: { seed: number; what: string; }[] = [];
    let switches = 0;
    let maxRounds = 0;
    for (let index = 0; index < runs; index++) {
        const result = runSchedule(seed + index);
        switches += result.switches;
        maxRounds = Math.max(maxRounds, result.healingRounds);
        if (result.violation !== undefined) {
            failures.push({ seed: seed + index, what: result.violation });
        }
    }
    return { runs, switches, worstHealRounds: maxRounds, failures };
}

/** Runs one schedule: rounds without faults, then random actions with faults, then healing. */
export function runSchedule(seed: number, schedule: ScheduleOptions = {}): ScheduleResult {
    const random = createRandom(seed);
    const ranks = 2 + random.pickIndex(3);
    const { matchesHolds = true, heals = true, ...rules } = schedule;
    const checks = { fenced: random.next() < 0.5, matchesHolds };
    const options = { ranks, checks, isLogDown: random.next() < 0.3, ...rules };
    const simulation = createGroupSimulation(options, random);
    for (let round = 0; round < faultFreeRounds && simulation.violation === undefined; round++) {
        runRound(simulation);
    }
    if (seed % 2 === 0) {
        interruptSwitch(simulation);
    }
    const weights = createActionWeights(random);
    for (let action = 0; action < actionCount && simulation.violation === undefined; action++) {
        runRandomAction(simulation, weights);
    }
    const healingRounds = simulation.violation === undefined && heals ? healGroup(simulation) : 0;
    if (simulation.violation === undefined && healingRounds > maxHealingRounds) {
        simulation.violation = `the group did not recover within ${maxHealingRounds} rounds after the faults ended`;
    }
    return {
        seed,
        violation: simulation.violation,
        switches: simulation.switches,
        steps: simulation.versionsByStep.size,
        healingRounds,
    };
}

type SimulationAction = (simulation: GroupSimulation) => void;

/** Actions that a schedule draws from; the weight of a fault is scaled by an intensity and varies per schedule. */
const actions: { weight: number; isFault: boolean; run: SimulationAction; }[] = [
    {
        weight: 30,
        isFault: false,
        run: simulation => withRandomMessage(simulation, index => deliverMessage(simulation, index, false)),
    },
    { weight: 25, isFault: false, run: simulation => executeOrder(simulation, pickSlot(simulation), "answer") },
    { weight: 30, isFault: false, run: simulation => enterNextStep(simulation, pickSlot(simulation)) },
    { weight: 12, isFault: false, run: advanceClock },
    { weight: 120, isFault: false, run: runLossyRound },
    {
        weight: 30,
        isFault: false,
        run: simulation => withRunningSlot(simulation, slot => proposeMap(simulation, slot)),
    },
    {
        weight: 40,
        isFault: true,
        run: simulation => withRandomMessage(simulation, index => deliverMessage(simulation, index, true)),
    },
    {
        weight: 60,
        isFault: true,
        run: simulation => withRandomMessage(simulation, index => simulation.messages.splice(index, 1)),
    },
    { weight: 2, isFault: true, run: simulation => executeOrder(simulation, pickSlot(simulation), "lost") },
    { weight: 3, isFault: true, run: delayOrder },
    { weight: 2, isFault: false, run: simulation => applyDelayedOrder(simulation, pickSlot(simulation)) },
    { weight: 10, isFault: true, run: pauseSlot },
    { weight: 8, isFault: false, run: resumeSlot },
    { weight: 6, isFault: true, run: crashSlot },
    { weight: 8, isFault: false, run: restartSlot },
    { weight: 15, isFault: true, run: expireElectionTimeout },
    { weight: 0.4, isFault: true, run: replaceRandomRank },
    {
        weight: 3,
        isFault: false,
        run: simulation =>
            simulation.options.isLogDown || withRunningSlot(simulation, slot => readLog(simulation, slot)),
    },
];

function createActionWeights(random: Random): number[] {
    const intensity = faultIntensities[random.pickIndex(faultIntensities.length)];
    return actions.map(({ weight, isFault }) => isFault ? weight * intensity * random.pickIndex(3) : weight);
}

function runRandomAction(simulation: GroupSimulation, weights: number[]): void {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let remaining = simulation.random.next() * total;
    const index = weights.findIndex(weight => (remaining -= weight) < 0);
    actions[Math.max(0, index)].run(simulation);
}

function pickSlot(simulation: GroupSimulation) {
    return simulation.slots[simulation.random.pickIndex(simulation.slots.length)];
}

function withRandomMessage(simulation: GroupSimulation, run: (index: number) => void): void {
    if (simulation.messages.length > 0) {
        run(simulation.random.pickIndex(simulation.messages.length));
    }
}

function withRunningSlot(simulation: GroupSimulation, run: (slot: GroupSimulation["slots"][number]) => void): void {
    const slot = pickSlot(simulation);
    if (slot.isRunning && !slot.isPaused) {
        run(slot);
    }
}

function advanceClock(simulation: GroupSimulation): void {
    simulation.now += tickMs * simulation.random.next();
    withRunningSlot(simulation, slot => dispatchEvent(simulation, slot, { kind: "tick" }));
}

function delayOrder(simulation: GroupSimulation): void {
    if (simulation.options.checks.fenced) {
        executeOrder(simulation, pickSlot(simulation), "late");
    }
}

function pauseSlot(simulation: GroupSimulation): void {
    const slot = pickCommittingSlot(simulation);
    slot.isPaused = true;
    dropSentRequests(simulation, slot);
}

function resumeSlot(simulation: GroupSimulation): void {
    pickSlot(simulation).isPaused = false;
}

function crashSlot(simulation: GroupSimulation): void {
    const slot = pickCommittingSlot(simulation);
    if (slot.isRunning) {
        crashProcess(simulation, slot);
        dropSentRequests(simulation, slot);
    }
}

/** Picks a random slot, or in half of the cases a coordinator in the commit phase if there is one. */
function pickCommittingSlot(simulation: GroupSimulation) {
    const committing = simulation.slots.filter(slot => slot.isRunning && slot.node.coordinator.phase === Phase.commit);
    return committing.length > 0 && simulation.random.next() < 0.5 ? committing[0] : pickSlot(simulation);
}

/** Drops some of the in-flight requests of a slot, as if it had crashed before it sent all of them. */
function dropSentRequests(simulation: GroupSimulation, slot: GroupSimulation["slots"][number]): void {
    simulation.messages = simulation.messages.filter(message =>
        message.kind !== "request" || message.from !== slot.id || simulation.random.next() < 0.5
    );
}

function restartSlot(simulation: GroupSimulation): void {
    const slot = pickSlot(simulation);
    if (!slot.isRunning) {
        startProcess(simulation, slot);
    }
}

/** Expires the election timeout of a slot, so that it starts an election. */
function expireElectionTimeout(simulation: GroupSimulation): void {
    withRunningSlot(simulation, slot => {
        slot.node.coordinator.electionAt = simulation.now;
        dispatchEvent(simulation, slot, { kind: "tick" });
    });
}

function proposeMap(simulation: GroupSimulation, slot: GroupSimulation["slots"][number]): void {
    dispatchEvent(simulation, slot, { kind: "propose", map: simulatedMap });
}

function replaceRandomRank(simulation: GroupSimulation): void {
    if (!simulation.options.isLogDown && simulation.slots.length < 12) {
        replaceRank(simulation, simulation.random.pickIndex(simulation.options.ranks));
    }
}

/** Runs a round without faults: a tick of every running slot, all messages and orders, then a step of every engine. */
function runRound(simulation: GroupSimulation): void {
    simulation.now += tickMs;
    const running = simulation.slots.filter(slot => slot.isRunning && !slot.isPaused);
    running.forEach(slot => dispatchEvent(simulation, slot, { kind: "tick" }));
    for (let turn = 0; turn < 4; turn++) {
        running.forEach(slot => executeOrder(simulation, slot, "answer"));
        for (let count = simulation.messages.length; count > 0; count--) {
            deliverMessage(simulation, 0, false);
        }
    }
    simulation.slots.forEach(slot => enterNextStep(simulation, slot));
}

/**
 * Interrupts the leader in the middle of a switch: loses some of its requests and makes another slot start an election.
 * Then delivers duplicates of old messages, also to slots that have restarted. The leader may stay paused meanwhile.
 */
function interruptSwitch(simulation: GroupSimulation): void {
    const { random } = simulation;
    const leader = simulation.slots.find(slot => slot.node.coordinator.phase === Phase.steady);
    if (leader === undefined) {
        return;
    }
    proposeMap(simulation, leader);
    const phase = [Phase.hold, Phase.commit, Phase.commit, Phase.settle][random.pickIndex(4)];
    const oldMessages: GroupSimulation["messages"] = [];
    for (let turn = 0; turn < 400 && leader.node.coordinator.phase !== phase; turn++) {
        deliverAndExecuteOne(simulation, oldMessages);
    }
    for (let extra = random.pickIndex(12); extra > 0; extra--) {
        deliverAndExecuteOne(simulation, oldMessages);
    }
    oldMessages.push(...simulation.messages);
    leader.isPaused = true;
    dropSentRequests(simulation, leader);
    const others = simulation.slots.filter(slot => slot !== leader);
    const successor = others[random.pickIndex(others.length)];
    successor.node.coordinator.electionAt = simulation.now;
    leader.isPaused = random.next() < 0.3;
    for (let round = 0; round < 8; round++) {
        if (random.next() < 0.15) {
            const slot = pickSlot(simulation);
            crashProcess(simulation, slot);
            startProcess(simulation, slot);
        }
        runLossyRound(simulation);
        for (let count = random.pickIndex(10); count > 0 && oldMessages.length > 0; count--) {
            simulation.messages.push(oldMessages[random.pickIndex(oldMessages.length)]);
        }
    }
    leader.isPaused = false;
}

/** Delivers a random message and executes the order of a random slot; engines rarely enter a step. */
function deliverAndExecuteOne(simulation: GroupSimulation, oldMessages: GroupSimulation["messages"]): void {
    const { random } = simulation;
    withRandomMessage(simulation, index => {
        oldMessages.push(simulation.messages[index]);
        deliverMessage(simulation, index, false);
    });
    executeOrder(simulation, pickSlot(simulation), "answer");
    if (random.next() < 0.1) {
        advanceRandomEngine(simulation);
    }
}

function advanceRandomEngine(simulation: GroupSimulation): void {
    simulation.now += 1;
    withRunningSlot(simulation, slot => dispatchEvent(simulation, slot, { kind: "tick" }));
    enterNextStep(simulation, pickSlot(simulation));
}

/** Runs a round in which slots, messages and orders are skipped at random and messages may be reordered. */
function runLossyRound(simulation: GroupSimulation): void {
    const { random } = simulation;
    simulation.now += tickMs;
    const running = simulation.slots.filter(slot => slot.isRunning && !slot.isPaused && random.next() < 0.9);
    running.forEach(slot => dispatchEvent(simulation, slot, { kind: "tick" }));
    for (let turn = 0; turn < 3; turn++) {
        running.forEach(slot => random.next() < 0.9 && executeOrder(simulation, slot, "answer"));
        for (let count = simulation.messages.length; count > 0; count--) {
            if (random.next() < 0.8) {
                deliverMessage(
                    simulation,
                    random.next() < 0.7 ? 0 : random.pickIndex(simulation.messages.length),
                    false,
                );
            }
        }
    }
    simulation.slots.forEach(slot => random.next() < 0.95 && enterNextStep(simulation, slot));
}

/**
 * Ends all faults and returns the number of rounds until the current generation has recovered: a leader is in the
 * steady phase and no engine holds a step, after `stepsAfterHealing` further steps of every rank. Returns more than
 * `maxHealingRounds` if it has not recovered.
 */
function healGroup(simulation: GroupSimulation): number {
    simulation.slots.forEach(slot => {
        slot.isPaused = false;
        while (slot.delayedOrders.length > 0) {
            applyDelayedOrder(simulation, slot);
        }
        if (!slot.isRunning) {
            startProcess(simulation, slot);
        }
        readLog(simulation, slot);
    });
    const { generation, members } = getCurrentGeneration(simulation);
    const slots = members.map(id => simulation.slots[id]);
    const firstStep = slots[0].engine.generation === generation ? slots[0].engine.step : 0;
    for (let round = 1; round <= maxHealingRounds; round++) {
        runRound(simulation);
        if (simulation.violation !== undefined) {
            return round;
        }
        const leader = slots.find(slot => slot.node.coordinator.phase === "steady");
        const hasRecovered = slots.every(slot =>
            slot.engine.generation === generation && slot.engine.step >= firstStep + stepsAfterHealing &&
            slot.engine.hold === undefined
        );
        if (hasRecovered && leader !== undefined) {
            return round;
        }
    }
    return maxHealingRounds + 1;
}
