/**
 * Starts a slot of the direct path, the process beside the engine of one rank; requests do not pass through it. It
 * reports the rank's state to the group's leader and sends the engine the leader's orders (`prepare`, `arm`, `hold` and
 * others of an expert map). If elected leader, it also plans the maps and sends these orders to all slots.
 */
import { Agent, createServer } from "node:http";
import type { ServingDocument, ServingPool } from "../config/serving.js";
import { createPlanCache, type DeltaPrepare, packOrder, storePlan, unpackOrder } from "../group/planCache.js";
import {
    OrderOutcome,
    type RankClient,
    type RankOrder,
    type RankPlacement,
    type RankReport,
} from "../group/rankTypes.js";
import { createRebalancer, type OrderResult } from "../group/rebalancer.js";
import { lockRank } from "../group/rollout.js";
import { createDirectSlotMetrics } from "../observe/directMetrics.js";
import { containFaults, createFaultReporter } from "../observe/faults.js";
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createFeed, type FeedSource } from "../peers/feed.js";
import { createHandOverParams, type HandOverParams } from "../peers/handOver.js";
import {
    computeEncodedLoadLength,
    encodeDatagram,
    encodeExpertLoads,
    type Heartbeat,
    type RankHeartbeat,
} from "../peers/heartbeat.js";
import {
    createLeaderState,
    findSuccessor,
    handleLeaderHeartbeat,
    transferLeadership,
    updateLeadership,
} from "../peers/leader.js";
import { listUpstreams, type MirrorDecoders, type UpstreamRecord } from "../peers/mirror.js";
import {
    computeExpertLoadPeriod,
    heartbeatIntervalMs,
    heartbeatsPerEntryList,
    isExpertLoadDue,
    slotFeedTiming,
    splitIntoBursts,
} from "../peers/pacing.js";
import { createCallerLimits } from "../wire/callerLimits.js";
import { type Address, listenOn } from "../wire/listen.js";
import type { MachineLimits } from "../wire/machineLimits.js";
import { callPeer } from "../wire/peerRpc.js";
import { callTimeouts } from "../wire/receiveCall.js";
import { computeLogPositions, pickPeer } from "./logPositions.js";
import { bindDatagrams, createInternalHandler, createSettingsHandlers, fetchHandOver } from "./peerLink.js";

export interface DirectSlotOptions {
    instance: string;
    dataCentre: string;
    /** Address for heartbeats and calls of other processes. */
    internal: Address;
    /** Addresses of other processes from which log records can be fetched. */
    seeds: Address[];
    /** Engine of this slot. */
    engine: Address;
    machine: MachineLimits;
    source: FeedSource;
    decoders: MirrorDecoders<ServingDocument>;
    createRankClient: (address: Address) => RankClient;
}

/** Result of an order that was sent to a slot. */
interface SlotOrderResult extends OrderResult {
    /** Whether the slot lacks the map that a delta-encoded prepare order is based on. */
    lacksBase?: boolean;
}

/** Settings that may change while the slot runs. */
export type ReloadableSlotSettings = Pick<DirectSlotOptions, "seeds">;

export interface RunningSlot {
    stop: () => Promise<void>;
    applySettings: (changes: ReloadableSlotSettings) => void;
    /** Logs that reloaded settings are invalid; the previous ones stay active. */
    handleInvalidSettings: (error: Error) => void;
}

/** RPC method that sends an order to a slot's rank. */
const orderMethod = "order";
/** RPC method that reads the report of a slot's rank. */
const readMethod = "read";
/** Time without a presence heartbeat after which an entry is removed, in milliseconds. */
const entryMaxAgeMs = 4000;
/** Timeout of an RPC to another slot, in milliseconds. */
const slotCallTimeoutMs = 350;
/** Time for which an idle connection to another slot is kept, in milliseconds; shorter than the other slot keeps it. */
const slotConnectionIdleMs = 3000;
/** Interval at which the leader advances the rebalancer, in milliseconds. */
const rebalanceIntervalMs = 50;

/** Starts a slot; resolves once it listens. */
export async function startDirectSlot(initial: DirectSlotOptions): Promise<RunningSlot> {
    const options = { ...initial };
    const { internal, engine } = options;
    const createLogger = createLoggerFactory("beechdock-slot", options.instance, "info");
    const logger = createLogger(LogPrefix.slot);
    const groupLogger = createLogger(LogPrefix.group);
    const metrics = createDirectSlotMetrics();
    const now = () => performance.now();
    const reportFault = createFaultReporter(logger, metrics.faults, now);
    const localRank = options.createRankClient(engine);
    const planCache = createPlanCache();
    const slotAgent = new Agent({ keepAlive: true, timeout: slotConnectionIdleMs });
    const leaderState = createLeaderState(internal.host, now());
    /** Time of the latest heartbeat by entry host, in milliseconds. */
    const entryHeartbeatTimes = new Map<string, number>();
    let pool: ServingPool | undefined;
    let hosts: string[] = [];
    let report: RankReport | undefined;
    let placement: RankPlacement | undefined;
    let lastCounts: { epoch: number; sets: number[][]; } | undefined;
    let heartbeatCount = 0;
    let intervalCount = 0;
    /** Placement that has been sent to the leader. */
    let sentPlacement: RankPlacement | undefined;
    /** Rank of the previous leader's slot. */
    let lostRank: number | undefined;

    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random: Math.random,
        logger: createLogger(LogPrefix.config),
        reportFault,
        fetchFromPeer: (documentEnd, listEnd, quarantineEnd) =>
            fetchFromRandomPeer(createHandOverParams(documentEnd, listEnd, quarantineEnd)),
        onDocument: () => updateGroup(),
        onList: () => updateGroup(),
        // A slot keeps the quarantine only to tell entries its end and to hand it over to them.
        onQuarantine: () => undefined,
        timing: slotFeedTiming,
        isContinuousReader: () => leaderState.leader === internal.host,
        onRead: (topic, reason, outcome) => metrics.logReads.inc({ topic, reason, outcome }),
    });
    const listServed = () => {
        const names = feed.state.document?.pools.map(({ name }) => name);
        return listUpstreams(feed.state, name => names?.includes(name) ?? true);
    };
    const updateGroup = () => {
        const upstreams = listServed();
        const localUpstream = upstreams.find(u => u.host === engine.host && u.port === engine.port);
        pool = feed.state.document?.pools.find(({ name }) => name === (localUpstream?.pool ?? pool?.name));
        hosts = sortSlots(upstreams.filter(u => u.pool === pool?.name));
    };
    const fetchFromRandomPeer = (params: HandOverParams) => {
        const others = listOtherHosts().map(host => ({ host, port: internal.port }));
        return fetchHandOver(pickPeer([...others, ...options.seeds], Math.random), params);
    };
    const listOtherHosts = () => hosts.filter(host => host !== internal.host);
    const rebalancer = createRebalancer({
        now,
        random: Math.random,
        logger: groupLogger,
        metrics,
        order: async (host, order, epoch, isDirect) => {
            if (host === internal.host) {
                return orderLocalRank(order, epoch);
            }
            if (isDirect) {
                const rank = createRemoteRankClient(host);
                return {
                    outcome: await rank.order(order, epoch),
                    report: await rank.readReport().catch(() => undefined),
                };
            }
            // An arm order sent on a kept connection would still be delivered if the leader hangs right afterwards.
            // Then only the leader's own rank would not be known to be armed, and no slot could let the group continue.
            const agent = order.kind === "arm" ? undefined : slotAgent;
            const call = (packed: RankOrder | DeltaPrepare) =>
                callSlot<SlotOrderResult>(host, orderMethod, { order: packed, epoch }, agent);
            if (order.kind === "prepare") {
                storePlan(planCache, order.version, order.plan);
            }
            const result = await call(packOrder(planCache, order, report?.mapVersion));
            return result.lacksBase === true ? await call(order) : result;
        },
        read: host =>
            host === internal.host ? localRank.readReport() : callSlot<RankReport>(host, readMethod, {}, slotAgent),
        findPlan: version => planCache.plans.get(version),
        getLeaderContext: () => ({ ownRank: report?.rank, lostRank }),
        fetchReport: host => createRemoteRankClient(host).readReport(),
    });
    const callSlot = <T>(host: string, method: string, params: unknown, agent?: Agent) =>
        callPeer<T>({ host, port: internal.port, method, params, timeoutMs: slotCallTimeoutMs, agent });
    const createRemoteRankClient = (host: string) => {
        const port = listServed().find(u => u.host === host && u.pool === pool?.name)?.port ?? engine.port;
        return options.createRankClient({ host, port });
    };
    const orderLocalRank = async (packed: RankOrder | DeltaPrepare, epoch: number): Promise<SlotOrderResult> => {
        const order = unpackOrder(planCache, packed);
        if (order === undefined) {
            return { outcome: OrderOutcome.refused, lacksBase: true };
        }
        if (order.kind === "prepare") {
            storePlan(planCache, order.version, order.plan);
        }
        const outcome = await localRank.order(order, epoch);
        groupLogger.info("An order was sent to the rank.", { order: order.kind, epoch, outcome });
        report = await localRank.readReport().catch(() => undefined);
        return { outcome, report };
    };
    const send = (heartbeat: Heartbeat, host: string) => datagrams.send(encodeDatagram(heartbeat), host, internal.port);
    const readLocalRank = async () => {
        const wasOpen = report?.isOpen;
        report = await localRank.readReport();
        if (wasOpen !== undefined && wasOpen !== report.isOpen) {
            groupLogger.warn("The state of the group has changed.", { isOpen: report.isOpen, epoch: report.epoch });
        }
        if (placement?.version !== report.mapVersion || placement.epoch !== report.epoch) {
            placement = await localRank.readPlacement();
        }
    };
    /** Whether the expert loads of this rank are due in an interval. */
    const isLoadDue = (interval: number) => {
        const experts = pool?.engine?.experts;
        if (experts === undefined || report === undefined) {
            return false;
        }
        const period = computeExpertLoadPeriod(report.size, computeEncodedLoadLength(experts.sets, experts.experts));
        return isExpertLoadDue(interval, report.rank, period);
    };
    const readExpertLoads = async (experts: { sets: number; experts: number; }) => {
        const counts = await localRank.readCounts(experts);
        const previous = lastCounts;
        lastCounts = counts;
        if (previous === undefined || previous.epoch !== counts.epoch) {
            return undefined;
        }
        const increases = counts.sets.map((set, index) =>
            set.map((count, expert) => count - previous.sets[index][expert])
        );
        return increases.some(set => set.some(count => count < 0)) ? undefined : encodeExpertLoads(increases);
    };
    const sendRankHeartbeat = async () => {
        intervalCount += 1;
        let expertLoads: string | undefined;
        let areLoadsDue = false;
        try {
            await readLocalRank();
            areLoadsDue = isLoadDue(intervalCount);
            const experts = pool?.engine?.experts;
            // Only the selection counts of the last interval are sent; older ones would hide a change in demand.
            if (experts !== undefined && report?.isOpen === true && (areLoadsDue || isLoadDue(intervalCount + 1))) {
                const increases = await readExpertLoads(experts);
                expertLoads = areLoadsDue ? increases : undefined;
            }
        }
        catch (error) {
            if (report !== undefined) {
                groupLogger.warn("The rank does not respond.", { error: (error as Error).message });
            }
            report = undefined;
        }
        if (pool === undefined) {
            return;
        }
        const isPlacementCurrent = report !== undefined && placement?.version === report.mapVersion &&
            placement.epoch === report.epoch;
        const isPlacementDue = isPlacementCurrent && (placement !== sentPlacement || areLoadsDue);
        sentPlacement = isPlacementCurrent ? placement : undefined;
        const heartbeat: RankHeartbeat = {
            kind: "state",
            from: internal.host,
            pool: pool.name,
            report,
            experts: isPlacementDue ? placement?.experts : undefined,
            choices: expertLoads,
            positions: computeLogPositions(feed, now()),
        };
        if (report?.rank === lockRank && rebalancer.hasOtherActiveSlots(internal.host)) {
            transferLeadership(leaderState, hosts, now());
        }
        const previousLeader = leaderState.leader;
        const isLeader = updateLeadership(leaderState, hosts, now());
        if (isLeader && previousLeader !== internal.host) {
            lostRank = listServed().find(u => u.host === previousLeader && u.pool === pool?.name)?.rank;
            groupLogger.info("This slot has become the leader.", { before: previousLeader, lostRank });
        }
        if (isLeader) {
            rebalancer.recordRankHeartbeat(heartbeat);
        }
        else if (leaderState.leader !== undefined) {
            send(heartbeat, leaderState.leader);
        }
        const successor = findSuccessor(leaderState, hosts);
        if (successor === internal.host) {
            rebalancer.recordRankHeartbeat(heartbeat);
        }
        else if (successor !== undefined) {
            send({ ...heartbeat, choices: undefined }, successor);
        }
    };
    const sendLeaderHeartbeat = () => {
        if (pool === undefined || leaderState.leader !== internal.host) {
            return;
        }
        heartbeatCount += 1;
        entryHeartbeatTimes.forEach((lastHeartbeatAt, host) =>
            now() - lastHeartbeatAt > entryMaxAgeMs && entryHeartbeatTimes.delete(host)
        );
        const heartbeat = {
            kind: "vector" as const,
            from: internal.host,
            pool: pool.name,
            ...rebalancer.summarize(),
            entryCount: entryHeartbeatTimes.size,
            positions: computeLogPositions(feed, now()),
        };
        const bytes = encodeDatagram(heartbeat);
        const slotBytes = heartbeatCount % heartbeatsPerEntryList === 0 ?
            encodeDatagram({ ...heartbeat, ranks: "", entries: [...entryHeartbeatTimes.keys()] }) :
            encodeDatagram({ ...heartbeat, ranks: "" });
        const bursts = splitIntoBursts([
            ...[...entryHeartbeatTimes.keys()].map(host => ({ host, bytes })),
            ...listOtherHosts().map(host => ({ host, bytes: slotBytes })),
        ]);
        for (const { delayMs, datagrams: list } of bursts) {
            const sendBurst = () => list.forEach(({ host, bytes }) => datagrams.send(bytes, host, internal.port));
            setTimeout(containFaults(reportFault, sendBurst), delayMs);
        }
    };
    const heartbeatHandlers: { [K in Heartbeat["kind"]]: (heartbeat: Extract<Heartbeat, { kind: K; }>) => void; } = {
        state: heartbeat => rebalancer.recordRankHeartbeat(heartbeat),
        vector: heartbeat => {
            handleLeaderHeartbeat(leaderState, heartbeat.from, hosts, now());
            heartbeat.entries?.forEach(host =>
                entryHeartbeatTimes.set(host, Math.max(entryHeartbeatTimes.get(host) ?? 0, now()))
            );
        },
        presence: heartbeat => {
            entryHeartbeatTimes.set(heartbeat.host, now());
            if (leaderState.leader !== undefined && leaderState.leader !== internal.host) {
                send(heartbeat, leaderState.leader);
            }
        },
    };
    const datagrams = await bindDatagrams(internal, feed, metrics.sendFailures, {
        reportFault,
        onHeartbeat: heartbeat => heartbeatHandlers[heartbeat.kind](heartbeat as never),
    });
    const { memory, guard } = createCallerLimits(options.machine, now);
    const handleInternalRequest = createInternalHandler(feed, metrics.registry, {
        [readMethod]: () => localRank.readReport(),
        [orderMethod]: ({ order, epoch }: { order: RankOrder | DeltaPrepare; epoch: number; }) =>
            orderLocalRank(order, epoch),
    }, { memory });
    const server = createServer(callTimeouts, handleInternalRequest);
    guard.watch(server);
    await listenOn(server, internal.host, internal.port);
    feed.start();
    logger.info("The slot listens.", { engine: `${engine.host}:${engine.port}` });
    let isSendingHeartbeat = false;
    const sendDueRankHeartbeat = async () => {
        if (!isSendingHeartbeat) {
            isSendingHeartbeat = true;
            await sendRankHeartbeat().finally(() => isSendingHeartbeat = false);
        }
    };
    const advanceRebalancer = () => {
        if (leaderState.leader === internal.host) {
            rebalancer.advance(hosts, pool?.engine?.experts);
        }
    };
    const timers = [
        setInterval(containFaults(reportFault, sendDueRankHeartbeat), heartbeatIntervalMs),
        setInterval(containFaults(reportFault, sendLeaderHeartbeat), heartbeatIntervalMs),
        setInterval(containFaults(reportFault, advanceRebalancer), rebalanceIntervalMs),
    ];
    return {
        ...createSettingsHandlers(options, logger),
        stop: async () => {
            logger.info("The slot has stopped.");
            timers.forEach(clearInterval);
            feed.stop();
            datagrams.close();
            server.close();
        },
    };
}

/** Sorts slot hosts in takeover order; the slot of `lockRank` comes last, so that the leader is not the lock's slot. */
function sortSlots(upstreams: UpstreamRecord[]): string[] {
    const getWeight = (u: UpstreamRecord) => Number(u.rank === lockRank);
    const sorted = [...upstreams].sort((a, b) => getWeight(a) - getWeight(b) || (a.host < b.host ? -1 : 1));
    return sorted.map(({ host }) => host);
}
