/**
 * Rolls out a new expert map to all ranks of a group at the same step. While any one rank holds a step, no rank begins
 * it. The hold at the first rank serves as the lock: while it lasts, every rank is armed to switch to the new map at
 * the held step, and the step is released only afterwards.
 *
 * There is no agreement on the leader, orders may be executed late, and a leader may stop at any point. Decisions
 * therefore rely only on facts that cannot become false: a rank that is not armed and has prepared a newer version can
 * never be armed for an older one. If all ranks are armed, none has been fenced this way and the step may begin.
 *
 * The rank that holds the step is armed before and disarmed after all others, so that its report shows the state of a
 * rollout, whichever processes have led. To cancel the rollout of another process while that rank is not armed, it is
 * fenced, and the step is released on the old map: no other rank can be armed. Otherwise all other ranks are fenced before,
 * those that are armed once they are disarmed.
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
    /** Rank served by the deciding process; no rank is armed while it is unknown. */
    ownRank: number | undefined;
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
/** Rank whose hold serves as the lock, and which is the first one to be armed and the last one to be disarmed. */
export const lockRank = 0;

/** Creates the state of a process that rolls out nothing. */
export function createRollout(): RolloutState {
    return {
        plan: undefined,
        lastSentAt: new Map(),
        preparing: new Set(),
        ownHoldStep: undefined,
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

/** Returns the rank of the process that created a version. */
function getCreator(version: number): number {
    return version % versionModulus;
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
        settleForeignHold(state, reports, holder, leader, now);
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
 * Releases a hold that this process cannot complete. Ranks without a report keep the hold in place only if their state does
 * not follow from the other reports.
 */
function settleForeignHold(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    leader: LeaderContext,
    now: number,
): AddressedOrder[] {
    const dueReads = observeForeignHold(state, reports, holder, leader, now);
    if (dueReads.length > 0) {
        return dueReads;
    }
    return isEveryRankArmed(reports) ? [createGoOrder(holder)] : cancelRollout(state, reports, holder, leader);
}

/**
 * Whether all ranks are armed for the same version, including those without a report: the process that arms them has armed
 * its own rank, which is the last one.
 */
function isEveryRankArmed(reports: TimestampedReport[]): boolean {
    const version = reports[0].armed?.version;
    if (version === undefined || reports.some(({ armed }) => armed?.version !== version)) {
        return false;
    }
    const creator = getCreator(version);
    return creator !== lockRank && reports.some(({ rank }) => rank === creator);
}

/**
 * Gives another process a grace period to complete its rollout. Returns the reads that are due until every report that
 * matters was read after that period; the rollout may be settled once there are none.
 */
function observeForeignHold(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    { ownRank, random }: LeaderContext,
    now: number,
): AddressedOrder[] {
    const { epoch, heldStep } = holder;
    if (state.foreignHold?.epoch !== epoch || state.foreignHold.step !== heldStep) {
        const fenceVersion = createFenceVersion(reports, ownRank ?? 0, random);
        state.foreignHold = { epoch, step: heldStep!, since: now, fenceVersion };
    }
    const graceEndsAt = state.foreignHold.since + foreignGraceMs;
    const relevant = holder.armed === undefined ? [holder] : reports;
    return relevant.filter(({ readAt }) => readAt < graceEndsAt).map(createReadOrder);
}

/** Cancels a rollout: no rank may be armed for the held step when it is released. */
function cancelRollout(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    leader: LeaderContext,
): AddressedOrder[] {
    if (holder.armed === undefined) {
        return isFenceVersion(holder.preparedVersion) ?
            [createGoOrder(holder)] :
            createFenceOrders(state, reports, [holder], leader);
    }
    const { version } = holder.armed;
    if (holder.mapVersion === version) {
        // All ranks have switched to the map before.
        return [createGoOrder(holder)];
    }
    const others = reports.filter(report => report !== holder);
    const armed = others.filter(report => report.armed !== undefined);
    const unarmed = others.filter(report => report.armed === undefined);
    const unfenced = unarmed.filter(({ preparedVersion }) => (preparedVersion ?? 0) <= version);
    // A rank may be disarmed only if another one can never be armed: the rollout can then no longer be completed.
    if (!isUnreportedRankUnarmed(reports, holder.size, version) || unarmed.length === unfenced.length) {
        return createFenceOrders(state, reports, unfenced, leader);
    }
    return armed.length === 0 && unfenced.length === 0 ?
        [createDisarmOrder(holder)] :
        [...createFenceOrders(state, reports, unfenced, leader), ...armed.map(createDisarmOrder)];
}

/**
 * Whether no rank without a report is armed for `version` as long as another one can never be: there is none, or only that
 * of the process that arms the ranks, which arms its own rank last.
 */
function isUnreportedRankUnarmed(reports: TimestampedReport[], size: number, version: number): boolean {
    const isCreatorReported = reports.some(({ rank }) => rank === getCreator(version));
    return reports.length === size || (reports.length === size - 1 && !isCreatorReported);
}

/** Creates the orders after which `ranks` can no longer be armed for an older version. */
function createFenceOrders(
    state: RolloutState,
    reports: TimestampedReport[],
    ranks: TimestampedReport[],
    { loadedPlan, ownRank, random }: LeaderContext,
): AddressedOrder[] {
    const hold = state.foreignHold!;
    if (ranks.some(({ preparedVersion }) => (preparedVersion ?? 0) > hold.fenceVersion)) {
        hold.fenceVersion = createFenceVersion(reports, ownRank ?? 0, random);
    }
    return loadedPlan === undefined ? [] : ranks.map(({ rank, epoch }): AddressedOrder => ({
        rank,
        epoch,
        order: { kind: "prepare", version: hold.fenceVersion, plan: loadedPlan },
    }));
}

function createGoOrder({ rank, epoch, heldStep }: TimestampedReport): AddressedOrder {
    return { rank, epoch, order: { kind: "go", step: heldStep! } };
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

/** Arms every rank for the held step, then releases it; cancels a rollout that cannot complete. */
function decideWithHold(
    state: RolloutState,
    reports: TimestampedReport[],
    holder: TimestampedReport,
    leader: LeaderContext,
    now: number,
): AddressedOrder[] {
    const step = holder.heldStep!;
    const isOwn = state.plan !== undefined && state.ownHoldStep === step;
    const version = isOwn ? state.plan!.version : holder.armed?.version;
    const isReady = (report: TimestampedReport) => report.armed?.version === version || report.mapVersion === version;
    if (version !== undefined && reports.every(isReady)) {
        return [createGoOrder(holder)];
    }
    const isFenced = reports.some(report => !isReady(report) && report.preparedVersion !== version);
    if (isOwn && !isFenced) {
        return createArmOrders(reports, isReady, { version: version!, step }, leader, now);
    }
    if (isOwn) {
        abandonPlan(state);
    }
    return settleForeignHold(state, reports, holder, leader, now);
}

/**
 * Arms the ranks that are not armed: the one that holds the step first, the own rank only once recent reports show all others
 * armed.
 */
function createArmOrders(
    reports: TimestampedReport[],
    isReady: (report: TimestampedReport) => boolean,
    { version, step }: { version: number; step: number; },
    { ownRank }: LeaderContext,
    now: number,
): AddressedOrder[] {
    if (ownRank === undefined) {
        return [];
    }
    const unarmed = reports.filter(report => !isReady(report) && report.armed === undefined);
    const lock = unarmed.filter(({ rank }) => rank === lockRank);
    const others = unarmed.filter(({ rank }) => rank !== ownRank);
    const stale = reports.filter(({ readAt }) => now - readAt > reportMaxAgeMs);
    if (others.length === 0 && stale.length > 0) {
        return stale.map(createReadOrder);
    }
    const next = [lock, others, unarmed].find(({ length }) => length > 0) ?? [];
    return next.map(({ rank, epoch }) => ({ rank, epoch, order: { kind: "arm", version, step } }));
}
