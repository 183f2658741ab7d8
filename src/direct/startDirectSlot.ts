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
import { computePositions, pickPeer } from "./logPositions.js";
import { bindBeacons, createInternalHandler, createSettingsHandlers, fetchHandOver } from "./peerLink.js";

export interface SlotOptions {
    instance: string;
    dataCentre: string;
    internal: Address;
    seeds: Address[];
    /** Engine beside this slot. */
    engine: Address;
    source: FeedSource;
    decoders: MirrorDecoders<ServingDocument>;
    createRankPort: (address: Address) => RankClient;
}

/** What a slot answers to an order. */
interface SlotOrderResult extends OrderResult {
    /** Whether the slot does not remember the map that a prepare stands on. */
    lacksBase?: boolean;
}

/** Settings that may change while the slot runs. */
export type SlotChanges = Pick<SlotOptions, "seeds">;

export interface RunningSlot {
    stop: () => Promise<void>;
    applySettings: (changes: SlotChanges) => void;
    noteBadSettings: (error: Error) => void;
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
const slotIdleMs = 3000;
/** Time between two looks at what a change of the map needs next, in milliseconds. */
const changeTickMs = 50;

/** Starts a slot; resolves once it listens. */
export async function startDirectSlot(initial: SlotOptions): Promise<RunningSlot> {
    const options = { ...initial };
    const { internal, engine } = options;
    const makeLogger = createLoggerFactory("beechdock-slot", options.instance, "info");
    const logger = makeLogger(LogPrefix.slot);
    const groupLogger = makeLogger(LogPrefix.group);
    const metrics = createSlotMetrics();
    const now = () => performance.now();
    const own = options.createRankPort(engine);
    const plans = createPlanCache();
    const slotAgent = new Agent({ keepAlive: true, timeout: slotIdleMs });
    const lead = createLeaderState(internal.host, now());
    const entries = new Map<string, number>();
    let pool: ServingPool | undefined;
    let hosts: string[] = [];
    let report: RankReport | undefined;
    let placement: RankPlacement | undefined;
    let lastCounts: { epoch: number; sets: number[][]; } | undefined;
    let vectors = 0;
    let intervals = 0;
    /** Map whose experts the lead has been told. */
    let toldPlacement: RankPlacement | undefined;
    /** Rank beside the slot that led before this one. */
    let lostRank: number | undefined;

    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random: Math.random,
        logger: makeLogger(LogPrefix.config),
        fetchFromPeer: (documentEnd, listEnd) => askPeer({ documentEnd, listEnd }),
        onDocument: () => updateGroup(),
        onList: () => updateGroup(),
        timing: slotFeedTiming,
        isContinuousReader: () => lead.leader === internal.host,
    });
    const updateGroup = () => {
        const upstreams = listUpstreams(feed.state);
        const beside = upstreams.find(u => u.host === engine.host && u.port === engine.port);
        pool = feed.state.document?.pools.find(({ name }) => name === (beside?.pool ?? pool?.name));
        hosts = orderSlots(upstreams.filter(u => u.pool === pool?.name));
    };
    const askPeer = (params: HandOverParams) => {
        const others = listOthers().map(host => ({ host, port: internal.port }));
        return fetchHandOver(pickPeer([...others, ...options.seeds], Math.random), params);
    };
    const listOthers = () => hosts.filter(host => host !== internal.host);
    const changes = createRebalancer({
        now,
        random: Math.random,
        logger: groupLogger,
        metrics,
        order: async (host, order, epoch, isDirect) => {
            if (host === internal.host) {
                return orderOwn(order, epoch);
            }
            if (isDirect) {
                const rank = createRemotePort(host);
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
                storePlan(plans, order.version, order.plan);
            }
            const result = await call(packOrder(plans, order, report?.mapVersion));
            return result.lacksBase === true ? await call(order) : result;
        },
        read: host => host === internal.host ? own.readReport() : callSlot<RankReport>(host, readMethod, {}, slotAgent),
        findPlan: version => plans.plans.get(version),
        getLeaderContext: () => ({ ownRank: report?.rank, lostRank }),
        fetchReport: host => createRemotePort(host).readReport(),
    });
    const callSlot = <T>(host: string, method: string, params: unknown, agent?: Agent) =>
        callPeer<T>({ host, port: internal.port, method, params, timeoutMs: orderTimeoutMs, agent });
    const createRemotePort = (host: string) => {
        const port = listUpstreams(feed.state).find(u => u.host === host && u.pool === pool?.name)?.port ?? engine.port;
        return options.createRankPort({ host, port });
    };
    const orderOwn = async (packed: RankOrder | DeltaPrepare, epoch: number): Promise<SlotOrderResult> => {
        const order = unpackOrder(plans, packed);
        if (order === undefined) {
            return { outcome: OrderOutcome.refused, lacksBase: true };
        }
        if (order.kind === "prepare") {
            storePlan(plans, order.version, order.plan);
        }
        const outcome = await own.order(order, epoch);
        groupLogger.info("The rank was given an order.", { order: order.kind, epoch, outcome });
        report = await own.readReport().catch(() => undefined);
        return { outcome, report };
    };
    const send = (beacon: Heartbeat, host: string) => datagrams.send(encodeHeartbeat(beacon), host, internal.port);
    const readOwn = async () => {
        const wasOpen = report?.isOpen;
        report = await own.readReport();
        if (wasOpen !== undefined && wasOpen !== report.isOpen) {
            groupLogger.warn("The group's state changed.", { isOpen: report.isOpen, epoch: report.epoch });
        }
        if (placement?.version !== report.mapVersion || placement.epoch !== report.epoch) {
            placement = await own.readPlacement();
        }
    };
    /** Whether this rank tells its choices in an interval. */
    const isOnTurn = (interval: number) => {
        const experts = pool?.engine?.experts;
        if (experts === undefined || report === undefined) {
            return false;
        }
        const turns = computeExpertLoadPeriod(report.size, computeEncodedLoadLength(experts.sets, experts.experts));
        return isExpertLoadDue(interval, report.rank, turns);
    };
    const readChoices = async (figures: { sets: number; experts: number; }) => {
        const counts = await own.readCounts(figures);
        const last = lastCounts;
        lastCounts = counts;
        if (last === undefined || last.epoch !== counts.epoch) {
            return undefined;
        }
        const since = counts.sets.map((set, index) => set.map((count, expert) => count - last.sets[index][expert]));
        return since.some(set => set.some(count => count < 0)) ? undefined : encodeExpertLoads(since);
    };
    const tellState = async () => {
        intervals += 1;
        let choices: string | undefined;
        let isTurn = false;
        try {
            await readOwn();
            isTurn = isOnTurn(intervals);
            const experts = pool?.engine?.experts;
            // Only the choices since the interval before are told; older ones would hide a change of the demand.
            if (experts !== undefined && report?.isOpen === true && (isTurn || isOnTurn(intervals + 1))) {
                const since = await readChoices(experts);
                choices = isTurn ? since : undefined;
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
        const isPlaced = report !== undefined && placement?.version === report.mapVersion &&
            placement.epoch === report.epoch;
        const isTold = isPlaced && (placement !== toldPlacement || isTurn);
        toldPlacement = isPlaced ? placement : undefined;
        const state: RankHeartbeat = {
            kind: "state",
            from: internal.host,
            pool: pool.name,
            report,
            experts: isTold ? placement?.experts : undefined,
            choices,
            positions: computePositions(feed, now()),
        };
        if (report?.rank === lockRank && changes.hasOtherActiveSlots(internal.host)) {
            transferLeadership(lead, hosts, now());
        }
        const before = lead.leader;
        const isLead = updateLeadership(lead, hosts, now());
        if (isLead && before !== internal.host) {
            lostRank = listUpstreams(feed.state).find(u => u.host === before && u.pool === pool?.name)?.rank;
            groupLogger.info("This slot leads.", { before, lostRank });
        }
        if (isLead) {
            changes.recordState(state);
        }
        else if (lead.leader !== undefined) {
            send(state, lead.leader);
        }
        const next = findSuccessor(lead, hosts);
        if (next === internal.host) {
            changes.recordState(state);
        }
        else if (next !== undefined) {
            send({ ...state, choices: undefined }, next);
        }
    };
    const tellVector = () => {
        if (pool === undefined || lead.leader !== internal.host) {
            return;
        }
        vectors += 1;
        entries.forEach((heardAt, host) => now() - heardAt > entryMaxAgeMs && entries.delete(host));
        const vector = {
            kind: "vector" as const,
            from: internal.host,
            pool: pool.name,
            ...changes.summarize(),
            entryCount: entries.size,
            positions: computePositions(feed, now()),
        };
        const bytes = encodeHeartbeat(vector);
        const toSlots = vectors % heartbeatsPerEntryList === 0 ?
            encodeHeartbeat({ ...vector, ranks: "", entries: [...entries.keys()] }) :
            encodeHeartbeat({ ...vector, ranks: "" });
        const bursts = splitIntoBursts([
            ...[...entries.keys()].map(host => ({ host, bytes })),
            ...listOthers().map(host => ({ host, bytes: toSlots })),
        ]);
        for (const { delayMs, datagrams: list } of bursts) {
            setTimeout(() => list.forEach(({ host, bytes }) => datagrams.send(bytes, host, internal.port)), delayMs);
        }
    };
    const handlers: { [K in Heartbeat["kind"]]: (beacon: Extract<Heartbeat, { kind: K; }>) => void; } = {
        state: beacon => changes.recordState(beacon),
        vector: beacon => {
            handleLeaderHeartbeat(lead, beacon.from, hosts, now());
            beacon.entries?.forEach(host => entries.set(host, Math.max(entries.get(host) ?? 0, now())));
        },
        presence: beacon => {
            entries.set(beacon.host, now());
            if (lead.leader !== undefined && lead.leader !== internal.host) {
                send(beacon, lead.leader);
            }
        },
    };
    const datagrams = await bindBeacons(
        internal,
        feed,
        metrics.sendFailures,
        beacon => handlers[beacon.kind](beacon as never),
    );
    const server = createServer(createInternalHandler(feed, metrics.registry, {
        [readMethod]: () => own.readReport(),
        [orderMethod]: ({ order, epoch }: { order: RankOrder | DeltaPrepare; epoch: number; }) =>
            orderOwn(order, epoch),
    }));
    await listenOn(server, internal.host, internal.port);
    feed.start();
    logger.info("The slot listens.", { engine: `${engine.host}:${engine.port}` });
    let isTelling = false;
    const timers = [
        setInterval(() => {
            if (!isTelling) {
                isTelling = true;
                void tellState().finally(() => isTelling = false);
            }
        }, heartbeatIntervalMs),
        setInterval(tellVector, heartbeatIntervalMs),
        setInterval(() => {
            if (lead.leader === internal.host) {
                changes.advance(hosts, pool?.engine?.experts);
            }
        }, changeTickMs),
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
function orderSlots(upstreams: UpstreamRecord[]): string[] {
    const weigh = (u: UpstreamRecord) => Number(u.rank === lockRank);
    const sorted = [...upstreams].sort((a, b) => weigh(a) - weigh(b) || (a.host < b.host ? -1 : 1));
    return sorted.map(({ host }) => host);
}
