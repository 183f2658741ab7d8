/** Starts a slot (sidecar of one upstream): configuration, upstream client, run store and internal server. */
import { randomUUID } from "node:crypto";
import { type ActiveConfig, createInitialConfig } from "../config/fold.js";
import { createConfigService } from "../config/loadConfig.js";
import type { SlotSettings } from "../config/settings.js";
import { pollEvery } from "../core/streams.js";
import type { InstanceRecord } from "../core/types.js";
import { isRefused } from "../direct/crashMonitor.js";
import { startGroupService } from "../group/driverGroup.js";
import { createLogClient } from "../log/client.js";
import { containFaults, createFaultReporter } from "../observe/faults.js";
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createMetrics } from "../observe/metrics.js";
import { streamInstances } from "../peers/loadInstances.js";
import { createAdmission } from "../routing/admission.js";
import { isServedNoticed } from "../routing/servedUpstream.js";
import { createCallerLimits } from "../wire/callerLimits.js";
import { listenOn } from "../wire/listen.js";
import { readProcessLimits } from "../wire/machineLimits.js";
import { createCancelMethods } from "./cancel.js";
import { type AppenderSlot, createClaimMethods, createClaimRelay } from "./claimRelay.js";
import { createClaimState } from "./claims.js";
import { createClaimsDriver } from "./driverClaims.js";
import { createLeavingState, observeListedState } from "./leaving.js";
import { createSlotMetrics } from "./metrics.js";
import { createRunner } from "./runner.js";
import { createRunnerListener } from "./runnerListener.js";
import { createRunStore, expireRecords, type RunStore } from "./runStore.js";
import { createSlotServer } from "./server.js";
import { computeShutdownDelayMs } from "./shutdown.js";
import { createUpstreamClient, parseAddress, upstreamTimeouts } from "./upstream.js";
import { watchUpstreamRestart } from "./upstreamRestart.js";

/** Interval between removals of expired records and keys, in milliseconds. */
const expiryIntervalMs = 5000;
/** Maximum interval between checks for the end of the shutdown delay, in milliseconds. */
const shutdownPollMs = 100;
/**
 * Time for which a slot that leaves refuses runs before it ends, in milliseconds. Covers an interval of the entries' probes and
 * the time limit for a response, after which no entry sends runs to it; one that finds it gone cannot tell that it has not run.
 */
const refusalMs = 2250;
/** Admission limits until the configuration with the slot's pool is known. */
const defaultLimits = { concurrency: 64, tokens: 200_000, queue: 128 };

/**
 * Starts a slot; resolves once its server listens. `stop` waits for active runs and, for a limited time, for the
 * delivery of their responses.
 */
export async function startSlot(settings: SlotSettings): Promise<{ stop: () => Promise<void>; }> {
    const { instance, environment, platform, internal, upstream } = settings;
    const createLogger = createLoggerFactory("beechdock-slot", instance, settings.logLevel);
    const logger = createLogger(LogPrefix.slot);
    const metrics = createMetrics();
    const reportFault = createFaultReporter(logger, metrics.faults, () => performance.now());
    const store = createRunStore(randomUUID());
    const leavingState = createLeavingState(Date.now());
    const admission = createAdmission(defaultLimits);
    let appenderSlots: AppenderSlot[] = [];
    const relay = createClaimRelay(settings, instance, () => appenderSlots);
    const log = createLogClient(platform.log);
    const claims = createClaimsDriver(log, environment, createClaimState(store.incarnation), relay);
    const slotMetrics = createSlotMetrics(metrics.registry, store);
    const upstreamClient = createUpstreamClient(
        upstream.url,
        upstreamTimeouts[upstream.kind],
        () => slotMetrics.upstreamTimeouts.inc(),
        () => slotMetrics.upstreamRuns.inc(),
    );
    const runner = createRunner(store, admission, upstreamClient, {
        ...claims,
        submit: async claim => {
            const verdict = await claims.submit(claim);
            slotMetrics.claims.inc({ verdict });
            return verdict;
        },
    }, createRunnerListener(logger, slotMetrics));
    watchUpstreamRestart({
        isNoticed: () => isServedNoticed(admission.served, Date.now()),
        isRefused: () => isRefused(parseAddress(upstream.url)),
        onRestart: () => {
            logger.info("The upstream has restarted, and what it has said of itself is over.");
            runner.recordUpstreamRestart();
        },
    });
    let activeConfig: ActiveConfig = createInitialConfig(environment);

    const configService = createConfigService({
        settings,
        role: "slot",
        pool: settings.pool,
        createLogger: createLogger,
        metrics,
        getLoad: () => runner.report().tokensInFlight,
        onConfig: newConfig => {
            activeConfig = newConfig;
            group?.setDocument(activeConfig.document);
            admission.limits = activeConfig.document?.pools.find(p => p.name === settings.pool) ?? admission.limits;
        },
    });
    const group = startGroupService(
        settings,
        createLogClient(platform.log),
        createLogger(LogPrefix.group),
        event => configService.audit.record(event),
    );
    let leavingAt = Infinity;
    const markLeaving = (reason: string) => {
        if (!store.leaving) {
            store.leaving = true;
            leavingAt = performance.now();
            logger.info("The upstream is leaving.", { reason });
            void configService.announceLeaving(reason);
        }
    };
    const limits = createCallerLimits(readProcessLimits(settings), () => performance.now(), {
        ...metrics,
        prefix: "beechdock",
    });
    const server = createSlotServer({
        settings,
        memory: limits.memory,
        store,
        runner,
        metrics,
        getWeight: workspace => activeConfig.document?.workspaces.find(w => w.name === workspace)?.weight ?? 1,
        methods: {
            ...configService.methods,
            ...group?.methods,
            ...createClaimMethods(claims),
            ...createCancelMethods(store, runner),
        },
    });
    limits.guard.watch(server);
    const port = await listenOn(server, internal.host, internal.port);

    configService.start(port);
    void streamInstances(platform.list, e => logger.warn("Reading the instance list failed.", { error: e.message }))
        .observe(containFaults(reportFault, (instances: InstanceRecord[]) => {
            configService.updateInstances(instances);
            group?.setInstances(instances);
            appenderSlots = instances.filter(i =>
                i.role === "slot" && i.state === "live" && i.dataCentre === settings.dataCentre
            );
            const listedState = instances.find(i => i.instance === instance)?.state;
            if (observeListedState(leavingState, listedState, Date.now())) {
                markLeaving("the instance list says so");
            }
        }));
    const removeExpired = async () => {
        expireRecords(store, Date.now());
        runner.expireKeys();
    };
    void pollEvery(expiryIntervalMs, removeExpired, () => undefined).drain();
    logger.info("The slot listens.", { port });

    return {
        stop: async () => {
            markLeaving("the process was told to stop");
            await runner.drain();
            await waitUntil(leavingAt + refusalMs);
            group?.close();
            await waitForDelivery(store);
            server.close();
            server.closeIdleConnections();
            await configService.stop();
            logger.info("The slot has stopped.");
        },
    };
}

/** Waits until a time in milliseconds of `performance.now()`. */
function waitUntil(at: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(0, at - performance.now())));
}

/** Waits until no response is expected to be requested or resumed any more. */
async function waitForDelivery(store: RunStore): Promise<void> {
    for (let ms = computeShutdownDelayMs(store, Date.now()); ms > 0; ms = computeShutdownDelayMs(store, Date.now())) {
        await new Promise(resolve => setTimeout(resolve, Math.min(ms, shutdownPollMs)));
    }
}
