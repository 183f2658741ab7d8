/** The lead's work: collects the ranks' states, plans maps when the demand calls for it, and gives the orders. */
import type { ExpertParameters } from "../config/serving.js";
import type { Logger } from "../observe/logger.js";
import type { SlotMetrics } from "../observe/servingMetrics.js";
import { decodeExpertLoads, type LeaderHeartbeat, packRankLoads, type RankHeartbeat } from "../peers/heartbeat.js";
import { computePlanSkew, planRebalance } from "./planRebalance.js";
import {
    updatePopularity,
    createPopularity,
    recordChoices,
    type PopularityState,
    PopularityOutcome,
} from "./popularity.js";
import { type ExpertPlan, OrderOutcome, type RankOrder, type RankReport } from "./rankTypes.js";
import {
    abandonPlan,
    type AddressedOrder,
    createRollout,
    createVersion,
    decideOrders,
    isRolloutIdle,
    isGroupStuck,
    type TimestampedReport,
    recordOrderResult,
    type LeaderContext,
} from "./rollout.js";

interface KnownRank {
    host: string;
    report: TimestampedReport | undefined;
    experts: number[][] | undefined;
    heardAt: number;
    /** Whether the report was read past the rank's slot. */
    isSlotSilent: boolean;
}

export interface OrderResult {
    outcome: OrderOutcome;
    report?: RankReport;
}

export interface RebalancerOptions {
    now: () => number;
    random: () => number;
    logger: Logger;
    metrics: SlotMetrics;
    /** Gives an order to the rank at `host`, through its slot or past it, which has a price. */
    order: (host: string, order: RankOrder, epoch: number, isDirect: boolean) => Promise<OrderResult>;
    /** Reads the report of the rank at `host` through its slot. */
    read: (host: string) => Promise<RankReport>;
    getLeaderContext: () => Pick<LeaderContext, "ownRank" | "lostRank">;
    /** Finds a plan that was prepared before. */
    findPlan: (version: number) => ExpertPlan | undefined;
    /** Reads the report of the rank at `host` past its slot, which has a price. */
    fetchReport: (host: string) => Promise<RankReport>;
}

export interface Rebalancer {
    recordState: (state: RankHeartbeat) => void;
    /** Whether another slot has told its state of late, which so could lead. */
    hasOtherActiveSlots: (own: string) => boolean;
    /** What the vector tells of the ranks. */
    summarize: () => Pick<LeaderHeartbeat, "isOpen" | "epoch" | "ranks">;
    /** Plans and orders what is due. */
    advance: (hosts: string[], figures: ExpertParameters | undefined) => void;
}

/** Skew of the estimated demand under the map in force above which a change is planned. */
const rebalanceSkew = 1.4;
/** Part of the excess over an even load that a change has to take away. */
const minSkewReduction = 0.25;
/** Time between two plans, in milliseconds; a change takes some 500 ms. */
const minPlanIntervalMs = 700;
/** Time after which a change that does not come about is given up, in milliseconds. */
const rolloutTimeoutMs = 4000;
/** Silence of a slot after which its rank is read past it when the group is stuck, in milliseconds; three states. */
const slotSilenceMs = 600;
/** Time between two such readings of one rank, in milliseconds. */
const fetchIntervalMs = 300;
/** Age after which the report of the rank beside the lost lead no longer counts, in milliseconds; two states. */
const lostRankMaxAgeMs = 400;
/** Age after which a rank's state no longer counts, in milliseconds. */
const stateMaxAgeMs = 1500;

type ReportUpdates = { [K in RankOrder["kind"]]: (order: Extract<RankOrder, { kind: K; }>) => Partial<RankReport>; };

/** What an accepted order changes in a rank's report. */
const reportUpdates: ReportUpdates = {
    prepare: () => ({}),
    arm: ({ version, step }) => ({ armed: { version, step } }),
    disarm: () => ({ armed: undefined }),
    hold: ({ step }) => ({ heldStep: step }),
    go: () => ({ heldStep: undefined }),
};

/** Creates the lead's work for one group. */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
    const { now, random, logger, metrics } = options;
    const ranks = new Map<string, KnownRank>();
    const rollout = createRollout();
    let popularity: PopularityState | undefined;
    const fetchedAt = new Map<string, number>();
    let plannedAt = -Infinity;
    let figures: ExpertParameters | undefined;

    const listReports = () => {
        const known = [...ranks.values()].flatMap(({ report }) => report === undefined ? [] : [report]);
        return known.sort((a, b) => a.rank - b.rank);
    };
    const recordReport = (host: string, report: RankReport | undefined) => {
        const rank = ranks.get(host);
        if (rank !== undefined && report !== undefined) {
            rank.report = { ...report, at: now() };
        }
    };
    const sendOrder = ({ rank, epoch, order }: AddressedOrder) => {
        const known = [...ranks.values()].find(({ report }) => report?.rank === rank);
        if (known === undefined) {
            recordOrderResult(rollout, rank, order.kind, undefined);
            return;
        }
        const result = order.kind === "read" ?
            options.read(known.host).then((report): OrderResult => ({ outcome: OrderOutcome.accepted, report })) :
            sendRankOrder(known, order, epoch);
        result.then(({ outcome, report }) => {
            metrics.orders.inc({ kind: order.kind, outcome });
            recordReport(known.host, report);
            recordOrderResult(rollout, rank, order.kind, outcome);
        }).catch((error: Error) => {
            metrics.orders.inc({ kind: order.kind, outcome: "unreachable" });
            logger.warn("An order did not reach its slot.", { rank, order: order.kind, error: error.message });
            recordOrderResult(rollout, rank, order.kind, undefined);
        }).finally(advanceRollout);
    };
    const sendRankOrder = async (known: KnownRank, order: RankOrder, epoch: number): Promise<OrderResult> => {
        if (!known.isSlotSilent && order.kind !== "hold" && order.kind !== "go") {
            return options.order(known.host, order, epoch, false);
        }
        // A slot that stops with its machine right after a hold could not let the group go on, so the lead does both.
        const { outcome } = await options.order(known.host, order, epoch, true);
        if (outcome === OrderOutcome.accepted && known.report !== undefined) {
            return { outcome, report: { ...known.report, ...reportUpdates[order.kind](order as never) } };
        }
        return { outcome, report: known.isSlotSilent ? undefined : await options.read(known.host) };
    };
    const advanceRollout = () => {
        const owner = options.getLeaderContext();
        const reports = listReports().filter(({ rank, at }) => rank !== owner.lostRank || now() - at < lostRankMaxAgeMs);
        const previousPlan = rollout.plan;
        const context = { ...owner, random: random(), knownPlan: findLoadedPlan(reports) };
        decideOrders(rollout, reports, context, now()).forEach(sendOrder);
        if (previousPlan !== undefined && rollout.plan === undefined) {
            logger.info("The map has changed.", { version: previousPlan.version, ms: Math.round(now() - plannedAt) });
        }
    };
    /** Finds a map that all ranks have in memory: the one in force, or the one that a held change has prepared. */
    const findLoadedPlan = (reports: TimestampedReport[]): ExpertPlan | undefined => {
        if (reports.every(({ heldStep }) => heldStep === undefined)) {
            return undefined;
        }
        const { mapVersion, preparedVersion } = reports[0];
        return options.findPlan(mapVersion) ?? (figures === undefined ? undefined : collectCurrentPlan(figures, reports)) ??
            options.findPlan(preparedVersion ?? mapVersion);
    };
    /** Reads the reports of ranks whose slots are silent. */
    const fetchSilentRanks = (hosts: string[]) => {
        const isDue = (host: string) => now() - (fetchedAt.get(host) ?? -Infinity) > fetchIntervalMs;
        const isHeard = (host: string) => now() - (ranks.get(host)?.heardAt ?? -Infinity) <= slotSilenceMs;
        for (const host of hosts.filter(host => !isHeard(host) && isDue(host))) {
            fetchedAt.set(host, now());
            options.fetchReport(host).then(report => {
                logger.info("A rank was read past its slot.", { host, rank: report.rank, heldStep: report.heldStep });
                ranks.set(host, {
                    host,
                    report: { ...report, at: now() },
                    experts: undefined,
                    heardAt: now() - slotSilenceMs,
                    isSlotSilent: true,
                });
                advanceRollout();
            }).catch((error: Error) => logger.warn("A rank does not answer.", { host, error: error.message }));
        }
    };
    const planNextRebalance = (figures: ExpertParameters, reports: TimestampedReport[]) => {
        const current = collectCurrentPlan(figures, reports);
        if (popularity === undefined || popularity.weight === 0 || current === undefined) {
            return;
        }
        const input = { current, shares: popularity.shares, ...figures };
        const skew = computePlanSkew(input);
        if (skew < rebalanceSkew || now() - plannedAt < minPlanIntervalMs) {
            return;
        }
        const planned = planRebalance(input);
        if (planned === undefined || planned.skewBefore - planned.skewAfter < minSkewReduction * (planned.skewBefore - 1)) {
            return;
        }
        plannedAt = now();
        const version = createVersion(reports, options.getLeaderContext().ownRank ?? reports[0].rank, random());
        rollout.plan = { version, epoch: reports[0].epoch, plan: planned.plan };
        metrics.plans.inc();
        metrics.moves.inc(planned.moves);
        const { moves, skewBefore, skewAfter } = planned;
        logger.info("A map is planned.", { version, moves, skewBefore, skewAfter, weight: popularity.weight });
    };
    /** Experts by set and rank of the map that all ranks have in force. */
    const collectCurrentPlan = (figures: ExpertParameters, reports: TimestampedReport[]): ExpertPlan | undefined => {
        const first = reports[0];
        const isWhole = first !== undefined && reports.length === first.size &&
            reports.every(r => r.isOpen && r.epoch === first.epoch && r.mapVersion === first.mapVersion);
        if (!isWhole) {
            return undefined;
        }
        const byRank = [...ranks.values()].filter(({ report }) => report !== undefined);
        byRank.sort((a, b) => a.report!.rank - b.report!.rank);
        if (byRank.some(({ experts }) => experts === undefined || experts.length !== figures.sets)) {
            return undefined;
        }
        return Array.from({ length: figures.sets }, (ignored, set) => byRank.map(({ experts }) => experts![set]));
    };
    return {
        recordState: state => {
            const known = ranks.get(state.from) ?? { host: state.from, report: undefined, experts: undefined };
            const report = state.report === undefined ? undefined : { ...state.report, at: now() };
            const experts = state.experts ??
                (report?.mapVersion === known.report?.mapVersion ? known.experts : undefined);
            ranks.set(state.from, { host: state.from, report, experts, heardAt: now(), isSlotSilent: false });
            if (popularity !== undefined && state.choices !== undefined) {
                const choices = decodeExpertLoads(state.choices, popularity.experts);
                if (choices.length === popularity.sets) {
                    recordChoices(popularity, choices);
                }
            }
        },
        hasOtherActiveSlots: own => [...ranks.values()].some(({ host, heardAt }) => host !== own && now() - heardAt < slotSilenceMs),
        summarize: () => {
            const reports = listReports();
            const newest = Math.max(0, ...reports.map(({ epoch }) => epoch));
            const current = reports.filter(({ epoch, at }) => epoch === newest && now() - at < stateMaxAgeMs);
            return {
                isOpen: current.length === 0 || current.some(({ isOpen }) => isOpen),
                epoch: newest,
                ranks: packRankLoads(reports.map(({ rank, running, queued, at }) => ({
                    rank,
                    running,
                    waiting: queued,
                    ageMs: now() - at,
                }))),
            };
        },
        advance: (hosts, newFigures) => {
            figures = newFigures;
            for (const [host, { heardAt }] of ranks) {
                if (!hosts.includes(host) || now() - heardAt > stateMaxAgeMs) {
                    ranks.delete(host);
                }
            }
            if (figures === undefined) {
                return;
            }
            if (popularity?.sets !== figures.sets || popularity.experts !== figures.experts) {
                popularity = createPopularity(figures.sets, figures.experts);
            }
            const { step, distance } = updatePopularity(popularity);
            if (step === PopularityOutcome.changed) {
                logger.info("The demand for experts has changed.", { distance });
            }
            if (rollout.plan !== undefined && now() - plannedAt > rolloutTimeoutMs) {
                logger.warn("A change of the map is given up.", { version: rollout.plan.version });
                abandonPlan(rollout);
            }
            const reports = listReports();
            if (isGroupStuck(rollout, reports, now())) {
                fetchSilentRanks(hosts);
            }
            if (step !== PopularityOutcome.waiting && isRolloutIdle(rollout, reports)) {
                planNextRebalance(figures, reports);
            }
            advanceRollout();
        },
    };
}
