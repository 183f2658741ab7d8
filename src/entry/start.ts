/**
 * Assembles an entry (ingress proxy): config service, instance list, load probes, the callers' server and the internal
 * server.
 */
import { type ActiveConfig, createInitialConfig } from "../config/fold.js";
import { createConfigService } from "../config/loadConfig.js";
import type { EntrySettings } from "../config/settings.js";
import { createLogClient } from "../log/client.js";
import { AuditKind } from "../observe/audit.js";
import { containFaults, createFaultReporter } from "../observe/faults.js";
import { createLoggerFactory, LogPrefix } from "../observe/logger.js";
import { createMetrics } from "../observe/metrics.js";
import { streamInstances } from "../peers/loadInstances.js";
import { createSlotSelector } from "../routing/subset.js";
import { createUpstreamTable } from "../routing/upstreamTable.js";
import { createCallerLimits } from "../wire/callerLimits.js";
import { listenOn } from "../wire/listen.js";
import { readProcessLimits } from "../wire/machineLimits.js";
import { InternalPath } from "../wire/messages.js";
import { createInternalServer, createRpcHandler } from "../wire/server.js";
import { createExplainMethod } from "./explain.js";
import { createJournal } from "./journal.js";
import { startProbing } from "./probing.js";
import { startPromptQuarantine } from "./promptQuarantine.js";
import { createRetryBudget } from "./retryBudget.js";
import { createEntryServer } from "./server.js";
import { createSlotClient } from "./slotClient.js";

/** Limits of the retry budget; see `RetryBudget`. */
const maxRetryRatio = 0.1;
const minRetriesPerSecond = 1;
/** Requests of each kind that the journal keeps. */
const journalCapacity = 4096;

export interface RunningProcess {
    /** Announces that the instance is leaving, waits until load balancers have noticed, then drains and stops it. */
    stop: () => Promise<void>;
}

/** Starts an entry; resolves when both of its servers listen, rejects if one cannot. */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
    const { instance, dataCentre, environment, platform, listen, internal } = settings;
    const createLogger = createLoggerFactory("beechdock-entry", instance, settings.logLevel);
    const logger = createLogger(LogPrefix.entry);
    const peersLogger = createLogger(LogPrefix.peers);
    const metrics = createMetrics();
    const table = createUpstreamTable();
    const reportFault = createFaultReporter(logger, metrics.faults, () => performance.now());
    const selectSlots = createSlotSelector(settings);
    const slotClient = createSlotClient(settings);
    let config: ActiveConfig = createInitialConfig(environment);
    let isStopping = false;

    const configService = createConfigService({
        settings,
        role: "entry",
        createLogger,
        metrics,
        getLoad: () => 0,
        onConfig: next => {
            config = next;
        },
    });
    const limits = createCallerLimits(readProcessLimits(settings), () => performance.now(), {
        ...metrics,
        prefix: "beechdock",
    });
    const context = {
        limits,
        identity: settings,
        dataCentre,
        table,
        slots: slotClient,
        metrics,
        logger,
        maxBodyBytes: settings.maxBodyBytes,
        getConfig: () => config,
        isReady: () => configService.isReady() && !isStopping,
        isStopping: () => isStopping,
        retryBudget: createRetryBudget(maxRetryRatio, minRetriesPerSecond),
        journal: createJournal(journalCapacity),
        quarantine: startPromptQuarantine({
            instance,
            environment,
            log: createLogClient(platform.log),
            logger,
            now: () => performance.now(),
            onCrash: () => metrics.upstreamCrashes.inc(),
            onRejection: () => metrics.quarantineRejections.inc(),
            reportFault,
        }),
        onEjection: (instance: string, reason: string) =>
            configService.audit.record({ kind: AuditKind.ejection, subject: instance, reason }),
    };
    const { server, stop } = createEntryServer(context);
    const internalServer = createInternalServer({
        memory: limits.memory,
        identity: settings,
        registry: metrics.registry,
        handlers: {
            [InternalPath.rpc]: createRpcHandler({
                ...configService.methods,
                explain: createExplainMethod(context.journal),
            }),
        },
    });
    limits.guard.watch(internalServer);
    const port = await listenOn(server, listen.host, listen.port);
    const internalPort = await listenOn(internalServer, internal.host, internal.port);

    configService.start(internalPort);
    void streamInstances(
        platform.list,
        e => peersLogger.warn("Reading the instance list failed.", { error: e.message }),
    )
        .observe(containFaults(reportFault, instances => configService.updateInstances(instances)));
    startProbing({ identity: settings, table, logger, listSlots: () => selectSlots(configService.listInstances()) });
    logger.info("The entry listens.", { port, internalPort });

    return {
        stop: async () => {
            isStopping = true;
            logger.info("The entry is leaving.");
            void configService.announceLeaving("the process was told to stop");
            await new Promise(resolve => setTimeout(resolve, settings.balancerLagMs));
            await stop();
            await configService.stop();
            logger.info("The entry has stopped.");
        },
    };
}
