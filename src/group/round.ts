/**
 * Changes the expert map of a group whose engines let any one rank hold all of them back. The first rank's hold is the
 * lock: with it, every rank is armed for the held step, and only then does the step begin. A change that was begun is
 * always finished, whoever began it, so that orders which are carried out late can do no harm in the same epoch.
 */
import { type ExpertPlan, OrderOutcome, type RankOrder, type RankReport } from "./rankTypes.js";

export interface RoundPlan {
    version: number;
    epoch: number;
    plan: ExpertPlan;
}

/** A report and the time at which it was read. */
export interface KnownReport extends RankReport {
    /** In milliseconds. */
    at: number;
}

export interface RoundState {
    plan: RoundPlan | undefined;
    /** Times of the orders without a result yet, by rank and kind. */
    pending: Map<string, number>;
    /** Ranks to which a prepare is on its way. */
    preparing: Set<number>;
    /** Step of the hold that this process asked for. */
    ownHold: number | undefined;
    /** Time since which a hold of somebody else is seen, in milliseconds. */
    foreignSince: number | undefined;
    /** Newest step that was seen, and the time of the first sight of it, in milliseconds. */
    newestStep: { epoch: number; step: number; seenAt: number; };
}

/** An order to a rank, or the wish to read its report anew. */
export interface AddressedOrder {
    rank: number;
    epoch: number;
    order: RankOrder | { kind: "read"; };
}
type StepKind = AddressedOrder["order"]["kind"];

/** Who decides. */
export interface RoundOwner {
    /** Rank beside the deciding process. */
    ownRank: number | undefined;
    /** Rank beside the process that decided before and has fallen silent. */
    lostRank: number | undefined;
}

/** Passes between the newest known one and the held one; orders take less than these passes. */
const holdLead = 3;
/**
 * Times after which an order whose effect is not reported is given again, in milliseconds: several reports, and for
 * experts to be copied over the ranks' links.
 */
const repeatMs: Record<StepKind, number> = { prepare: 1200, arm: 300, disarm: 300, hold: 300, go: 300, read: 100 };
/**
 * Prepares on their way at once: a whole map goes with each, and more than these fill the lead's link for longer than
 * an order may take.
 */
const maxPreparing = 8;
/** Time for which another process is left to finish its own change, in milliseconds. */
const foreignPatienceMs = 300;
/** Age up to which reports count for the begin of a change, in milliseconds; about the interval of the slots' reports. */
const reportMaxAgeMs = 250;
/** Rank whose hold is the lock. */
export const lockRank = 0;

/** Creates the state of a process that changes nothing. */
export function createRound(): RoundState {
    return {
        plan: undefined,
        pending: new Map(),
        preparing: new Set(),
        ownHold: undefined,
        foreignSince: undefined,
        newestStep: { epoch: 0, step: 0, seenAt: 0 },
    };
}

/** Whether a change may be planned now. */
export function isRoundIdle(state: RoundState, reports: KnownReport[]): boolean {
    return state.plan === undefined &&
        reports.every(({ heldStep, armed }) => heldStep === undefined && armed === undefined);
}

/** Creates a version that no other process and no earlier life of this one uses; `random` is in [0, 1). */
export function createVersion(reports: KnownReport[], rank: number, random: number): number {
    const known = reports.flatMap(r => [r.mapVersion, r.preparedVersion ?? 0, r.armed?.version ?? 0]);
    const highest = Math.max(0, ...known);
    const steps = 1 + Math.floor(random * versionSpread);
    return (Math.floor(highest / versionRanks) + steps) * versionRanks + rank;
}

/** Ranks that a version tells apart. */
const versionRanks = 1024;
/** Versions that one process may choose from, so that it does not choose one of an earlier life again. */
const versionSpread = 4096;

/** Time without a new step after which a group with work counts as stuck, in milliseconds; several passes. */
const stuckMs = 400;

/**
 * Whether the group has work and begins no step, or stays armed: a hold may have been left behind at a rank whose slot
 * is silent, so that rank has to be asked directly.
 */
export function isRoundStuck(state: RoundState, reports: KnownReport[], now: number): boolean {
    const epoch = Math.max(0, ...reports.map(report => report.epoch));
    const step = Math.max(0, ...reports.filter(report => report.epoch === epoch).map(report => report.step));
    if (epoch !== state.newestStep.epoch || step > state.newestStep.step) {
        state.newestStep = { epoch, step, seenAt: now };
    }
    const hasWork = reports.some(({ running, armed, isOpen }) => isOpen && (running > 0 || armed !== undefined));
    return hasWork && now - state.newestStep.seenAt > stuckMs;
}

/** Decides the next orders from what the ranks report; the state remembers what is under way. */
export function decideRound(
    state: RoundState,
    reports: KnownReport[],
    owner: RoundOwner,
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
    const isWhole = reports.length === first.size;
    const wanted = isWhole ?
        holder === undefined ? decideUnheld(state, reports, now) : decideHeld(state, reports, holder, owner, now) :
        holder === undefined ?
        [] :
        decideWithout(state, reports, holder, owner, now);
    return wanted.filter(({ rank, order }) => admitOrder(state, rank, order.kind, now));
}

/**
 * Lets a held group go on without the report of the rank beside the lost lead. That rank is armed last, so it is not
 * armed as long as any other one is not; then the change is taken back everywhere.
 */
function decideWithout(
    state: RoundState,
    reports: KnownReport[],
    holder: KnownReport,
    { lostRank }: RoundOwner,
    now: number,
): AddressedOrder[] {
    const isOnlyLost = reports.length === holder.size - 1 && reports.every(({ rank }) => rank !== lostRank);
    if (lostRank === undefined || !isOnlyLost) {
        return [];
    }
    const unsettled = listUnsettled(state, reports, now);
    if (unsettled.length > 0 || reports.every(({ armed }) => armed !== undefined)) {
        return unsettled;
    }
    const { epoch } = holder;
    const armed = reports.filter(report => report.armed !== undefined);
    if (armed.length > 0) {
        return armed.map(report => createDisarm(report));
    }
    return [{ rank: holder.rank, epoch, order: { kind: "go", step: holder.heldStep! } }];
}

/**
 * Readings that are due before the change of another process may be finished: its last orders have to be carried out,
 * and every report has to be newer than these.
 */
function listUnsettled(state: RoundState, reports: KnownReport[], now: number): AddressedOrder[] {
    state.foreignSince ??= now;
    const settledAt = state.foreignSince + foreignPatienceMs;
    return reports.filter(({ at }) => at < settledAt).map(createRead);
}

function createRead({ rank, epoch }: KnownReport): AddressedOrder {
    return { rank, epoch, order: { kind: "read" } };
}

function createDisarm({ rank, epoch, armed }: KnownReport): AddressedOrder {
    return { rank, epoch, order: { kind: "disarm", version: armed!.version } };
}

/** Notes the result of an order; one that was not accepted may be given again at once. */
export function noteOrderResult(
    state: RoundState,
    rank: number,
    kind: StepKind,
    outcome: OrderOutcome | undefined,
): void {
    if (kind === "prepare") {
        state.preparing.delete(rank);
    }
    if (outcome !== OrderOutcome.accepted) {
        state.pending.delete(`${rank} ${kind}`);
    }
}

/** Forgets the change that this process has planned; one that was begun is finished from the reports all the same. */
export function abandonPlan(state: RoundState): void {
    state.plan = undefined;
    state.ownHold = undefined;
    state.pending.clear();
}

function admitOrder(state: RoundState, rank: number, kind: StepKind, now: number): boolean {
    const key = `${rank} ${kind}`;
    if (now - (state.pending.get(key) ?? -Infinity) < repeatMs[kind]) {
        return false;
    }
    if (kind === "prepare") {
        if (state.preparing.size >= maxPreparing) {
            return false;
        }
        state.preparing.add(rank);
    }
    state.pending.set(key, now);
    return true;
}

/** Prepares the plan on every rank, then asks for the hold. */
function decideUnheld(state: RoundState, reports: KnownReport[], now: number): AddressedOrder[] {
    const { plan } = state;
    state.foreignSince = undefined;
    if (plan === undefined || reports.some(({ armed }) => armed !== undefined)) {
        return [];
    }
    if (reports.every(({ mapVersion }) => mapVersion === plan.version)) {
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
        return stale.map(createRead);
    }
    const step = Math.max(...reports.map(report => report.step)) + holdLead;
    state.ownHold = step;
    return [{ rank: lockRank, epoch: plan.epoch, order: { kind: "hold", step } }];
}

/** Arms every rank for the held step, the own one last, then lets the group go on. */
function decideHeld(
    state: RoundState,
    reports: KnownReport[],
    holder: KnownReport,
    { ownRank }: RoundOwner,
    now: number,
): AddressedOrder[] {
    const step = holder.heldStep!;
    const { epoch } = holder;
    if (state.ownHold !== step) {
        const unsettled = listUnsettled(state, reports, now);
        if (unsettled.length > 0) {
            return unsettled;
        }
    }
    const stale = reports.filter(({ at }) => now - at > reportMaxAgeMs).map(createRead);
    const go: AddressedOrder = { rank: holder.rank, epoch, order: { kind: "go", step } };
    const version = chooseVersion(reports);
    if (version === undefined) {
        return stale.length > 0 ? stale : [go];
    }
    const isReady = (report: KnownReport) => report.armed?.version === version || report.mapVersion === version;
    if (reports.every(isReady)) {
        return [go];
    }
    if (reports.some(report => !isReady(report) && report.preparedVersion !== version)) {
        // Not every rank can take the version, so it is taken back everywhere.
        return reports.filter(({ armed }) => armed !== undefined).map(createDisarm);
    }
    const strays = reports.filter(({ armed }) => armed !== undefined && armed.version !== version);
    const unarmed = reports.filter(report => !isReady(report) && report.armed === undefined);
    const others = unarmed.filter(({ rank }) => rank !== ownRank);
    if (others.length === 0 && stale.length > 0) {
        // The own rank is armed only while all others are known to be armed now.
        return stale;
    }
    const next = others.length > 0 ? others : unarmed;
    return [
        ...strays.map(createDisarm),
        ...next.map(({ rank }): AddressedOrder => ({ rank, epoch, order: { kind: "arm", version, step } })),
    ];
}

/** The version that a held group changes to: an armed one, or one that every rank has prepared. */
function chooseVersion(reports: KnownReport[]): number | undefined {
    const armed = reports.flatMap(report => report.armed === undefined ? [] : [report.armed.version]);
    if (armed.length > 0) {
        return Math.max(...armed);
    }
    const { preparedVersion } = reports[0];
    const isCommon = preparedVersion !== undefined && reports.every(r => r.preparedVersion === preparedVersion);
    const isNew = reports.some(({ mapVersion }) => mapVersion !== preparedVersion);
    return isCommon && isNew ? preparedVersion : undefined;
}
