/** Explores schedules of map switches under faults: `npm run explore -- maps --runs N --seed S`. */
import { createRandom, type Random } from "../core/random.js";
import { Phase } from "../group/coordinatorState.js";
import {
    advanceEngine,
    answerOrder,
    applyLateOrder,
    crashProcess,
    createWorld,
    deliverMessage,
    getLatest,
    readLog,
    replaceRank,
    sendEvent,
    startProcess,
    type World,
    worldMap,
    type WorldOptions,
} from "./mapsWorld.js";

export interface ScheduleOptions extends Pick<WorldOptions, "memberRules" | "coordinatorRules"> {
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
    healRounds: number;
}

const quietRounds = 25;
const faultActions = 240;
/** Rounds of one tick, all deliveries and one step each, within which a healed group has to step again. */
export const maxHealRounds = 300;
const stepsAfterHeal = 5;
/** Shares of faults among the actions; most schedules have few, so that switches get far before one strikes. */
const intensities = [0.05, 0.1, 0.3, 1];
const tickMs = 10;

/** Runs `runs` schedules from `seed` on. */
export async function exploreSchedules(runs: number, seed: number) {
    const failures: { seed: number; what: string; }[] = [];
    let switches = 0;
    let worstHealRounds = 0;
    for (let index = 0; index < runs; index++) {
        const result = runSchedule(seed + index);
        switches += result.switches;
        worstHealRounds = Math.max(worstHealRounds, result.healRounds);
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
    const options = { ranks, checks, logDown: random.next() < 0.3, ...rules };
    const world = createWorld(options, random);
    for (let round = 0; round < quietRounds && world.failure === undefined; round++) {
        runRound(world);
    }
    if (seed % 2 === 0) {
        interruptSwitch(world);
    }
    const weights = createWeights(random);
    for (let action = 0; action < faultActions && world.failure === undefined; action++) {
        runAction(world, weights);
    }
    const healRounds = world.failure === undefined && heals ? healWorld(world) : 0;
    if (world.failure === undefined && healRounds > maxHealRounds) {
        world.failure = `the group did not step within ${maxHealRounds} rounds after the faults stopped`;
    }
    return { seed, failure: world.failure, switches: world.switches, steps: world.record.size, healRounds };
}

type Action = (world: World) => void;

/** Faults that a schedule draws from; `weight` is its share at full strength. */
const actions: { weight: number; isFault: boolean; run: Action; }[] = [
    { weight: 30, isFault: false, run: world => withMessage(world, index => deliverMessage(world, index, false)) },
    { weight: 25, isFault: false, run: world => answerOrder(world, pickSlot(world), "answer") },
    { weight: 30, isFault: false, run: world => advanceEngine(world, pickSlot(world)) },
    { weight: 12, isFault: false, run: advanceSlot },
    { weight: 120, isFault: false, run: runLossyRound },
    { weight: 30, isFault: false, run: world => withRunning(world, slot => propose(world, slot)) },
    { weight: 40, isFault: true, run: world => withMessage(world, index => deliverMessage(world, index, true)) },
    { weight: 60, isFault: true, run: world => withMessage(world, index => world.messages.splice(index, 1)) },
    { weight: 2, isFault: true, run: world => answerOrder(world, pickSlot(world), "lost") },
    { weight: 3, isFault: true, run: delayOrder },
    { weight: 2, isFault: false, run: world => applyLateOrder(world, pickSlot(world)) },
    { weight: 10, isFault: true, run: pauseSlot },
    { weight: 8, isFault: false, run: wakeSlot },
    { weight: 6, isFault: true, run: crashSlot },
    { weight: 8, isFault: false, run: restartSlot },
    { weight: 15, isFault: true, run: elect },
    { weight: 0.4, isFault: true, run: replaceAny },
    { weight: 3, isFault: false, run: world => world.options.logDown || withRunning(world, s => readLog(world, s)) },
];

function createWeights(random: Random): number[] {
    const intensity = intensities[random.pickIndex(intensities.length)];
    return actions.map(({ weight, isFault }) => isFault ? weight * intensity * random.pickIndex(3) : weight);
}

function runAction(world: World, weights: number[]): void {
    const total = weights.reduce((sum, weight) => sum + weight, 0);
    let left = world.random.next() * total;
    const index = weights.findIndex(weight => (left -= weight) < 0);
    actions[Math.max(0, index)].run(world);
}

function pickSlot(world: World) {
    return world.slots[world.random.pickIndex(world.slots.length)];
}

function withMessage(world: World, run: (index: number) => void): void {
    if (world.messages.length > 0) {
        run(world.random.pickIndex(world.messages.length));
    }
}

function withRunning(world: World, run: (slot: World["slots"][number]) => void): void {
    const slot = pickSlot(world);
    if (slot.up && !slot.paused) {
        run(slot);
    }
}

function advanceSlot(world: World): void {
    world.now += tickMs * world.random.next();
    withRunning(world, slot => sendEvent(world, slot, { kind: "tick" }));
}

function delayOrder(world: World): void {
    if (world.options.checks.fenced) {
        answerOrder(world, pickSlot(world), "late");
    }
}

function pauseSlot(world: World): void {
    const slot = pickCommitting(world);
    slot.paused = true;
    loseSent(world, slot);
}

function wakeSlot(world: World): void {
    pickSlot(world).paused = false;
}

function crashSlot(world: World): void {
    const slot = pickCommitting(world);
    if (slot.up) {
        crashProcess(world, slot);
        loseSent(world, slot);
    }
}

/** Picks a slot; often one that is between two of the messages of a commit. */
function pickCommitting(world: World) {
    const committing = world.slots.filter(slot => slot.up && slot.node.coordinator.phase === Phase.commit);
    return committing.length > 0 && world.random.next() < 0.5 ? committing[0] : pickSlot(world);
}

/** Loses some of the requests that a slot has sent, as if it had stopped between two of them. */
function loseSent(world: World, slot: World["slots"][number]): void {
    world.messages = world.messages.filter(message =>
        message.kind !== "request" || message.from !== slot.id || world.random.next() < 0.5
    );
}

function restartSlot(world: World): void {
    const slot = pickSlot(world);
    if (!slot.up) {
        startProcess(world, slot);
    }
}

/** Lets a slot believe that the coordinator is gone. */
function elect(world: World): void {
    withRunning(world, slot => {
        slot.node.coordinator.electionAt = world.now;
        sendEvent(world, slot, { kind: "tick" });
    });
}

function propose(world: World, slot: World["slots"][number]): void {
    sendEvent(world, slot, { kind: "propose", map: worldMap });
}

function replaceAny(world: World): void {
    if (!world.options.logDown && world.slots.length < 12) {
        replaceRank(world, world.random.pickIndex(world.options.ranks));
    }
}

/** One tick of every slot, every delivery and order, then steps. */
function runRound(world: World): void {
    world.now += tickMs;
    const running = world.slots.filter(slot => slot.up && !slot.paused);
    running.forEach(slot => sendEvent(world, slot, { kind: "tick" }));
    for (let turn = 0; turn < 4; turn++) {
        running.forEach(slot => answerOrder(world, slot, "answer"));
        for (let count = world.messages.length; count > 0; count--) {
            deliverMessage(world, 0, false);
        }
    }
    world.slots.forEach(slot => advanceEngine(world, slot));
}

/**
 * Stops a coordinator somewhere within a switch, lets another slot take over, then wakes the first one
 * and delivers copies of its old messages, perhaps to restarted slots.
 */
function interruptSwitch(world: World): void {
    const { random } = world;
    const leader = world.slots.find(slot => slot.node.coordinator.phase === Phase.steady);
    if (leader === undefined) {
        return;
    }
    propose(world, leader);
    const phase = [Phase.hold, Phase.commit, Phase.commit, Phase.settle][random.pickIndex(4)];
    const sent: World["messages"] = [];
    for (let turn = 0; turn < 400 && leader.node.coordinator.phase !== phase; turn++) {
        advanceSlowly(world, sent);
    }
    for (let extra = random.pickIndex(12); extra > 0; extra--) {
        advanceSlowly(world, sent);
    }
    sent.push(...world.messages);
    leader.paused = true;
    loseSent(world, leader);
    const others = world.slots.filter(slot => slot !== leader);
    const next = others[random.pickIndex(others.length)];
    next.node.coordinator.electionAt = world.now;
    leader.paused = random.next() < 0.3;
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
    leader.paused = false;
}

/** One delivery and one order, in random order; steps are rare. */
function advanceSlowly(world: World, sent: World["messages"]): void {
    const { random } = world;
    withMessage(world, index => {
        sent.push(world.messages[index]);
        deliverMessage(world, index, false);
    });
    answerOrder(world, pickSlot(world), "answer");
    if (random.next() < 0.1) {
        advanceStep(world);
    }
}

function advanceStep(world: World): void {
    world.now += 1;
    withRunning(world, slot => sendEvent(world, slot, { kind: "tick" }));
    advanceEngine(world, pickSlot(world));
}

/** A round in which messages and orders may wait or come in another order. */
function runLossyRound(world: World): void {
    const { random } = world;
    world.now += tickMs;
    const running = world.slots.filter(slot => slot.up && !slot.paused && random.next() < 0.9);
    running.forEach(slot => sendEvent(world, slot, { kind: "tick" }));
    for (let turn = 0; turn < 3; turn++) {
        running.forEach(slot => random.next() < 0.9 && answerOrder(world, slot, "answer"));
        for (let count = world.messages.length; count > 0; count--) {
            if (random.next() < 0.8) {
                deliverMessage(world, random.next() < 0.7 ? 0 : random.pickIndex(world.messages.length), false);
            }
        }
    }
    world.slots.forEach(slot => random.next() < 0.95 && advanceEngine(world, slot));
}

/** Ends all faults and returns the rounds until the group in force has stepped on and switched once more. */
function healWorld(world: World): number {
    world.slots.forEach(slot => {
        slot.paused = false;
        while (slot.late.length > 0) {
            applyLateOrder(world, slot);
        }
        if (!slot.up) {
            startProcess(world, slot);
        }
        readLog(world, slot);
    });
    const { generation, members } = getLatest(world);
    const slots = members.map(id => world.slots[id]);
    const first = slots[0].engine.generation === generation ? slots[0].engine.step : 0;
    for (let round = 1; round <= maxHealRounds; round++) {
        runRound(world);
        if (world.failure !== undefined) {
            return round;
        }
        const leader = slots.find(slot => slot.node.coordinator.phase === "steady");
        const stepped = slots.every(slot =>
            slot.engine.generation === generation && slot.engine.step >= first + stepsAfterHeal &&
            slot.engine.hold === undefined
        );
        if (stepped && leader !== undefined) {
            return round;
        }
    }
    return maxHealRounds + 1;
}
