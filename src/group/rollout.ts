/**
 * Changes the expert map of a group whose engines let any one rank hold all of them back. The first rank's hold is the
 * lock: with it, every rank is armed for the held step, and only then does the step begin. Nothing agrees on who leads,
 * orders may be carried out late, and leads may stop at any point, so every decision stands on facts that last: a rank
 * that is not armed and has prepared a newer version can never be armed for the older one. All ranks armed means that
 * no rank has been fenced off so, and the step may begin; a change of another process is taken back by fencing off
 * every rank that is not armed, then disarming the others, and only then does the step begin on the old map.
 */
import { type ExpertPlan, OrderOutcome, type RankOrder, type RankReport } from "./rankTypes.js";

export interface RolloutPlan {
    version: number;
    epoch: number;
    plan: ExpertPlan;
}

/** A report and the time at which it was read. */
export interface TimestampedReport extends RankReport {
    /** In milliseconds. */
    at: number;
}

interface ForeignHold {
    epoch: number;
    step: number;
    /** Time of the first sight, in milliseconds. */
    since: number;
    /** Version that takes the change back. */
    fence: number;
    /** Processes, by their ranks, whose versions the ranks had at the first sight. */
    proposers: Set<number>;
}

export interface RolloutState {
    plan: RolloutPlan | undefined;
    /** Times of the orders without a result yet, by rank and kind. */
    pendingSince: Map<string, number>;
    /** Ranks to which a prepare is on its way. */
    preparing: Set<number>;
    /** Step of the hold that this process asked for. */
    ownHoldStep: number | undefined;
    /** The last hold in which this process ordered ranks to be armed. */
    lastArmed: { epoch: number; step: number; };
    /** Hold of somebody else that is seen, or one whose change this process takes back. */
    foreignHold: ForeignHold | undefined;
    /** Step from which a hold may be asked for: a step is never held twice, since an earlier go may come late. */
    minHold: { epoch: number; step: number; };
    /** Time of the last decision, in milliseconds. */
    lastDecisionAt: number;
    /** Newest step that was seen, and the time of the first sight of it, in milliseconds. */
    newestStep: { epoch: number; step: number; seenAt: number; };
}

/** An order to a rank, or the wish to read its report anew. */
export interface AddressedOrder {
    rank: number;
    epoch: number;
    order: RankOrder | { kind: "read"; };
}
type AddressedOrderKind = AddressedOrder["order"]["kind"];

/** Who decides. */
export interface LeaderContext {
    /** Rank beside the deciding process. */
    ownRank: number | undefined;
    /** Rank beside the process that decided before and has fallen silent. */
    lostRank: number | undefined;
    /** A random number in [0, 1). */
    random: number;
    /** The map in force, or one that all ranks have in memory; undefined while it is not known. */
    loadedPlan: ExpertPlan | undefined;
}

/**
 * Passes between the newest known one and the held one, and ranks for which there is one more. An order that gets no
 * answer is given again before the held pass is due, so that the group need not wait.
 */
const baseHoldSteps = 4;
const ranksPerExtraStep = 18;
/**
 * Times after which an order whose effect is not reported is given again, in milliseconds: several reports, and for
 * experts to be copied over the ranks' links.
 */
const retryIntervalMs: Record<AddressedOrderKind, number> = { prepare: 1200, arm: 300, disarm: 300, hold: 300, go: 300, read: 100 };
/** Prepares on their way at once: with whole maps, more would fill the lead's link for longer than an order may take. */
const maxConcurrentPrepares = 8;
/** Time without a decision after which others may have held steps that this process has not seen, in milliseconds. */
const maxDecisionGapMs = 500;
/** Time for which another process is left to finish its own change, in milliseconds. */
const foreignGraceMs = 300;
/** Age up to which reports count for the begin of a change, in milliseconds; about the interval of the slots' reports. */
const reportMaxAgeMs = 250;
/** Rank whose hold is the lock. */
export const lockRank = 0;

/** Creates the state of a process that changes nothing. */
export function createRollout(): RolloutState {
    return {
        plan: undefined,
        pendingSince: new Map(),
        preparing: new Set(),
        ownHoldStep: undefined,
        lastArmed: { epoch: -1, step: -1 },
        foreignHold: undefined,
        minHold: { epoch: -1, step: 0 },
        lastDecisionAt: -Infinity,
        newestStep: { epoch: 0, step: 0, seenAt: 0 },
    };
}

/** Whether a change may be planned now. */
export function isRolloutIdle(state: RolloutState, reports: TimestampedReport[]): boolean {
    return state.plan === undefined &&
        reports.every(({ heldStep, armed }) => heldStep === undefined && armed === undefined);
}

/** Creates a version that no other process and no earlier life of this one uses; `random` is in [0, 1). */
export function createVersion(reports: TimestampedReport[], rank: number, random: number): number {
    return allocateVersion(reports, rank, random, 0);
}

/** Creates a version that no process ever arms: a rank that has prepared it takes no change of before. */
function createFenceVersion(reports: TimestampedReport[], rank: number, random: number): number {
    return allocateVersion(reports, rank, random, 1);
}

/** Whether a version is a fence, of whichever process. */
function isFenceVersion(version: number | undefined): boolean {
    return version !== undefined && Math.floor(version / versionModulus) % 2 === 1;
}

function allocateVersion(reports: TimestampedReport[], rank: number, random: number, parity: number): number {
    const known = reports.flatMap(r => [r.mapVersion, r.preparedVersion ?? 0, r.armed?.version ?? 0]);
    const count = Math.floor(Math.max(0, ...known) / versionModulus) + 1 + Math.floor(random * versionJitter);
    return (count + Math.abs(count % 2 - parity)) * versionModulus + rank;
}

/** Ranks that a version tells apart. */
const versionModulus = 1024;
/** Versions that one process may choose from, so that it does not choose one of an earlier life again. */
const versionJitter = 4096;

/** Time without a new step after which a group with work counts as stuck, in milliseconds; several passes. */
const stuckThresholdMs = 400;

/**
 * Whether the group has work and begins no step, or stays armed: a hold may have been left behind at a rank whose slot
 * is silent, so that rank has to be asked directly.
 */
export function isGroupStuck(state: RolloutState, reports: TimestampedReport[], now: number): boolean {
    const epoch = Math.max(0, ...reports.map(report => report.epoch));
    const step = Math.max(0, ...reports.filter(report => report.epoch === epoch).map(report => report.step));
    if (epoch !== state.newestStep.epoch || step > state.newestStep.step) {
        state.newestStep = { epoch, step, seenAt: now };
    }
    const hasWork = reports.some(({ running, armed, isOpen }) => isOpen && (running > 0 || armed !== undefined));
    return hasWork && now - state.newestStep.seenAt > stuckThresholdMs;
}

/** Decides the next orders from what the ranks report; the state remembers what is under way. */
export function decideOrders(
    state: RolloutState,
    reports: TimestampedReport[],
    owner: LeaderContext,
    now: number,
): AddressedOrder[] {
    const first = reports[0];
    if (first === undefined || !reports.every(({ epoch, isOpen }) => epoch === first.epoch && isOpen)) {
        return [];
    }
    if (state.plan !== undefined && state.plan.epoch !== first.epoch) {
        abandonPlan(state);
    }
    const holder = reports.find(({ heldStep }) => heldStep !== undefined);
    updateMinHold(state, reports, holder, now);
    const isComplete = reports.length === first.size;
    const orders = isComplete ?
        holder === undefined ? decideWithoutHold(state, reports, now) : decideWithHold(state, reports, holder, owner, now) :
        holder === undefined ?
        [] :
        decideWithoutLostRank(state, reports, holder, owner, now);
    return orders.filter(({ rank, order }) => admitOrder(state, rank, order.kind, now));
}

/** Takes in which steps are or may have been held, by this process or by those that decided while it did not. */
function updateMinHold(state: RolloutState, reports: TimestampedReport[], holder: TimestampedReport | undefined, now: number): void {
    const { epoch } = reports[0];
    const isNew = state.minHold.epoch !== epoch || now - state.lastDecisionAt > maxDecisionGapMs;
    const seen = isNew ? getNewestStep(reports) + countHoldSteps(reports[0].size) : state.minHold.step;
    state.minHold = { epoch, step: Math.max(seen, holder?.heldStep ?? 0) };
    state.lastDecisionAt = now;
}

function getNewestStep(reports: TimestampedReport[]): number {
    return Math.max(...reports.map(({ step }) => step));
}

/**
 * Lets a held group go on without the report of the rank beside the lost lead. The lead arms that rank last, so it is
 * not armed for the lead's version as long as any other one is not; then the change is taken back everywhere else.
 */
function decideWithoutLostRank(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    owner: LeaderContext,
    now: number,
): AddressedOrder[] {
    const { lostRank } = owner;
    const isOnlyLost = reports.length === holder.size - 1 && reports.every(({ rank }) => rank !== lostRank);
    if (lostRank === undefined || !isOnlyLost) {
        return [];
    }
    const unsettled = observeForeignHold(state, reports, holder, owner, now);
    const hasArmed = state.lastArmed.epoch === holder.epoch && state.lastArmed.step === holder.heldStep;
    const isFromOthers = hasArmed || [...state.foreignHold!.proposers].some(rank => rank !== lostRank && rank !== owner.ownRank);
    if (unsettled.length > 0 || isFromOthers || reports.every(({ armed }) => armed !== undefined)) {
        return unsettled;
    }
    return cancelRollout(state, reports, holder, owner);
}

/** Readings that are due before the change of another process may be finished: it is left some time to do so itself. */
function observeForeignHold(
    state: RolloutState,
    reports: TimestampedReport[],
    { epoch, heldStep }: TimestampedReport,
    { ownRank, random }: LeaderContext,
    now: number,
): AddressedOrder[] {
    if (state.foreignHold?.epoch !== epoch || state.foreignHold.step !== heldStep) {
        const fence = createFenceVersion(reports, ownRank ?? 0, random);
        const versions = reports.flatMap(r => [r.preparedVersion, r.armed?.version]).filter(v => v !== undefined);
        const owners = new Set(versions.map(version => version % versionModulus));
        state.foreignHold = { epoch, step: heldStep!, since: now, fence, proposers: owners };
    }
    const graceEndsAt = state.foreignHold.since + foreignGraceMs;
    return reports.filter(({ at }) => at < graceEndsAt).map(createReadOrder);
}

/** Takes a change back: no rank may be armed for the held step any more when it begins. */
function cancelRollout(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    { loadedPlan: knownPlan, ownRank, random }: LeaderContext,
): AddressedOrder[] {
    const foreign = state.foreignHold!;
    const { epoch } = holder;
    const isFencedOff = (version: number) =>
        reports.some(({ armed, preparedVersion }) => armed === undefined && (preparedVersion ?? 0) > version);
    const armed = reports.filter(report => report.armed !== undefined);
    const open = reports.filter(report => report.armed === undefined && !isFenceVersion(report.preparedVersion));
    if (armed.length === 0 && open.length === 0) {
        return [{ rank: holder.rank, epoch, order: { kind: "go", step: holder.heldStep! } }];
    }
    if (open.some(({ preparedVersion }) => (preparedVersion ?? 0) > foreign.fence)) {
        foreign.fence = createFenceVersion(reports, ownRank ?? 0, random);
    }
    const prepares = knownPlan === undefined ? [] : open.map(({ rank }): AddressedOrder => ({
        rank,
        epoch,
        order: { kind: "prepare", version: foreign.fence, plan: knownPlan },
    }));
    return [...prepares, ...armed.filter(report => isFencedOff(report.armed!.version)).map(createDisarmOrder)];
}

function createReadOrder({ rank, epoch }: TimestampedReport): AddressedOrder {
    return { rank, epoch, order: { kind: "read" } };
}

function createDisarmOrder({ rank, epoch, armed }: TimestampedReport): AddressedOrder {
    return { rank, epoch, order: { kind: "disarm", version: armed!.version } };
}

/** Notes the result of an order; one that was not accepted may be given again at once. */
export function recordOrderResult(
    state: RolloutState,
    rank: number,
    kind: AddressedOrderKind,
    outcome: OrderOutcome | undefined,
): void {
    if (kind === "prepare") {
        state.preparing.delete(rank);
    }
    if (outcome !== OrderOutcome.accepted) {
        state.pendingSince.delete(`${rank} ${kind}`);
    }
}

/** Forgets the change that this process has planned; one that was begun is finished from the reports all the same. */
export function abandonPlan(state: RolloutState): void {
    state.plan = undefined;
    state.ownHoldStep = undefined;
    state.pendingSince.clear();
}

function admitOrder(state: RolloutState, rank: number, kind: AddressedOrderKind, now: number): boolean {
    const key = `${rank} ${kind}`;
    if (now - (state.pendingSince.get(key) ?? -Infinity) < retryIntervalMs[kind]) {
        return false;
    }
    if (kind === "prepare") {
        if (state.preparing.size >= maxConcurrentPrepares) {
            return false;
        }
        state.preparing.add(rank);
    }
    state.pendingSince.set(key, now);
    return true;
}

/** Prepares the plan on every rank, then asks for the hold. */
function decideWithoutHold(state: RolloutState, reports: TimestampedReport[], now: number): AddressedOrder[] {
    const { plan } = state;
    state.foreignHold = undefined;
    const armed = reports.find(report => report.armed !== undefined)?.armed;
    if (armed !== undefined) {
        // The hold was released by an order that came late; with it again, the ranks can be made alike.
        const isMixed = reports.some(report => report.armed?.version !== armed.version);
        const isDue = armed.step > getNewestStep(reports);
        const hold: RankOrder = { kind: "hold", step: armed.step };
        return isMixed && isDue ? [{ rank: lockRank, epoch: reports[0].epoch, order: hold }] : [];
    }
    if (plan === undefined) {
        return [];
    }
    const isDone = reports.every(({ mapVersion }) => mapVersion === plan.version);
    const isSuperseded = reports.some(({ preparedVersion }) => (preparedVersion ?? 0) > plan.version);
    if (isDone || isSuperseded) {
        abandonPlan(state);
        return [];
    }
    const unprepared = reports.filter(({ preparedVersion }) => preparedVersion !== plan.version);
    const order: RankOrder = { kind: "prepare", version: plan.version, plan: plan.plan };
    if (unprepared.length > 0) {
        return unprepared.map(({ rank, epoch }) => ({ rank, epoch, order }));
    }
    const stale = reports.filter(({ at }) => now - at > reportMaxAgeMs);
    if (stale.length > 0) {
        return stale.map(createReadOrder);
    }
    if (getNewestStep(reports) < state.minHold.step) {
        return [];
    }
    const step = getNewestStep(reports) + countHoldSteps(reports.length);
    state.ownHoldStep = step;
    state.minHold = { epoch: plan.epoch, step };
    return [{ rank: lockRank, epoch: plan.epoch, order: { kind: "hold", step } }];
}

/** Counts the passes that are left for arming a group of so many ranks. */
export function countHoldSteps(ranks: number): number {
    return baseHoldSteps + Math.floor(ranks / ranksPerExtraStep);
}

/** Arms every rank for the held step, the own one last, then lets the group go on. */
function decideWithHold(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    owner: LeaderContext,
    now: number,
): AddressedOrder[] {
    const step = holder.heldStep!;
    const { epoch } = holder;
    const isOwn = state.plan !== undefined && state.ownHoldStep === step;
    const version = isOwn ? state.plan!.version : reports.find(({ armed }) => armed !== undefined)?.armed?.version;
    const isReady = (report: TimestampedReport) => report.armed?.version === version || report.mapVersion === version;
    if (version !== undefined && reports.every(isReady)) {
        return [{ rank: holder.rank, epoch, order: { kind: "go", step } }];
    }
    const isFencedOff = reports.some(report => !isReady(report) && report.preparedVersion !== version);
    if (isOwn && !isFencedOff) {
        state.lastArmed = { epoch, step };
        return createArmOrders(reports, isReady, { version: version!, step }, owner, now);
    }
    if (isOwn) {
        abandonPlan(state);
    }
    const unsettled = observeForeignHold(state, reports, holder, owner, now);
    return unsettled.length > 0 ? unsettled : cancelRollout(state, reports, holder, owner);
}

/** Arms the ranks that are not armed; the own one only while all others are known to be armed now. */
function createArmOrders(
    reports: TimestampedReport[],
    isReady: (report: TimestampedReport) => boolean,
    { version, step }: { version: number; step: number; },
    { ownRank }: LeaderContext,
    now: number,
): AddressedOrder[] {
    const unarmed = reports.filter(report => !isReady(report) && report.armed === undefined);
    const others = unarmed.filter(({ rank }) => rank !== ownRank);
    const stale = reports.filter(({ at }) => now - at > reportMaxAgeMs);
    if (others.length === 0 && stale.length > 0) {
        return stale.map(createReadOrder);
    }
    const next = others.length > 0 ? others : unarmed;
    return next.map(({ rank, epoch }) => ({ rank, epoch, order: { kind: "arm", version, step } }));
}
