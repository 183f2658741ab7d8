/** Wires an entry of the direct path: document and list from the log, the callers' server, readiness, metrics. */
import { createServer } from "node:http";
import { buildServingIndex, type ServingIndex } from "../config/serving.js";
import type { ServingDocument } from "../config/serving.js";
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createLogRateLimiter } from "../observe/logRateLimiter.js";
import { createServingMetrics } from "../observe/servingMetrics.js";
import { createFeed, type FeedSource } from "../peers/feed.js";
import { encodeHeartbeat, type LeaderHeartbeat, unpackRankLoads } from "../peers/heartbeat.js";
import { listUpstreams, type MirrorDecoders } from "../peers/mirror.js";
import { entryFeedTiming } from "../peers/pacing.js";
import { estimateServiceMs } from "../routing/engineLatency.js";
import { createGroupTracker, isGroupOpen, markGroupBroken, updateGroupState } from "../routing/groupTracker.js";
import { createUpstreamTracker, findRanks, setUpstreams, updateLoad } from "../routing/upstreamTracker.js";
import {
    acquireRetry,
    createWindowedRetryBudget,
    recordRequest,
    type WindowedRetryBudget,
    type WindowedRetryBudgetSettings,
} from "../routing/windowedRetryBudget.js";
import { type Address, listenOn } from "../wire/listen.js";
import type { DirectContext } from "./context.js";
import { bindHeartbeatSocket, createInternalHandler, createSettingsHandlers, fetchHandOver } from "./peerLink.js";
import { computeLogPositions, pickPeer } from "./logPositions.js";
import { createScheduler } from "./scheduler.js";
import { sendEmptyResponse, applyLimits, createDirectServer } from "./server.js";
import type { DirectRequest, HeadCodec } from "./types.js";

export interface DirectEntryOptions {
    instance: string;
    dataCentre: string;
    callers: Address;
    readiness: Address;
    internal: Address;
    /** Where processes that know nobody yet ask. */
    control?: Address;
    /** Control addresses of other entries. */
    seeds: Address[];
    /** Time between the order to stop and the kill, in milliseconds. */
    graceMs: number;
    retries: WindowedRetryBudgetSettings;
    source: FeedSource;
    codec: HeadCodec;
    decoders: MirrorDecoders<ServingDocument>;
}

/** Settings that may change while the entry runs. */
export type ReloadableEntrySettings = Pick<DirectEntryOptions, "seeds" | "graceMs" | "retries">;

export interface RunningEntry {
    stop: () => Promise<void>;
    applySettings: (changes: ReloadableEntrySettings) => void;
    handleInvalidSettings: (error: Error) => void;
}

/** Time for which callers' new connections still come after readiness is denied, in milliseconds: two questions, a second apart. */
const balancerLagMs = 3200;
/** Part of the grace in which requests are finished; the rest is for the end of the process. */
const drainShare = 0.95;
/** Time between two looks whether all requests are finished, in milliseconds. */
const drainPollMs = 50;
/** Urgencies that upstreams know, the least urgent one last. */
const lowestUrgency = 9;
/** Longest part of a caller's time that it stays away when told to. */
const maxRetryAfterShare = 1 / 3;
/** Least part of the longest stay away: a broken group is back in seconds, a full one sooner. */
const minBrokenGroupShare = 0.9;
const minFullPoolShare = 0.5;

/** Time without any part of a stream after which a pool's group counts as stalled, in milliseconds; several passes. */
const stallAfterMs = 500;
/** Entries that are taken to share the retry budget before the lead has counted them. */
const initialEntryCount = 32;
/** Time between two tellings of this entry's presence, in milliseconds; the lead forgets it after four. */
const presenceIntervalMs = 1000;
/** Slots that are told while no lead is heard. */
const presenceFanout = 3;
/** Silence after which the lead counts as gone, in milliseconds; five vectors. */
const leaderTimeoutMs = 1000;
/** Part of the hand-overs that are asked of the lead, which reads the log all the time; it may be cut off, too. */
const leaderFetchShare = 0.5;

/** Starts an entry; resolves once it listens. */
export async function startDirectEntry(initial: DirectEntryOptions): Promise<RunningEntry> {
    const options = { ...initial };
    const makeLogger = createLoggerFactory("beechdock-entry", options.instance, "info");
    const logger = makeLogger(LogPrefix.entry);
    const peersLogger = makeLogger(LogPrefix.peers);
    const metrics = createServingMetrics();
    const logRateLimiter = createLogRateLimiter();
    const now = () => performance.now();
    const random = Math.random;
    const upstreamTracker = createUpstreamTracker();
    const groupTracker = createGroupTracker();
    const retryBudgets = new Map<string, WindowedRetryBudget>();
    /** Time of the newest part of a stream, by pool. */
    const lastProgressAt = new Map<string, number>();
    let index: ServingIndex | undefined;
    let isStopping = false;
    /** Entries that share the retry budget, as the lead counts them. */
    let entryCount = initialEntryCount;
    let leader: { host: string; heardAt: number; } | undefined;

    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random,
        logger: makeLogger(LogPrefix.config),
        fetchFromPeer: async (documentEnd, listEnd) => {
            const slots = listSlotHosts().map(host => ({ host, port: options.internal.port }));
            const isLeaderChosen = hasRecentLeader() && random() < leaderFetchShare;
            const peer = isLeaderChosen ?
                { host: leader!.host, port: options.internal.port } :
                pickPeer([...slots, ...options.seeds], random);
            return await fetchHandOver(peer, { documentEnd, listEnd });
        },
        onDocument: document => {
            index = buildServingIndex(document);
            metrics.revision.set(document.revision);
            applyLimits(server, index);
        },
        onList: () => {
            const upstreams = listUpstreams(feed.state);
            setUpstreams(upstreamTracker, upstreams);
            metrics.upstreams.set(upstreams.length);
            scheduler.dispatchPending();
        },
        timing: entryFeedTiming,
        isContinuousReader: () => false,
    });
    const hasRecentLeader = () => leader !== undefined && now() - leader.heardAt < leaderTimeoutMs;
    const listSlotHosts = () => {
        const upstreams = [...upstreamTracker.upstreams.values()].map(({ record }) => record);
        return upstreams.filter(({ pool }) => index?.pools.get(pool)?.engine?.experts !== undefined).map(({ host }) =>
            host
        );
    };
    const scheduler = createScheduler({
        upstreamTracker: upstreamTracker,
        groupTracker: groupTracker,
        dataCentre: options.dataCentre,
        now,
        random,
        findPool: name => index?.pools.get(name),
    });
    const getRetryBudget = (pool: string) => {
        const budget = retryBudgets.get(pool) ?? createWindowedRetryBudget(options.retries);
        retryBudgets.set(pool, budget);
        return budget;
    };
    const findEngine = (request: DirectRequest) => index?.pools.get(request.pool)?.engine;
    const context: DirectContext = {
        codec: options.codec,
        upstreamTracker: upstreamTracker,
        scheduler,
        now,
        recordFirstAttempt: request => recordRequest(getRetryBudget(request.pool), now()),
        acquireRetry: (request, at) => {
            const isAllowed = acquireRetry(getRetryBudget(request.pool), entryCount, at);
            if (!isAllowed) {
                metrics.retriesRefused.inc();
            }
            return isAllowed;
        },
        updateLoad: (upstream, { running, waiting }) =>
            updateLoad(upstreamTracker, upstream, { running, waiting, observedAt: now() }),
        recordStreamProgress: pool => lastProgressAt.set(pool, now()),
        isPoolStalled: pool => now() - (lastProgressAt.get(pool) ?? -Infinity) > stallAfterMs,
        markGroupBroken: pool => markGroupBroken(groupTracker, pool, now()),
        estimateServiceMs: request => {
            const engine = findEngine(request);
            if (engine === undefined) {
                return 0;
            }
            const { promptTokens, maxOutputTokens: maxAnswerTokens, expectedOutputTokens: answerHint } = request.head;
            return estimateServiceMs(engine, {
                promptTokens: promptTokens ?? engine.typicalPromptTokens,
                answerTokens: Math.min(maxAnswerTokens ?? Infinity, answerHint ?? engine.typicalOutputTokens),
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
            const isBroken = !isGroupOpen(groupTracker, request.pool, now());
            const minShare = isBroken ? minBrokenGroupShare : minFullPoolShare;
            const maxRetryAfterMs = Math.max(0, request.deadlineAt - now()) * maxRetryAfterShare;
            return maxRetryAfterMs * (minShare + random() * (1 - minShare));
        },
        sendRefusal: (response, retryAfterMs) => {
            metrics.refusals.inc();
            sendEmptyResponse(response, 503, ["Retry-After", (retryAfterMs / 1000).toFixed(3)]);
        },
        sendFailure: (response, status) => sendEmptyResponse(response, status, []),
        logRequest: (request, outcome, attempts) => {
            const ms = Math.round(now() - request.receivedAt);
            metrics.requests.inc({ outcome: outcome.split(",")[0] });
            metrics.responseSeconds.observe(ms / 1000);
            attempts.forEach(({ end }) => metrics.attempts.inc({ end: end?.split(":")[0] ?? "open" }));
            if (!logRateLimiter.admit(now())) {
                metrics.logLinesDropped.inc();
                return;
            }
            logger.info("A request is over.", {
                requestId: request.id,
                route: request.route.name,
                pool: request.pool,
                revision: index?.document.revision,
                outcome,
                ms,
                attempts,
            });
        },
    };
    const { server, countInFlight } = createDirectServer({
        context,
        getIndex: () => index,
        isStopping: () => isStopping,
        random,
    });
    const isReady = () => !isStopping && index !== undefined && upstreamTracker.upstreams.size > 0;
    const readiness = createServer((message, response) => sendEmptyResponse(response, isReady() ? 200 : 503, []));
    const handlePeer = createInternalHandler(feed, metrics.registry);
    const internal = createServer(handlePeer);
    const control = createServer(handlePeer);
    const handleLeaderHeartbeat = (heartbeat: LeaderHeartbeat) => {
        leader = { host: heartbeat.from, heardAt: now() };
        entryCount = Math.max(1, heartbeat.entryCount);
        const wasOpen = isGroupOpen(groupTracker, heartbeat.pool, now());
        updateGroupState(groupTracker, heartbeat.pool, { isOpen: heartbeat.isOpen, epoch: heartbeat.epoch, observedAt: now() });
        const isOpen = isGroupOpen(groupTracker, heartbeat.pool, now());
        if (wasOpen !== isOpen) {
            peersLogger.warn("A group's state changed.", { pool: heartbeat.pool, isOpen, epoch: heartbeat.epoch });
        }
        const byRank = findRanks(upstreamTracker, heartbeat.pool);
        for (const { rank, running, waiting, ageMs } of unpackRankLoads(heartbeat.ranks)) {
            const id = byRank.get(rank);
            if (id !== undefined) {
                updateLoad(upstreamTracker, id, { running, waiting, observedAt: now() - ageMs });
            }
        }
        scheduler.updateCapacity(heartbeat.pool, entryCount);
    };
    const sendPresence = () => {
        const leaderHosts = hasRecentLeader() ? [leader!.host] : undefined;
        const hosts = listSlotHosts();
        const receivers = leaderHosts ?? Array.from({ length: presenceFanout }, () => pickPeer(hosts, random));
        const presence = encodeHeartbeat({
            kind: "presence",
            host: options.internal.host,
            positions: computeLogPositions(feed, now()),
        });
        receivers.forEach(host => host !== undefined && datagrams.send(presence, host, options.internal.port));
    };
    const datagrams = await bindHeartbeatSocket(options.internal, feed, metrics.sendFailures, heartbeat => {
        if (heartbeat.kind === "vector") {
            handleLeaderHeartbeat(heartbeat);
        }
    });
    await listenOn(server, options.callers.host, options.callers.port);
    await listenOn(readiness, options.readiness.host, options.readiness.port);
    await listenOn(internal, options.internal.host, options.internal.port);
    if (options.control !== undefined) {
        await listenOn(control, options.control.host, options.control.port);
    }
    feed.start();
    setInterval(sendPresence, presenceIntervalMs);
    logger.info("The entry listens.", { port: options.callers.port });

    const { applySettings, handleInvalidSettings: handleInvalidSettings } = createSettingsHandlers(options, logger);
    return {
        applySettings: changes => {
            applySettings(changes);
            retryBudgets.forEach(window => window.settings = changes.retries);
        },
        handleInvalidSettings: handleInvalidSettings,
        stop: async () => {
            isStopping = true;
            const startedAt = now();
            logger.info("The entry is leaving.", { inFlight: countInFlight() });
            await waitFor(balancerLagMs);
            // A request that is taken later might not be finished within the grace.
            server.close();
            server.closeIdleConnections();
            while (countInFlight() > 0 && now() - startedAt < options.graceMs * drainShare) {
                await waitFor(drainPollMs);
                server.closeIdleConnections();
            }
            logger.info("The entry has stopped.", { inFlight: countInFlight() });
        },
    };
}

function waitFor(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}
