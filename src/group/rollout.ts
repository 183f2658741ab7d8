/**
 * Rolls out a new expert map to all ranks of a group at the same step. While any one rank holds a step, no rank begins
 * it. The hold at the first rank serves as the lock: while it lasts, every rank is armed to switch to the new map at
 * the held step, and the step is released only afterwards.
 *
 * There is no agreement on the leader, orders may be executed late, and a leader may stop at any point. Decisions
 * therefore rely only on facts that cannot become false: a rank that is not armed and has prepared a newer version can
 * never be armed for an older one. If all ranks are armed, none has been fenced this way and the step may begin.
 * To cancel the rollout of another process, every rank that is not armed is fenced, the others are disarmed, and only
 * then is the step released, on the old map.
 */
import { type ExpertPlan, OrderOutcome, type RankOrder, type RankReport } from "./rankTypes.js";

/** Expert map to roll out, and the version and epoch that it is prepared for. */
export interface RolloutPlan {
    version: number;
    epoch: number;
    plan: ExpertPlan;
}

/** A rank's report with the time at which it was read. */
export interface TimestampedReport extends RankReport {
    /** Milliseconds on the caller's clock. */
    readAt: number;
}

/** Hold of a rollout that this process cannot complete. */
interface ForeignHold {
    epoch: number;
    step: number;
    /** Time at which the hold was first observed, in milliseconds. */
    since: number;
    /** Version that fences the ranks if the rollout is cancelled. */
    fenceVersion: number;
    /** Ranks of the processes that created the versions prepared or armed when the hold was first observed. */
    proposers: Set<number>;
}

/** State of the rollouts of one process; changed by the functions of this module. */
export interface RolloutState {
    /** Plan that this process is rolling out. */
    plan: RolloutPlan | undefined;
    /** Time at which an order was last sent, in milliseconds, by `${rank} ${kind}`; removed if it was not accepted. */
    lastSentAt: Map<string, number>;
    /** Ranks with a prepare in flight. */
    preparing: Set<number>;
    /** Step of the hold that this process has requested. */
    ownHoldStep: number | undefined;
    /** Last hold during which this process ordered ranks to arm. */
    lastArmedHold: { epoch: number; step: number; };
    /** Hold of another process, or one of this process whose rollout was fenced. */
    foreignHold: ForeignHold | undefined;
    /** Step from which on a hold may be requested. No step is held twice: a late `go` would release the second hold. */
    holdAllowedFrom: { epoch: number; step: number; };
    /** Time of the last decision, in milliseconds. */
    lastDecisionAt: number;
    /** Newest step of the group, and the time at which it was first observed, in milliseconds. */
    newestStep: { epoch: number; step: number; seenAt: number; };
}

/** An order for a rank, or a request to read its report again. */
export interface AddressedOrder {
    rank: number;
    epoch: number;
    order: RankOrder | { kind: "read"; };
}
type AddressedOrderKind = AddressedOrder["order"]["kind"];

/** What the deciding process knows besides the reports. */
export interface LeaderContext {
    /** Rank served by the deciding process. */
    ownRank: number | undefined;
    /** Rank served by the previous leader, which has stopped responding. */
    lostRank: number | undefined;
    /** A random number in [0, 1). */
    random: number;
    /** The active map, or another one that all ranks have in memory; undefined if none is known. */
    loadedPlan: ExpertPlan | undefined;
}

/**
 * Steps between the newest known step and the held one; larger groups get one more for every `ranksPerExtraStep` ranks.
 * Leaves time to resend an unanswered order before the held step is due, so that the group does not have to wait.
 */
const baseHoldSteps = 4;
const ranksPerExtraStep = 18;
/**
 * Time after which an order is sent again if no report shows its effect, in milliseconds. Covers several reports and,
 * for `prepare`, copying experts over the ranks' links.
 */
const retryIntervalMs: Record<AddressedOrderKind, number> = {
    prepare: 1200,
    arm: 300,
    disarm: 300,
    hold: 300,
    go: 300,
    read: 100,
};
/** Prepares in flight at once; with whole maps, more would saturate the leader's link beyond the order timeout. */
const maxConcurrentPrepares = 8;
/** Time without a decision after which other processes may have held steps unnoticed, in milliseconds. */
const maxDecisionGapMs = 500;
/** Time that another process is given to complete its own rollout, in milliseconds. */
const foreignGraceMs = 300;
/** Maximum age of the reports that a hold or the last arm relies on, in milliseconds; about one report interval. */
const reportMaxAgeMs = 250;
/** Rank whose hold serves as the lock. */
export const lockRank = 0;

/** Creates the state of a process that rolls out nothing. */
export function createRollout(): RolloutState {
    return {
        plan: undefined,
        lastSentAt: new Map(),
        preparing: new Set(),
        ownHoldStep: undefined,
        lastArmedHold: { epoch: -1, step: -1 },
        foreignHold: undefined,
        holdAllowedFrom: { epoch: -1, step: 0 },
        lastDecisionAt: -Infinity,
        newestStep: { epoch: 0, step: 0, seenAt: 0 },
    };
}

/** Whether a new rollout may be planned: none is planned here, and no rank reports a hold or an armed map. */
export function isRolloutIdle(state: RolloutState, reports: TimestampedReport[]): boolean {
    return state.plan === undefined &&
        reports.every(({ heldStep, armed }) => heldStep === undefined && armed === undefined);
}

/**
 * Creates a version above all reported ones that no other process and no earlier run of this one uses.
 * `random` is in [0, 1).
 */
export function createVersion(reports: TimestampedReport[], rank: number, random: number): number {
    return allocateVersion(reports, rank, random, 0);
}

/** Creates a version that is never armed: a rank that has prepared it can no longer be armed for an older one. */
function createFenceVersion(reports: TimestampedReport[], rank: number, random: number): number {
    return allocateVersion(reports, rank, random, 1);
}

/** Whether a version is a fence version of any process. */
function isFenceVersion(version: number | undefined): boolean {
    return version !== undefined && Math.floor(version / versionModulus) % 2 === 1;
}

/** Versions are `count * versionModulus + rank`; the count is even for maps and odd for fences. */
function allocateVersion(reports: TimestampedReport[], rank: number, random: number, parity: number): number {
    const known = reports.flatMap(r => [r.mapVersion, r.preparedVersion ?? 0, r.armed?.version ?? 0]);
    const count = Math.floor(Math.max(0, ...known) / versionModulus) + 1 + Math.floor(random * versionJitter);
    return (count + Math.abs(count % 2 - parity)) * versionModulus + rank;
}

/** Upper bound of ranks; a version modulo this number is the rank of the process that created it. */
const versionModulus = 1024;
/** Range of the random increment of the count, which keeps a restarted process from reusing a version. */
const versionJitter = 4096;

/** Time without a new step after which a group with work is stuck, in milliseconds; several steps. */
const stuckThresholdMs = 400;

/**
 * Whether the group has running requests or an armed rank but begins no step. A hold may have been left at a rank whose
 * slot is silent, so that rank has to be read directly.
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

/**
 * Decides the next orders from the ranks' reports and records them in the state. Returns none while the reports
 * disagree on the epoch or a rank reports that the group is not open.
 */
export function decideOrders(
    state: RolloutState,
    reports: TimestampedReport[],
    leader: LeaderContext,
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
    updateHoldAllowedFrom(state, reports, holder, now);
    const isComplete = reports.length === first.size;
    const orders = isComplete ?
        holder === undefined ?
            decideWithoutHold(state, reports, now) :
            decideWithHold(state, reports, holder, leader, now) :
        holder === undefined ?
        [] :
        decideWithoutLostRank(state, reports, holder, leader, now);
    return orders.filter(({ rank, order }) => admitOrder(state, rank, order.kind, now));
}

/** Raises the step from which on a hold may be requested to the last one that is or may have been held. */
function updateHoldAllowedFrom(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport | undefined,
    now: number,
): void {
    const { epoch } = reports[0];
    const mayHaveMissedHolds = state.holdAllowedFrom.epoch !== epoch || now - state.lastDecisionAt > maxDecisionGapMs;
    const heldUpTo = mayHaveMissedHolds ?
        getNewestStep(reports) + countHoldSteps(reports[0].size) :
        state.holdAllowedFrom.step;
    state.holdAllowedFrom = { epoch, step: Math.max(heldUpTo, holder?.heldStep ?? 0) };
    state.lastDecisionAt = now;
}

function getNewestStep(reports: TimestampedReport[]): number {
    return Math.max(...reports.map(({ step }) => step));
}

/**
 * Resumes a held group without a report of the rank served by the lost leader. A leader arms its own rank last, so that
 * rank is not armed for the leader's version while any other rank is not; the rollout is then cancelled on the others.
 */
function decideWithoutLostRank(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    leader: LeaderContext,
    now: number,
): AddressedOrder[] {
    const { lostRank } = leader;
    const isOnlyLost = reports.length === holder.size - 1 && reports.every(({ rank }) => rank !== lostRank);
    if (lostRank === undefined || !isOnlyLost) {
        return [];
    }
    const dueReads = observeForeignHold(state, reports, holder, leader, now);
    const hasArmed = state.lastArmedHold.epoch === holder.epoch && state.lastArmedHold.step === holder.heldStep;
    const isFromOthers = hasArmed ||
        [...state.foreignHold!.proposers].some(rank => rank !== lostRank && rank !== leader.ownRank);
    if (dueReads.length > 0 || isFromOthers || reports.every(({ armed }) => armed !== undefined)) {
        return dueReads;
    }
    return cancelRollout(state, reports, holder, leader);
}

/**
 * Gives another process a grace period to complete its rollout. Returns the reads that are due until every report was
 * read after that period; the rollout may be settled once there are none.
 */
function observeForeignHold(
    state: RolloutState,
    reports: TimestampedReport[],
    { epoch, heldStep }: TimestampedReport,
    { ownRank, random }: LeaderContext,
    now: number,
): AddressedOrder[] {
    if (state.foreignHold?.epoch !== epoch || state.foreignHold.step !== heldStep) {
        const fenceVersion = createFenceVersion(reports, ownRank ?? 0, random);
        const versions = reports.flatMap(r => [r.preparedVersion, r.armed?.version]).filter(v => v !== undefined);
        const proposers = new Set(versions.map(version => version % versionModulus));
        state.foreignHold = { epoch, step: heldStep!, since: now, fenceVersion, proposers };
    }
    const graceEndsAt = state.foreignHold.since + foreignGraceMs;
    return reports.filter(({ readAt }) => readAt < graceEndsAt).map(createReadOrder);
}

/** Cancels a rollout: no rank may be armed for the held step when it is released. */
function cancelRollout(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    { loadedPlan, ownRank, random }: LeaderContext,
): AddressedOrder[] {
    const hold = state.foreignHold!;
    const { epoch } = holder;
    const isFenced = (version: number) =>
        reports.some(({ armed, preparedVersion }) => armed === undefined && (preparedVersion ?? 0) > version);
    const armed = reports.filter(report => report.armed !== undefined);
    const unfenced = reports.filter(report => report.armed === undefined && !isFenceVersion(report.preparedVersion));
    if (armed.length === 0 && unfenced.length === 0) {
        return [{ rank: holder.rank, epoch, order: { kind: "go", step: holder.heldStep! } }];
    }
    if (unfenced.some(({ preparedVersion }) => (preparedVersion ?? 0) > hold.fenceVersion)) {
        hold.fenceVersion = createFenceVersion(reports, ownRank ?? 0, random);
    }
    const prepares = loadedPlan === undefined ? [] : unfenced.map(({ rank }): AddressedOrder => ({
        rank,
        epoch,
        order: { kind: "prepare", version: hold.fenceVersion, plan: loadedPlan },
    }));
    return [...prepares, ...armed.filter(report => isFenced(report.armed!.version)).map(createDisarmOrder)];
}

function createReadOrder({ rank, epoch }: TimestampedReport): AddressedOrder {
    return { rank, epoch, order: { kind: "read" } };
}

function createDisarmOrder({ rank, epoch, armed }: TimestampedReport): AddressedOrder {
    return { rank, epoch, order: { kind: "disarm", version: armed!.version } };
}

/** Records the result of an order, undefined if it was not delivered; unless accepted, it may be resent at once. */
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
        state.lastSentAt.delete(`${rank} ${kind}`);
    }
}

/** Discards the plan of this process; a rollout that has begun is still completed or cancelled from the reports. */
export function abandonPlan(state: RolloutState): void {
    state.plan = undefined;
    state.ownHoldStep = undefined;
    state.lastSentAt.clear();
}

/** Whether an order may be sent now, given its retry interval and the prepares in flight; records it if so. */
function admitOrder(state: RolloutState, rank: number, kind: AddressedOrderKind, now: number): boolean {
    const key = `${rank} ${kind}`;
    if (now - (state.lastSentAt.get(key) ?? -Infinity) < retryIntervalMs[kind]) {
        return false;
    }
    if (kind === "prepare") {
        if (state.preparing.size >= maxConcurrentPrepares) {
            return false;
        }
        state.preparing.add(rank);
    }
    state.lastSentAt.set(key, now);
    return true;
}

/** Prepares the plan on every rank, then requests the hold. */
function decideWithoutHold(state: RolloutState, reports: TimestampedReport[], now: number): AddressedOrder[] {
    const { plan } = state;
    state.foreignHold = undefined;
    const armed = reports.find(report => report.armed !== undefined)?.armed;
    if (armed !== undefined) {
        // A late order has released the hold; placing it again allows all ranks to be brought to the same map.
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
    const stale = reports.filter(({ readAt }) => now - readAt > reportMaxAgeMs);
    if (stale.length > 0) {
        return stale.map(createReadOrder);
    }
    if (getNewestStep(reports) < state.holdAllowedFrom.step) {
        return [];
    }
    const step = getNewestStep(reports) + countHoldSteps(reports.length);
    state.ownHoldStep = step;
    state.holdAllowedFrom = { epoch: plan.epoch, step };
    return [{ rank: lockRank, epoch: plan.epoch, order: { kind: "hold", step } }];
}

/** Number of steps between the newest step and the held one, in which a group of `ranks` ranks is armed. */
export function countHoldSteps(ranks: number): number {
    return baseHoldSteps + Math.floor(ranks / ranksPerExtraStep);
}

/** Arms every rank for the held step, the own one last, then releases it; cancels a rollout that cannot complete. */
function decideWithHold(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    leader: LeaderContext,
    now: number,
): AddressedOrder[] {
    const step = holder.heldStep!;
    const { epoch } = holder;
    const isOwn = state.plan !== undefined && state.ownHoldStep === step;
    const version = isOwn ? state.plan!.version : holder.armed?.version;
    const isReady = (report: TimestampedReport) => report.armed?.version === version || report.mapVersion === version;
    if (version !== undefined && reports.every(isReady)) {
        return [{ rank: holder.rank, epoch, order: { kind: "go", step } }];
    }
    const isFenced = reports.some(report => !isReady(report) && report.preparedVersion !== version);
    if (isOwn && !isFenced) {
        state.lastArmedHold = { epoch, step };
        return createArmOrders(reports, isReady, { version: version!, step }, leader, now);
    }
    if (isOwn) {
        abandonPlan(state);
    }
    const dueReads = observeForeignHold(state, reports, holder, leader, now);
    return dueReads.length > 0 ? dueReads : cancelRollout(state, reports, holder, leader);
}

/** Arms the ranks that are not armed; the own rank only once recent reports show all others armed. */
function createArmOrders(
    reports: TimestampedReport[],
    isReady: (report: TimestampedReport) => boolean,
    { version, step }: { version: number; step: number; },
    { ownRank }: LeaderContext,
    now: number,
): AddressedOrder[] {
    const unarmed = reports.filter(report => !isReady(report) && report.armed === undefined);
    const others = unarmed.filter(({ rank }) => rank !== ownRank);
    const stale = reports.filter(({ readAt }) => now - readAt > reportMaxAgeMs);
    if (others.length === 0 && stale.length > 0) {
        return stale.map(createReadOrder);
    }
    const next = others.length > 0 ? others : unarmed;
    return next.map(({ rank, epoch }) => ({ rank, epoch, order: { kind: "arm", version, step } }));
}
