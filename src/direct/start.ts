/** Wires an entry of the direct path: document and list from the log, the callers' server, readiness, metrics. */
import { createServer, type ServerResponse } from "node:http";
import { buildServingIndex, type ServingIndex } from "../config/serving.js";
import { createLineLimit } from "../observe/lineLimit.js";
import { createLoggers, Prefix } from "../observe/logger.js";
import { createServingMetrics } from "../observe/servingMetrics.js";
import { createFeed, type FeedSource } from "../peers/feed.js";
import { listUpstreams, type MirrorDecoders } from "../peers/mirror.js";
import { estimateServiceMs } from "../routing/engineModel.js";
import { createGroupBoard, noteGroup } from "../routing/groupBoard.js";
import { admitRepeat, createRetryWindow, noteFirstSend, type RetryWindow, type RetryWindowSettings } from "../routing/retryWindow.js";
import { createUpstreamBoard, noteFigures, setUpstreams } from "../routing/upstreamBoard.js";
import { listenOn } from "../wire/listen.js";
import type { ServingDocument } from "../config/serving.js";
import type { DirectContext } from "./context.js";
import { createScheduler } from "./scheduler.js";
import { applyLimits, createDirectServer } from "./server.js";
import type { DirectRequest, HeadCodec } from "./types.js";

interface Listen {
    host: string;
    port: number;
}

export interface DirectEntryOptions {
    instance: string;
    dataCentre: string;
    callers: Listen;
    readiness: Listen;
    internal: Listen;
    /** Time between the order to stop and the kill, in milliseconds. */
    graceMs: number;
    retries: RetryWindowSettings;
    source: FeedSource;
    codec: HeadCodec;
    decoders: MirrorDecoders<ServingDocument>;
}

export interface RunningEntry {
    stop: () => Promise<void>;
}

/** Time for which callers' new connections still come after readiness is denied, in milliseconds: two questions, a second apart. */
const balancerLagMs = 3200;
/** Part of the grace in which requests are finished; the rest is for the end of the process. */
const drainShare = 0.95;
/** Time between two looks whether all requests are finished, in milliseconds. */
const drainTickMs = 50;
/** Urgencies that upstreams know, the least urgent one last. */
const leastUrgent = 9;
/** Longest part of a caller's time that it stays away when told to. */
const retryAfterShare = 1 / 3;

/** Starts an entry; resolves once it listens. */
export async function startDirectEntry(options: DirectEntryOptions): Promise<RunningEntry> {
    const makeLogger = createLoggers("beechdock-entry", options.instance, "info");
    const logger = makeLogger(Prefix.entry);
    const metrics = createServingMetrics();
    const lines = createLineLimit();
    const now = () => performance.now();
    const random = Math.random;
    const board = createUpstreamBoard();
    const groups = createGroupBoard();
    const windows = new Map<string, RetryWindow>();
    let index: ServingIndex | undefined;
    let isStopping = false;

    const feed = createFeed({
        source: options.source,
        decoders: options.decoders,
        now,
        random,
        logger: makeLogger(Prefix.config),
        askPeer: async () => undefined,
        onDocument: document => {
            index = buildServingIndex(document);
            metrics.revision.set(document.revision);
            applyLimits(server, index);
        },
        onList: () => {
            const upstreams = listUpstreams(feed.state);
            setUpstreams(board, upstreams);
            metrics.upstreams.set(upstreams.length);
            scheduler.pump();
        },
        timing: { staleMs: 0, spreadMs: 0 },
    });
    const scheduler = createScheduler({
        board,
        groups,
        dataCentre: options.dataCentre,
        now,
        random,
        findPool: name => index?.pools.get(name),
    });
    const getWindow = (pool: string) => {
        const window = windows.get(pool) ?? createRetryWindow(options.retries);
        windows.set(pool, window);
        return window;
    };
    const findEngine = (request: DirectRequest) => index?.pools.get(request.pool)?.engine;
    const context: DirectContext = {
        codec: options.codec,
        board,
        scheduler,
        now,
        noteFirstSend: request => noteFirstSend(getWindow(request.pool), now()),
        admitRepeat: (request, at) => {
            const isAdmitted = admitRepeat(getWindow(request.pool), 18, at);
            if (!isAdmitted) {
                metrics.repeatsRefused.inc();
            }
            return isAdmitted;
        },
        noteLoad: (upstream, { running, waiting }) => noteFigures(board, upstream, { running, waiting, at: now() }),
        noteGroupFault: pool => noteGroup(groups, pool, { isOpen: false, epoch: 0, at: now() }),
        estimateServiceMs: request => {
            const engine = findEngine(request);
            if (engine === undefined) {
                return 0;
            }
            const { promptTokens, maxAnswerTokens, answerHint } = request.head;
            return estimateServiceMs(engine, {
                promptTokens: promptTokens ?? engine.usualPromptTokens,
                answerTokens: Math.min(maxAnswerTokens ?? Infinity, answerHint ?? engine.usualAnswerTokens),
            }, engine.slots);
        },
        computeUrgency: (request, at) => {
            if (findEngine(request) === undefined) {
                return undefined;
            }
            const isLate = at > request.receivedAt + request.route.targetMs;
            return isLate ? leastUrgent : Math.min(leastUrgent - 1, request.workspace?.urgency ?? request.route.urgency);
        },
        computeRetryAfterMs: request =>
            Math.max(0, request.deadlineAt - now()) * retryAfterShare * (0.5 + random() / 2),
        answerRefusal: (response, retryAfterMs) => {
            metrics.refusals.inc();
            answerEmpty(response, 503, ["Retry-After", (retryAfterMs / 1000).toFixed(3)]);
        },
        answerFailure: (response, status) => answerEmpty(response, status, []),
        logRequest: (request, outcome, attempts) => {
            const ms = Math.round(now() - request.receivedAt);
            metrics.requests.inc({ outcome: outcome.split(",")[0] });
            metrics.answerSeconds.observe(ms / 1000);
            if (!lines.admit(now())) {
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
    const isReady = () => !isStopping && index !== undefined && board.views.size > 0;
    const readiness = createServer((message, response) => answerEmpty(response, isReady() ? 200 : 503, []));
    const internal = createServer((message, response) => {
        void metrics.registry.metrics().then(text => response.end(text));
    });
    await listenOn(server, options.callers.host, options.callers.port);
    await listenOn(readiness, options.readiness.host, options.readiness.port);
    await listenOn(internal, options.internal.host, options.internal.port);
    feed.start();
    logger.info("The entry listens.", { port: options.callers.port });

    return {
        stop: async () => {
            isStopping = true;
            const startedAt = now();
            logger.info("The entry is leaving.", { inFlight: countInFlight() });
            await sleep(balancerLagMs);
            server.closeIdleConnections();
            while (countInFlight() > 0 && now() - startedAt < options.graceMs * drainShare) {
                await sleep(drainTickMs);
                server.closeIdleConnections();
            }
            logger.info("The entry has stopped.", { inFlight: countInFlight() });
        },
    };
}

function sleep(ms: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, ms));
}

function answerEmpty(response: ServerResponse, status: number, headers: string[]): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, [...headers, "Content-Length", "0"]);
        response.end();
    }
}
