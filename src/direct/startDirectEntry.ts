/**
 * Starts an entry of the direct path, an ingress proxy that sends requests straight to upstreams: the feed that mirrors
 * the configuration document and the instance list, the server for callers, readiness and metrics.
 */
import { createServer } from "node:http";
import { buildServingIndex, type ServingIndex } from "../config/serving.js";
import type { ServingDocument } from "../config/serving.js";
import { createDirectEntryMetrics } from "../observe/directMetrics.js";
import { containFaults } from "../observe/faults.js";
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createFeed, type FeedSource, FeedTopic } from "../peers/feed.js";
import { createHandOverParams } from "../peers/handOver.js";
import { encodeDatagram, type LeaderHeartbeat, unpackRankLoads } from "../peers/heartbeat.js";
import { isQuarantineDeleted, isQuarantineLost, listUpstreams, type MirrorDecoders } from "../peers/mirror.js";
import { entryFeedTiming } from "../peers/pacing.js";
import { estimateServiceMs } from "../routing/engineLatency.js";
import {
    createGroupTracker,
    estimateOpenAt,
    isGroupOpen,
    markGroupBroken,
    updateGroupState,
} from "../routing/groupTracker.js";
import { computePauseReturnMs, computeRetryAfterMs } from "../routing/retryAfter.js";
import { updateListed } from "../routing/upstreamNotices.js";
import {
    createUpstreamTracker,
    estimatePoolReturnMs,
    estimateSendableAt,
    setUpstreams,
    updateLoad,
    updateRankLoads,
} from "../routing/upstreamTracker.js";
import {
    acquireRetry,
    createWindowedRetryBudget,
    recordRequest,
    type WindowedRetryBudget,
    type WindowedRetryBudgetSettings,
} from "../routing/windowedRetryBudget.js";
import { createCallerLimits } from "../wire/callerLimits.js";
import { type Address, listenOn } from "../wire/listen.js";
import type { MachineLimits } from "../wire/machineLimits.js";
import { callTimeouts } from "../wire/receiveCall.js";
import type { DirectContext } from "./context.js";
import { type Drain, startDrain } from "./drainServer.js";
import { computeLogPositions, pickPeer } from "./logPositions.js";
import { createNoticeRecorder } from "./noticeRecorder.js";
import { createOwnResponses, sendEmptyResponse } from "./ownResponses.js";
import {
    bindDatagrams,
    createInternalHandler,
    createSettingsHandlers,
    fetchHandOver,
    fetchPendingQuarantine,
    parsePendingRecords,
    quarantineMethod,
    relayQuarantine,
} from "./peerLink.js";
import { collectPendingRecords } from "./pendingCollection.js";
import { createPresenceTracker } from "./presenceTracker.js";
import type { PendingRecord } from "./quarantineSharing.js";
import { createRateLimiter, type RateLimiter } from "./rateLimiter.js";
import { createRequestLog } from "./requestLog.js";
import { createRequestQuarantine } from "./requestQuarantine.js";
import { createScheduler, type DirectScheduler } from "./scheduler.js";
import { applyLimits, createDirectServer } from "./server.js";
import { createSilenceLog } from "./silenceLog.js";
import type { DirectRequest, HeadCodec } from "./types.js";

export interface DirectEntryOptions {
    instance: string;
    dataCentre: string;
    /** Address for callers' requests. */
    callers: Address;
    /** Address for readiness checks. */
    readiness: Address;
    /** Address for heartbeats and calls of other processes. */
    internal: Address;
    /** Address at which processes that have no instance list yet fetch it. */
    control?: Address;
    /** Control addresses of other entries. */
    seeds: Address[];
    /** Time from the signal to stop until the process is killed, in milliseconds; see `StopBounds`. */
    graceMs: number;
    lastExcusedMs: number;
    /** Time for which callers may still send requests after an upstream has said that it leaves, in milliseconds. */
    drainMs: number;
    retries: WindowedRetryBudgetSettings;
    machine: MachineLimits;
    source: FeedSource & { appendQuarantine: (records: PendingRecord[]) => Promise<number>; };
    codec: HeadCodec;
    decoders: MirrorDecoders<ServingDocument>;
}

/** Settings that may change while the entry runs. */
export type ReloadableEntrySettings = Pick<DirectEntryOptions, "seeds" | "graceMs" | "retries">;

export interface RunningEntry {
    /** Drains the entry; resolves when all requests are finished or the grace period is nearly over. */
    stop: () => Promise<void>;
    applySettings: (changes: ReloadableEntrySettings) => void;
    /** Logs that reloaded settings are invalid; the previous ones stay active. */
    handleInvalidSettings: (error: Error) => void;
}

/** Lowest urgency that upstreams support; 0 is the highest. */
const lowestUrgency = 9;
/** Time without stream data until a pool's group counts as stalled, in milliseconds; several steps of the group. */
const stallAfterMs = 500;
/** Number of entries assumed to share the retry budget until the leader has sent the actual number. */
const initialEntryCount = 32;
/** Interval of the presence heartbeats, in milliseconds; the leader removes an entry after four missed ones. */
const presenceIntervalMs = 1000;
/** Number of random slots that receive presence heartbeats while there is no leader. */
const presenceFanout = 3;
/** Time without a presence heartbeat after which a seed drops an entry, in milliseconds; each one goes to one seed. */
const presenceMaxAgeMs = 10_000;
/** Time without a heartbeat after which the leader counts as lost, in milliseconds; five heartbeat intervals. */
const leaderTimeoutMs = 1000;
/**
 * Share of the hand-overs that are fetched from the leader, which reads the log continuously; not all of them, because
 * the leader may be cut off from the log.
 */
const leaderFetchShare = 0.5;

/**
 * Time after the start for which requests with shared prompt parts wait for the quarantine, in milliseconds; longer than a
 * read of the log with retries and hand-overs takes.
 */
const maxQuarantineWaitMs = 5000;

/** Starts an entry; resolves once it listens on all its addresses. */
export async function startDirectEntry(initial: DirectEntryOptions): Promise<RunningEntry> {
    const options = { ...initial };
    const createLogger = createLoggerFactory("beechdock-entry", options.instance, "info");
    const logger = createLogger(LogPrefix.entry);
    const peersLogger = createLogger(LogPrefix.peers);
    const metrics = createDirectEntryMetrics();
    const now = () => performance.now();
    const startedAt = now();
    const random = Math.random;
    const limits = createCallerLimits(options.machine, now, { ...metrics, prefix: "beechdock_direct" });
    const upstreamTracker = createUpstreamTracker();
    const groupTracker = createGroupTracker();
    const retryBudgets = new Map<string, WindowedRetryBudget>();
    /** Time of the latest stream data, by pool, in milliseconds. */
    const lastProgressAt = new Map<string, number>();
    let index: ServingIndex | undefined;
    let drain: Drain | undefined;
    /** Number of entries that share the retry budget, as last sent by a leader. */
    let entryCount = initialEntryCount;
    let leader: { host: string; lastHeartbeatAt: number; } | undefined;
    /** Whether peers have been asked for the quarantine records that the log has not accepted. */
    let hasCollectedPending = false;

    const requestLog = createRequestLog({ logger, metrics, now, getRevision: () => index?.document.revision });
    const { reportFault } = requestLog;
    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random,
        logger: createLogger(LogPrefix.config),
        reportFault,
        fetchFromPeer: async (documentEnd, listEnd, quarantineEnd) => {
            const slots = listSlotHosts().map(host => ({ host, port: options.internal.port }));
            const isLeaderChosen = hasRecentLeader() && random() < leaderFetchShare;
            const peer = isLeaderChosen ?
                { host: leader!.host, port: options.internal.port } :
                pickPeer([...slots, ...options.seeds], random);
            const handOver = await fetchHandOver(peer, createHandOverParams(documentEnd, listEnd, quarantineEnd));
            quarantine.acceptRecords(handOver?.pendingQuarantine ?? []);
            return handOver;
        },
        onDocument: document => {
            index = buildServingIndex(document);
            metrics.revision.set(document.revision);
            applyLimits(server, index);
            updateUpstreams();
        },
        onList: () => updateUpstreams(),
        onQuarantine: records => quarantine.applyRecords(records),
        onQuarantineLost: records => quarantine.restoreRecords(records, key => isQuarantineLost(feed.state, key)),
        onEra: era => {
            metrics.logEra.set(era);
            metrics.logEraChanges.inc();
        },
        timing: entryFeedTiming,
        // Without a leader no heartbeat tells of new reports, and reading late lets more upstreams crash.
        isContinuousReader: topic => topic === FeedTopic.quarantine && quarantine.isAlert() && !hasRecentLeader(),
        onRead: (topic, reason, outcome) => metrics.logReads.inc({ topic, reason, outcome }),
    });
    const updateUpstreams = () => {
        // A pool that the document does not name has no upstreams: its record must not replace one at the same address.
        const upstreams = listUpstreams(feed.state, name => index?.pools.has(name) ?? true);
        setUpstreams(upstreamTracker, upstreams);
        updateListed(upstreamTracker.notices, upstreamTracker.upstreams, now());
        metrics.upstreams.set(upstreams.length);
        scheduler.dispatchPending();
    };
    const quarantine = createRequestQuarantine({
        instance: options.instance,
        now,
        random,
        logger,
        append: records => options.source.appendQuarantine(records),
        relay: records => relayQuarantine([...listOtherSeeds(), ...listPresentEntries()], records),
        isDeleted: key => isQuarantineDeleted(feed.state, key),
        onCrash: () => metrics.upstreamCrashes.inc(),
        reportFault,
        onChange: quarantined => {
            metrics.quarantinedParts.set(quarantined.length);
            scheduler.dispatchPending();
        },
    });
    const presenceTracker = createPresenceTracker(presenceMaxAgeMs, now);
    const listPresentEntries = () => presenceTracker.list().map(host => ({ host, port: options.internal.port }));
    const listOtherSeeds = () => options.seeds.filter(({ host }) => host !== options.internal.host);
    const hasQuarantineWaitExpired = () => now() - startedAt > maxQuarantineWaitMs;
    const hasRecentLeader = () => leader !== undefined && now() - leader.lastHeartbeatAt < leaderTimeoutMs;
    const listSlotHosts = () => {
        const upstreams = [...upstreamTracker.upstreams.values()].map(({ record }) => record);
        return upstreams.filter(({ pool }) => index?.pools.get(pool)?.engine?.experts !== undefined).map(({ host }) =>
            host
        );
    };
    const rateLimiter: RateLimiter = createRateLimiter({
        host: options.internal.host,
        now,
        random,
        logger: peersLogger,
        upstreamTracker,
        listSeeds: () => options.seeds.map(({ host }) => host),
        listWaiting: pool => scheduler.listWaiting(pool),
        send: (message, host) => datagrams.send(encodeDatagram(message), host, options.internal.port),
        onPermits: () => scheduler.dispatchPending(),
        onLimitsChanged: count => metrics.rateLimitedUpstreams.set(count),
        reportFault,
    });
    const noticeRecorder = createNoticeRecorder({ logger: peersLogger, metrics, upstreamTracker, now, random });
    const silenceLog = createSilenceLog({ logger: peersLogger, metrics, upstreamTracker });
    const scheduler: DirectScheduler = createScheduler({
        upstreamTracker,
        drainMs: options.drainMs,
        noticeRecorder,
        reportFault,
        groupTracker,
        dataCentre: options.dataCentre,
        now,
        random,
        findPool: name => index?.pools.get(name),
        hasUpstreamRoom: limits.guard.hasUpstreamRoom,
        rateLimiter,
    });
    const getRetryBudget = (pool: string) => {
        const budget = retryBudgets.get(pool) ?? createWindowedRetryBudget(options.retries);
        retryBudgets.set(pool, budget);
        return budget;
    };
    const findEngine = (request: DirectRequest) => index?.pools.get(request.pool)?.engine;
    const context: DirectContext = {
        codec: options.codec,
        upstreamTracker,
        scheduler,
        connections: limits.guard,
        quarantine,
        isQuarantineKnown: () =>
            (feed.state.quarantineEnd !== undefined && hasCollectedPending) || hasQuarantineWaitExpired(),
        now,
        recordFirstAttempt: request => {
            recordRequest(getRetryBudget(request.pool), now());
            rateLimiter.recordArrival(request.pool, request.workspace?.urgency ?? request.route.urgency);
        },
        acquireRetry: (request, at) => {
            const isAllowed = acquireRetry(getRetryBudget(request.pool), entryCount, at);
            if (!isAllowed) {
                metrics.retriesRefused.inc();
            }
            return isAllowed;
        },
        updateLoad: (upstream, { running, waiting }) =>
            updateLoad(upstreamTracker, upstream, { running, waiting, observedAt: now() }),
        observeRateLimit: rateLimiter.observeResponse,
        observeNotices: noticeRecorder.observe,
        recordStreamProgress: pool => lastProgressAt.set(pool, now()),
        isStopping: () => drain !== undefined,
        isPoolStalled: pool => now() - (lastProgressAt.get(pool) ?? -Infinity) > stallAfterMs,
        markGroupBroken: pool => markGroupBroken(groupTracker, pool, now()),
        estimateServiceMs: request => {
            const engine = findEngine(request);
            if (engine === undefined) {
                return 0;
            }
            const { promptTokens, maxOutputTokens, expectedOutputTokens } = request.head;
            return estimateServiceMs(engine, {
                promptTokens: promptTokens ?? engine.typicalPromptTokens,
                outputTokens: Math.min(maxOutputTokens ?? Infinity, expectedOutputTokens ?? engine.typicalOutputTokens),
            }, engine.slots);
        },
        computeUrgency: (request, at) => {
            if (findEngine(request) === undefined) {
                return undefined;
            }
            const isPastTarget = at > request.receivedAt + request.route.targetMs;
            return isPastTarget ?
                lowestUrgency :
                Math.min(lowestUrgency - 1, request.workspace?.urgency ?? request.route.urgency);
        },
        computeRetryAfterMs: request => {
            if (rateLimiter.isPoolLimited(request.pool)) {
                return rateLimiter.computeReturnMs(request.pool);
            }
            const { pool, receivedAt } = request;
            const leaving = { receivedAt, drainMs: options.drainMs };
            const sendableInMs = estimateSendableAt(upstreamTracker, pool, now(), leaving) - now();
            if (sendableInMs > 0 && sendableInMs < Infinity) {
                return computePauseReturnMs(sendableInMs, random());
            }
            const returnInMs = estimatePoolReturnMs(upstreamTracker, pool, now());
            if (returnInMs > 0) {
                return computePauseReturnMs(returnInMs, random());
            }
            const openAt = estimateOpenAt(groupTracker, request.pool, now());
            return computeRetryAfterMs({
                leftMs: request.deadlineAt - now(),
                isGroupBroken: !isGroupOpen(groupTracker, request.pool, now()),
                openInMs: openAt === undefined ? undefined : openAt - now(),
            }, random());
        },
        ...createOwnResponses(metrics),
        ...requestLog,
    };
    const directServer = createDirectServer({
        context,
        limits,
        getIndex: () => index,
        isStopping: () => drain !== undefined,
        isTaken: deadlineAt => drain?.isTaken(deadlineAt) ?? true,
        random,
    });
    const { server } = directServer;
    const isReady = () => drain === undefined && index !== undefined && upstreamTracker.upstreams.size > 0;
    const readiness = createServer(
        callTimeouts,
        (message, response) => sendEmptyResponse(response, isReady() ? 200 : 503, []),
    );
    const handleInternalRequest = createInternalHandler(feed, metrics.registry, {
        [quarantineMethod]: (params: unknown) => {
            quarantine.acceptRecords(parsePendingRecords(params));
            return true;
        },
    }, { memory: limits.memory, listPending: quarantine.listPending });
    const internal = createServer(callTimeouts, handleInternalRequest);
    const control = createServer(callTimeouts, handleInternalRequest);
    [readiness, internal, control].forEach(limits.guard.watch);
    const applyLeaderHeartbeat = (heartbeat: LeaderHeartbeat, delayMs: number) => {
        leader = { host: heartbeat.from, lastHeartbeatAt: now() };
        entryCount = Math.max(1, heartbeat.entryCount);
        const wasOpen = isGroupOpen(groupTracker, heartbeat.pool, now());
        updateGroupState(groupTracker, heartbeat.pool, {
            isOpen: heartbeat.isOpen,
            epoch: heartbeat.epoch,
            observedAt: now() - delayMs,
        });
        const isOpen = isGroupOpen(groupTracker, heartbeat.pool, now());
        if (wasOpen !== isOpen) {
            peersLogger.warn("The state of a group has changed.", {
                pool: heartbeat.pool,
                isOpen,
                epoch: heartbeat.epoch,
            });
        }
        updateRankLoads(upstreamTracker, heartbeat.pool, unpackRankLoads(heartbeat.ranks), now() - delayMs);
        silenceLog.update();
        scheduler.updateCapacity(heartbeat.pool, entryCount);
    };
    const sendPresence = () => {
        const leaderHosts = hasRecentLeader() ? [leader!.host] : undefined;
        const hosts = listSlotHosts();
        const slotHosts = leaderHosts ?? Array.from({ length: presenceFanout }, () => pickPeer(hosts, random));
        // The seeds pass on what the log does not take; other entries do not know of one another.
        const receivers = [...slotHosts, pickPeer(listOtherSeeds(), random)?.host];
        const presence = encodeDatagram({
            kind: "presence",
            host: options.internal.host,
            positions: computeLogPositions(feed, now()),
        });
        receivers.forEach(host => host !== undefined && datagrams.send(presence, host, options.internal.port));
    };
    const datagrams = await bindDatagrams(options.internal, feed, metrics.sendFailures, {
        reportFault,
        onHeartbeat: (heartbeat, delayMs) => {
            if (heartbeat.kind === "vector") {
                applyLeaderHeartbeat(heartbeat, delayMs);
            }
            else if (heartbeat.kind === "presence") {
                presenceTracker.record(heartbeat.host);
                rateLimiter.handlePresence(heartbeat.host);
            }
        },
        onPermitMessage: rateLimiter.receive,
    });
    await listenOn(server, options.callers.host, options.callers.port);
    await listenOn(readiness, options.readiness.host, options.readiness.port);
    await listenOn(internal, options.internal.host, options.internal.port);
    if (options.control !== undefined) {
        await listenOn(control, options.control.host, options.control.port);
    }
    feed.start();
    const collectPending = containFaults(reportFault, async () => {
        await collectPendingRecords({
            peers: listOtherSeeds(),
            fetchPending: fetchPendingQuarantine,
            accept: quarantine.acceptRecords,
            isExpired: hasQuarantineWaitExpired,
        });
        hasCollectedPending = true;
    });
    collectPending();
    const announcePresence = containFaults(reportFault, sendPresence);
    announcePresence();
    setInterval(announcePresence, presenceIntervalMs);
    logger.info("The entry listens.", { port: options.callers.port });

    const { applySettings, handleInvalidSettings } = createSettingsHandlers(options, logger);
    return {
        applySettings: changes => {
            applySettings(changes);
            retryBudgets.forEach(budget => budget.settings = changes.retries);
        },
        handleInvalidSettings,
        stop: async () => {
            logger.info("The entry is leaving.", { inFlight: directServer.countInFlight() });
            drain = startDrain(directServer, options, now);
            await drain.finished;
            logger.info("The entry has stopped.", { inFlight: directServer.countInFlight() });
        },
    };
}
