/**
 * Runs on a group's leader, which is one of its slots: collects the ranks' states, plans expert maps as demand changes,
 * and sends the orders that put them in force.
 */
import type { ExpertParameters } from "../config/serving.js";
import type { DirectSlotMetrics } from "../observe/directMetrics.js";
import type { Logger } from "../observe/logger.js";
import { decodeExpertLoads, type LeaderHeartbeat, packRankLoads, type RankHeartbeat } from "../peers/heartbeat.js";
import { computePlanSkew, planRebalance } from "./planRebalance.js";
import {
    createPopularity,
    PopularityOutcome,
    type PopularityState,
    recordSelections,
    updatePopularity,
} from "./popularity.js";
import { type ExpertPlan, OrderOutcome, type RankOrder, type RankReport } from "./rankTypes.js";
import {
    abandonPlan,
    type AddressedOrder,
    createRollout,
    createVersion,
    decideOrders,
    isGroupStuck,
    isRolloutIdle,
    type LeaderContext,
    recordOrderResult,
    type TimestampedReport,
} from "./rollout.js";

/** Last known state of a rank. */
interface KnownRank {
    host: string;
    /** Undefined while the engine does not respond to its slot. */
    report: TimestampedReport | undefined;
    /** Experts of the active map, by set; undefined until the slot has sent them. */
    experts: number[][] | undefined;
    /** Time of the last heartbeat from the rank's slot, in milliseconds. */
    lastHeartbeatAt: number;
    /** Whether the report was read directly because the slot is silent. */
    isSlotSilent: boolean;
}

/** Result of an order. */
export interface OrderResult {
    outcome: OrderOutcome;
    /** The rank's report after the order, if it could be read. */
    report?: RankReport;
}

export interface RebalancerOptions {
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Returns a random number in [0, 1). */
    random: () => number;
    logger: Logger;
    metrics: DirectSlotMetrics;
    /**
     * Sends an order to the rank at `host`: through its slot, or directly, which costs more. Rejects if the order could
     * not be delivered.
     */
    order: (host: string, order: RankOrder, epoch: number, isDirect: boolean) => Promise<OrderResult>;
    /** Reads the report of the rank at `host` through its slot. */
    read: (host: string) => Promise<RankReport>;
    /** Returns the rank of this slot and that of the previous leader, if it was lost. */
    getLeaderContext: () => Pick<LeaderContext, "ownRank"> & { lostRank: number | undefined; };
    /** Finds a plan that was prepared earlier, by version. */
    findPlan: (version: number) => ExpertPlan | undefined;
    /** Reads the report of the rank at `host` directly, which costs more than through its slot. */
    fetchReport: (host: string) => Promise<RankReport>;
}

/** Plans and rolls out the expert maps of one group. */
export interface Rebalancer {
    /** Records a heartbeat of a rank's slot. */
    recordRankHeartbeat: (heartbeat: RankHeartbeat) => void;
    /** Whether a slot other than `own` has sent a heartbeat recently and could therefore lead. */
    hasOtherActiveSlots: (own: string) => boolean;
    /** Summarizes the ranks for the leader's heartbeat. */
    summarize: () => Pick<LeaderHeartbeat, "isOpen" | "epoch" | "ranks">;
    /** Plans a map if one is due and sends the due orders; `hosts` are the group's slots. Call at intervals. */
    advance: (hosts: string[], parameters: ExpertParameters | undefined) => void;
}

/** Skew of the estimated demand under the active map from which on a change is planned. */
const rebalanceSkew = 1.4;
/** Share of the excess over an even load that a change has to remove. */
const minSkewReduction = 0.25;
/** Minimum time between two plans, in milliseconds; a rollout takes about 500 ms. */
const minPlanIntervalMs = 700;
/** Time after which an incomplete rollout is abandoned, in milliseconds. */
const rolloutTimeoutMs = 4000;
/**
 * Silence after which a slot is inactive, in milliseconds; three heartbeat intervals. The rank of an inactive slot is
 * read directly if the group is stuck.
 */
const slotSilenceMs = 600;
/** Minimum time between two direct reads of one rank, in milliseconds. */
const fetchIntervalMs = 300;
/** Age after which the report of the lost leader's rank is ignored, in milliseconds; two heartbeat intervals. */
const lostRankMaxAgeMs = 400;
/** Age after which a rank's state is discarded, in milliseconds. */
const stateMaxAgeMs = 1500;

type ReportUpdates = { [K in RankOrder["kind"]]: (order: Extract<RankOrder, { kind: K; }>) => Partial<RankReport>; };

/** Effect of an accepted order on a rank's report. */
const reportUpdates: ReportUpdates = {
    prepare: () => ({}),
    arm: ({ version, step }) => ({ armed: { version, step } }),
    disarm: () => ({ armed: undefined }),
    hold: ({ step }) => ({ heldStep: step }),
    go: () => ({ heldStep: undefined }),
};

/** Creates the rebalancer of one group. */
export function createRebalancer(options: RebalancerOptions): Rebalancer {
    const { now, random, logger, metrics } = options;
    const ranks = new Map<string, KnownRank>();
    const rollout = createRollout();
    let popularity: PopularityState | undefined;
    const fetchedAt = new Map<string, number>();
    let plannedAt = -Infinity;
    let parameters: ExpertParameters | undefined;

    const listReports = () => {
        const known = [...ranks.values()].flatMap(({ report }) => report === undefined ? [] : [report]);
        return known.sort((a, b) => a.rank - b.rank);
    };
    const recordReport = (host: string, report: RankReport | undefined) => {
        const rank = ranks.get(host);
        if (rank !== undefined && report !== undefined) {
            rank.report = { ...report, readAt: now() };
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
            logger.warn("Could not deliver an order to a rank.", { rank, order: order.kind, error: error.message });
            recordOrderResult(rollout, rank, order.kind, undefined);
        }).finally(advanceRollout);
    };
    const sendRankOrder = async (known: KnownRank, order: RankOrder, epoch: number): Promise<OrderResult> => {
        if (!known.isSlotSilent && order.kind !== "hold" && order.kind !== "go") {
            return options.order(known.host, order, epoch, false);
        }
        // If a slot's machine stopped right after the slot had placed a hold, the slot could not release it. The leader
        // therefore sends both orders to the rank directly.
        const { outcome } = await options.order(known.host, order, epoch, true);
        if (outcome === OrderOutcome.accepted && known.report !== undefined) {
            return { outcome, report: { ...known.report, ...reportUpdates[order.kind](order as never) } };
        }
        return { outcome, report: known.isSlotSilent ? undefined : await options.read(known.host) };
    };
    const advanceRollout = () => {
        const { ownRank, lostRank } = options.getLeaderContext();
        const reports = listReports().filter(({ rank, readAt }) =>
            rank !== lostRank || now() - readAt < lostRankMaxAgeMs
        );
        const previousPlan = rollout.plan;
        const context = { ownRank, random: random(), loadedPlan: findLoadedPlan(reports) };
        decideOrders(rollout, reports, context, now()).forEach(sendOrder);
        if (previousPlan !== undefined && rollout.plan === undefined) {
            logger.info("The expert map rollout has ended.", {
                version: previousPlan.version,
                ms: Math.round(now() - plannedAt),
            });
        }
    };
    /** Finds a map that all ranks have in memory during a hold: the active one, or the one that was prepared. */
    const findLoadedPlan = (reports: TimestampedReport[]): ExpertPlan | undefined => {
        if (reports.every(({ heldStep }) => heldStep === undefined)) {
            return undefined;
        }
        const { mapVersion, preparedVersion } = reports[0];
        return options.findPlan(mapVersion) ??
            (parameters === undefined ? undefined : collectCurrentPlan(parameters, reports)) ??
            options.findPlan(preparedVersion ?? mapVersion);
    };
    /** Reads the reports of ranks with silent slots directly. */
    const fetchSilentRanks = (hosts: string[]) => {
        const isDue = (host: string) => now() - (fetchedAt.get(host) ?? -Infinity) > fetchIntervalMs;
        const isActive = (host: string) => now() - (ranks.get(host)?.lastHeartbeatAt ?? -Infinity) <= slotSilenceMs;
        for (const host of hosts.filter(host => !isActive(host) && isDue(host))) {
            fetchedAt.set(host, now());
            options.fetchReport(host).then(report => {
                logger.info("Read a rank directly because its slot is silent.", {
                    host,
                    rank: report.rank,
                    heldStep: report.heldStep,
                });
                ranks.set(host, {
                    host,
                    report: { ...report, readAt: now() },
                    experts: undefined,
                    lastHeartbeatAt: now() - slotSilenceMs,
                    isSlotSilent: true,
                });
                advanceRollout();
            }).catch((error: Error) => logger.warn("Could not read a rank directly.", { host, error: error.message }));
        }
    };
    const planNextRebalance = (parameters: ExpertParameters, reports: TimestampedReport[]) => {
        const current = collectCurrentPlan(parameters, reports);
        const { ownRank } = options.getLeaderContext();
        if (popularity === undefined || popularity.weight === 0 || current === undefined || ownRank === undefined) {
            return;
        }
        const input = { current, shares: popularity.shares, ...parameters };
        const skew = computePlanSkew(input);
        if (skew < rebalanceSkew || now() - plannedAt < minPlanIntervalMs) {
            return;
        }
        const planned = planRebalance(input);
        if (
            planned === undefined ||
            planned.skewBefore - planned.skewAfter < minSkewReduction * (planned.skewBefore - 1)
        ) {
            return;
        }
        plannedAt = now();
        const version = createVersion(reports, ownRank, random());
        rollout.plan = { version, epoch: reports[0].epoch, plan: planned.plan };
        metrics.plans.inc();
        metrics.moves.inc(planned.moves);
        const { moves, skewBefore, skewAfter } = planned;
        logger.info("Planned a new expert map.", { version, moves, skewBefore, skewAfter, weight: popularity.weight });
    };
    /** Assembles the active map from the ranks' experts; undefined unless all ranks report the same version. */
    const collectCurrentPlan = (parameters: ExpertParameters, reports: TimestampedReport[]): ExpertPlan | undefined => {
        const first = reports[0];
        const isComplete = first !== undefined && reports.length === first.size &&
            reports.every(r => r.isOpen && r.epoch === first.epoch && r.mapVersion === first.mapVersion);
        if (!isComplete) {
            return undefined;
        }
        const byRank = [...ranks.values()].filter(({ report }) => report !== undefined);
        byRank.sort((a, b) => a.report!.rank - b.report!.rank);
        if (byRank.some(({ experts }) => experts === undefined || experts.length !== parameters.sets)) {
            return undefined;
        }
        return Array.from({ length: parameters.sets }, (ignored, set) => byRank.map(({ experts }) => experts![set]));
    };
    return {
        recordRankHeartbeat: heartbeat => {
            const known = ranks.get(heartbeat.from) ?? { host: heartbeat.from, report: undefined, experts: undefined };
            const report = heartbeat.report === undefined ? undefined : { ...heartbeat.report, readAt: now() };
            const experts = heartbeat.experts ??
                (report?.mapVersion === known.report?.mapVersion ? known.experts : undefined);
            ranks.set(heartbeat.from, {
                host: heartbeat.from,
                report,
                experts,
                lastHeartbeatAt: now(),
                isSlotSilent: false,
            });
            if (popularity !== undefined && heartbeat.choices !== undefined) {
                const counts = decodeExpertLoads(heartbeat.choices, popularity.experts);
                if (counts.length === popularity.sets) {
                    recordSelections(popularity, counts);
                }
            }
        },
        hasOtherActiveSlots: own =>
            [...ranks.values()].some(({ host, lastHeartbeatAt }) =>
                host !== own && now() - lastHeartbeatAt < slotSilenceMs
            ),
        summarize: () => {
            const reports = listReports();
            const newestEpoch = Math.max(0, ...reports.map(({ epoch }) => epoch));
            const current = reports.filter(({ epoch, readAt }) =>
                epoch === newestEpoch && now() - readAt < stateMaxAgeMs
            );
            return {
                isOpen: current.length === 0 || current.some(({ isOpen }) => isOpen),
                epoch: newestEpoch,
                ranks: packRankLoads(reports.map(({ rank, running, queued, readAt }) => ({
                    rank,
                    running,
                    waiting: queued,
                    ageMs: now() - readAt,
                }))),
            };
        },
        advance: (hosts, newParameters) => {
            parameters = newParameters;
            for (const [host, { lastHeartbeatAt }] of ranks) {
                if (!hosts.includes(host) || now() - lastHeartbeatAt > stateMaxAgeMs) {
                    ranks.delete(host);
                }
            }
            if (parameters === undefined) {
                return;
            }
            if (popularity?.sets !== parameters.sets || popularity.experts !== parameters.experts) {
                popularity = createPopularity(parameters.sets, parameters.experts);
            }
            const { outcome, distance } = updatePopularity(popularity);
            if (outcome === PopularityOutcome.changed) {
                logger.info("The expert demand has shifted.", { distance });
            }
            if (rollout.plan !== undefined && now() - plannedAt > rolloutTimeoutMs) {
                logger.warn("Abandoned an expert map rollout that timed out.", { version: rollout.plan.version });
                abandonPlan(rollout);
            }
            const reports = listReports();
            if (isGroupStuck(rollout, reports, now())) {
                fetchSilentRanks(hosts);
            }
            if (outcome !== PopularityOutcome.waiting && isRolloutIdle(rollout, reports)) {
                planNextRebalance(parameters, reports);
            }
            advanceRollout();
        },
    };
}
