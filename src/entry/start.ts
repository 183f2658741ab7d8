/** Wires an entry: configuration, instance list, load probes and the callers' server. */
import { createServer } from "node:http";
import { type ConfigState, createConfigState } from "../config/fold.js";
import { streamConfig } from "../config/loadConfig.js";
import type { EntrySettings } from "../config/settings.js";
import { pollEvery } from "../core/streams.js";
import type { LoadReport } from "../core/types.js";
import { createLogClient } from "../log/client.js";
import { createLoggers, Prefix } from "../observe/logger.js";
import { createMetrics } from "../observe/metrics.js";
import { streamInstances } from "../peers/loadList.js";
import { selectSlots } from "../routing/subset.js";
import { createUpstreamTable, noteReport, updateInstances } from "../routing/table.js";
import { listenOn } from "../wire/listen.js";
import { requestRpc } from "../wire/rpc.js";
import { createEntryServer } from "./server.js";
import { createSlotClient } from "./slotClient.js";

const probeIntervalMs = 1000;

export interface RunningProcess {
    stop: () => Promise<void>;
}

/** Starts an entry; resolves once it listens. */
export async function startEntry(settings: EntrySettings): Promise<RunningProcess> {
    const { instance, dataCentre, environment, platform, listen, internal } = settings;
    const makeLogger = createLoggers("beechdock-entry", instance, settings.logLevel);
    const logger = makeLogger(Prefix.entry);
    const configLogger = makeLogger(Prefix.config);
    const peersLogger = makeLogger(Prefix.peers);
    const metrics = createMetrics();
    const table = createUpstreamTable();
    const slots = createSlotClient(settings);
    let config: ConfigState = createConfigState(environment);
    let configured = false;
    let stopping = false;
    let probed = false;

    const context = {
        identity: settings,
        dataCentre,
        table,
        slots,
        metrics,
        logger,
        maxBodyBytes: settings.maxBodyBytes,
        getConfig: () => config,
        isReady: () => configured && !stopping,
    };
    const { server, drain } = createEntryServer(context);
    const admin = createServer((message, response) => {
        void metrics.registry.metrics().then(text =>
            response.writeHead(200, { "content-type": "text/plain" }).end(text)
        );
    });
    const port = await listenOn(server, listen.host, listen.port);
    await listenOn(admin, internal.host, internal.port);

    void streamConfig(
        createLogClient(platform.log),
        environment,
        e => configLogger.warn("Reading the log failed.", { error: e.message }),
    )
        .observe(update => {
            if (update.state.revision !== config.revision) {
                configLogger.info("A revision is in force.", { revision: update.state.revision });
                metrics.revision.set(update.state.revision);
            }
            config = update.state;
            configured = update.atEnd;
        });
    void streamInstances(
        platform.list,
        e => peersLogger.warn("Reading the instance list failed.", { error: e.message }),
    )
        .observe(instances => updateInstances(table, selectSlots(instances, settings)));
    const probe = async () => {
        await Promise.all([...table.upstreams.values()].map(async upstream => {
            const report = await requestRpc<LoadReport>(settings, upstream.url, "report", {}).catch(() => undefined);
            if (report !== undefined) {
                noteReport(table, upstream.instance, report, Date.now());
            }
        }));
        const known = [...table.upstreams.values()].filter(upstream => upstream.report !== undefined).length;
        if (known > 0 && known === table.upstreams.size && !probed) {
            probed = true;
            logger.info("The upstreams are known.", { upstreams: known });
        }
    };
    void pollEvery(probeIntervalMs, probe, () => undefined).drain();
    logger.info("The entry listens.", { port });

    return {
        stop: async () => {
            stopping = true;
            logger.info("The entry is leaving.");
            await new Promise(resolve => setTimeout(resolve, settings.balancerLagMs));
            server.close();
            await drain();
            server.closeIdleConnections();
            logger.info("The entry has stopped.");
        },
    };
}
