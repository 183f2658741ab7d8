/** Wires a slot of the direct path: reads its own rank, tells the lead, leads if it is its turn, and orders its rank. */
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
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createSlotMetrics } from "../observe/servingMetrics.js";
import { createFeed, type FeedSource } from "../peers/feed.js";
import type { HandOverParams } from "../peers/handOver.js";
import {
    computeEncodedLoadLength,
    encodeExpertLoads,
    encodeHeartbeat,
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
import { type Address, listenOn } from "../wire/listen.js";
import { callPeer } from "../wire/peerRpc.js";
import { bindHeartbeatSocket, createInternalHandler, createSettingsHandlers, fetchHandOver } from "./peerLink.js";
import { computeLogPositions, pickPeer } from "./logPositions.js";

export interface SlotOptions {
    instance: string;
    dataCentre: string;
    internal: Address;
    seeds: Address[];
    /** Engine beside this slot. */
    engine: Address;
    source: FeedSource;
    decoders: MirrorDecoders<ServingDocument>;
    createRankClient: (address: Address) => RankClient;
}

/** What a slot answers to an order. */
interface SlotOrderResult extends OrderResult {
    /** Whether the slot does not remember the map that a prepare stands on. */
    lacksBase?: boolean;
}

/** Settings that may change while the slot runs. */
export type ReloadableSlotSettings = Pick<SlotOptions, "seeds">;

export interface RunningSlot {
    stop: () => Promise<void>;
    applySettings: (changes: ReloadableSlotSettings) => void;
    handleInvalidSettings: (error: Error) => void;
}

/** Name of the call that orders a rank through its slot. */
const orderMethod = "order";
/** Name of the call that reads a rank through its slot. */
const readMethod = "read";
/** Time after which an entry that has not told of itself is forgotten, in milliseconds. */
const entryMaxAgeMs = 4000;
/** Time for an order through another slot, in milliseconds. */
const orderTimeoutMs = 350;
/** Time for which an idle connection to another slot is kept, in milliseconds; less than the other one keeps it. */
const slotConnectionIdleMs = 3000;
/** Time between two looks at what a change of the map needs next, in milliseconds. */
const rebalanceIntervalMs = 50;

/** Starts a slot; resolves once it listens. */
export async function startDirectSlot(initial: SlotOptions): Promise<RunningSlot> {
    const options = { ...initial };
    const { internal, engine } = options;
    const makeLogger = createLoggerFactory("beechdock-slot", options.instance, "info");
    const logger = makeLogger(LogPrefix.slot);
    const groupLogger = makeLogger(LogPrefix.group);
    const metrics = createSlotMetrics();
    const now = () => performance.now();
    const localRank = options.createRankClient(engine);
    const planCache = createPlanCache();
    const slotAgent = new Agent({ keepAlive: true, timeout: slotConnectionIdleMs });
    const leaderState = createLeaderState(internal.host, now());
    const entries = new Map<string, number>();
    let pool: ServingPool | undefined;
    let hosts: string[] = [];
    let report: RankReport | undefined;
    let placement: RankPlacement | undefined;
    let lastCounts: { epoch: number; sets: number[][]; } | undefined;
    let heartbeatCount = 0;
    let intervalCount = 0;
    /** Map whose experts the lead has been told. */
    let sentPlacement: RankPlacement | undefined;
    /** Rank beside the slot that led before this one. */
    let lostRank: number | undefined;

    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random: Math.random,
        logger: makeLogger(LogPrefix.config),
        fetchFromPeer: (documentEnd, listEnd) => fetchFromRandomPeer({ documentEnd, listEnd }),
        onDocument: () => updateGroup(),
        onList: () => updateGroup(),
        timing: slotFeedTiming,
        isContinuousReader: () => leaderState.leader === internal.host,
    });
    const updateGroup = () => {
        const upstreams = listUpstreams(feed.state);
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
            // Arms that a freezing lead has just sent would come through on a kept connection; then its own rank alone
            // is not known to be armed, and nobody can let the group go on.
            const agent = order.kind === "arm" ? undefined : slotAgent;
            const call = (packed: RankOrder | DeltaPrepare) =>
                callSlot<SlotOrderResult>(host, orderMethod, { order: packed, epoch }, agent);
            if (order.kind === "prepare") {
                storePlan(planCache, order.version, order.plan);
            }
            const result = await call(packOrder(planCache, order, report?.mapVersion));
            return result.lacksBase === true ? await call(order) : result;
        },
        read: host => host === internal.host ? localRank.readReport() : callSlot<RankReport>(host, readMethod, {}, slotAgent),
        findPlan: version => planCache.plans.get(version),
        getLeaderContext: () => ({ ownRank: report?.rank, lostRank }),
        fetchReport: host => createRemoteRankClient(host).readReport(),
    });
    const callSlot = <T>(host: string, method: string, params: unknown, agent?: Agent) =>
        callPeer<T>({ host, port: internal.port, method, params, timeoutMs: orderTimeoutMs, agent });
    const createRemoteRankClient = (host: string) => {
        const port = listUpstreams(feed.state).find(u => u.host === host && u.pool === pool?.name)?.port ?? engine.port;
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
        groupLogger.info("The rank was given an order.", { order: order.kind, epoch, outcome });
        report = await localRank.readReport().catch(() => undefined);
        return { outcome, report };
    };
    const send = (heartbeat: Heartbeat, host: string) => datagrams.send(encodeHeartbeat(heartbeat), host, internal.port);
    const readLocalRank = async () => {
        const wasOpen = report?.isOpen;
        report = await localRank.readReport();
        if (wasOpen !== undefined && wasOpen !== report.isOpen) {
            groupLogger.warn("The group's state changed.", { isOpen: report.isOpen, epoch: report.epoch });
        }
        if (placement?.version !== report.mapVersion || placement.epoch !== report.epoch) {
            placement = await localRank.readPlacement();
        }
    };
    /** Whether this rank tells its choices in an interval. */
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
        const increases = counts.sets.map((set, index) => set.map((count, expert) => count - previous.sets[index][expert]));
        return increases.some(set => set.some(count => count < 0)) ? undefined : encodeExpertLoads(increases);
    };
    const sendState = async () => {
        intervalCount += 1;
        let expertLoads: string | undefined;
        let areLoadsDue = false;
        try {
            await readLocalRank();
            areLoadsDue = isLoadDue(intervalCount);
            const experts = pool?.engine?.experts;
            // Only the choices since the interval before are told; older ones would hide a change of the demand.
            if (experts !== undefined && report?.isOpen === true && (areLoadsDue || isLoadDue(intervalCount + 1))) {
                const increases = await readExpertLoads(experts);
                expertLoads = areLoadsDue ? increases : undefined;
            }
        }
        catch (error) {
            if (report !== undefined) {
                groupLogger.warn("The rank does not answer.", { error: (error as Error).message });
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
        const state: RankHeartbeat = {
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
            lostRank = listUpstreams(feed.state).find(u => u.host === previousLeader && u.pool === pool?.name)?.rank;
            groupLogger.info("This slot leads.", { before: previousLeader, lostRank });
        }
        if (isLeader) {
            rebalancer.recordState(state);
        }
        else if (leaderState.leader !== undefined) {
            send(state, leaderState.leader);
        }
        const successor = findSuccessor(leaderState, hosts);
        if (successor === internal.host) {
            rebalancer.recordState(state);
        }
        else if (successor !== undefined) {
            send({ ...state, choices: undefined }, successor);
        }
    };
    const sendLeaderHeartbeat = () => {
        if (pool === undefined || leaderState.leader !== internal.host) {
            return;
        }
        heartbeatCount += 1;
        entries.forEach((heardAt, host) => now() - heardAt > entryMaxAgeMs && entries.delete(host));
        const heartbeat = {
            kind: "vector" as const,
            from: internal.host,
            pool: pool.name,
            ...rebalancer.summarize(),
            entryCount: entries.size,
            positions: computeLogPositions(feed, now()),
        };
        const bytes = encodeHeartbeat(heartbeat);
        const slotBytes = heartbeatCount % heartbeatsPerEntryList === 0 ?
            encodeHeartbeat({ ...heartbeat, ranks: "", entries: [...entries.keys()] }) :
            encodeHeartbeat({ ...heartbeat, ranks: "" });
        const bursts = splitIntoBursts([
            ...[...entries.keys()].map(host => ({ host, bytes })),
            ...listOtherHosts().map(host => ({ host, bytes: slotBytes })),
        ]);
        for (const { delayMs, datagrams: list } of bursts) {
            setTimeout(() => list.forEach(({ host, bytes }) => datagrams.send(bytes, host, internal.port)), delayMs);
        }
    };
    const heartbeatHandlers: { [K in Heartbeat["kind"]]: (beacon: Extract<Heartbeat, { kind: K; }>) => void; } = {
        state: heartbeat => rebalancer.recordState(heartbeat),
        vector: heartbeat => {
            handleLeaderHeartbeat(leaderState, heartbeat.from, hosts, now());
            heartbeat.entries?.forEach(host => entries.set(host, Math.max(entries.get(host) ?? 0, now())));
        },
        presence: heartbeat => {
            entries.set(heartbeat.host, now());
            if (leaderState.leader !== undefined && leaderState.leader !== internal.host) {
                send(heartbeat, leaderState.leader);
            }
        },
    };
    const datagrams = await bindHeartbeatSocket(
        internal,
        feed,
        metrics.sendFailures,
        heartbeat => heartbeatHandlers[heartbeat.kind](heartbeat as never),
    );
    const server = createServer(createInternalHandler(feed, metrics.registry, {
        [readMethod]: () => localRank.readReport(),
        [orderMethod]: ({ order, epoch }: { order: RankOrder | DeltaPrepare; epoch: number; }) =>
            orderLocalRank(order, epoch),
    }));
    await listenOn(server, internal.host, internal.port);
    feed.start();
    logger.info("The slot listens.", { engine: `${engine.host}:${engine.port}` });
    let isSendingState = false;
    const timers = [
        setInterval(() => {
            if (!isSendingState) {
                isSendingState = true;
                void sendState().finally(() => isSendingState = false);
            }
        }, heartbeatIntervalMs),
        setInterval(sendLeaderHeartbeat, heartbeatIntervalMs),
        setInterval(() => {
            if (leaderState.leader === internal.host) {
                rebalancer.advance(hosts, pool?.engine?.experts);
            }
        }, rebalanceIntervalMs),
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

/** Hosts of slots in the order in which they lead; the lock's rank comes last, so that the lead and the lock differ. */
function sortSlots(upstreams: UpstreamRecord[]): string[] {
    const getWeight = (u: UpstreamRecord) => Number(u.rank === lockRank);
    const sorted = [...upstreams].sort((a, b) => getWeight(a) - getWeight(b) || (a.host < b.host ? -1 : 1));
    return sorted.map(({ host }) => host);
}
