/** Keeps the configuration of a process: follows the log, gossips with peers, appends snapshots, keeps the audit trail. */
import { createRandom } from "../core/random.js";
import type { InstanceRecord, Role } from "../core/types.js";
import { createLogClient } from "../log/client.js";
import { tailStream } from "../log/tail.js";
import type { LogClient } from "../log/types.js";
import { type Audit, AuditKind, createAudit } from "../observe/audit.js";
import { type Logger, LogPrefix } from "../observe/logger.js";
import type { Metrics } from "../observe/metrics.js";
import { createPeers, type Peers } from "../peers/loadPeers.js";
import { PeerMethod } from "../peers/messages.js";
import { computeRendezvousPosition } from "../peers/rendezvous.js";
import type { RpcMethods } from "../wire/rpc.js";
import { type ActiveConfig, createSnapshot } from "./fold.js";
import { configStream } from "./records.js";
import {
    createRevisionState,
    handleRevisionEvent,
    planSnapshot,
    type RevisionAction,
    type RevisionEvent,
    RevisionSource,
    type RevisionState,
} from "./revision.js";
import type { CommonSettings } from "./settings.js";

const askIntervalMs = 1000;
const snapshotCheckMs = 1000;
const snapshotRetryMs = 10_000;

export interface ConfigServiceOptions {
    settings: CommonSettings;
    role: Role;
    /** Pool of upstreams that a slot belongs to. */
    pool?: string;
    makeLogger: (prefix: LogPrefix) => Logger;
    metrics: Metrics;
    /** Load of the upstream in tokens. */
    getLoad: () => number;
    onConfig: (config: ActiveConfig) => void;
}

/** Answer of the JSON-RPC method `status`. */
export interface ProcessStatus {
    instance: string;
    role: Role;
    dataCentre: string;
    revision: number;
    digest: string;
    /** Time at which the revision came into force, in milliseconds since 1970. */
    since: number;
    source: string;
    ready: boolean;
    refused?: { revision: number; reason: string; };
    startedAt: number;
    /** Time of the last answer of the log, in milliseconds since 1970; 0 before the first. */
    logAnsweredAt: number;
    /** Instances that do not answer this process. */
    silent: string[];
    auditDropped: number;
}

export interface ConfigService {
    /** JSON-RPC methods for the internal interface. */
    methods: RpcMethods;
    audit: Audit;
    isReady: () => boolean;
    /** Starts to follow the log and to gossip; `port` is that of the bound internal interface. */
    start: (port: number) => void;
    /** Takes in the platform's list. */
    updateInstances: (instances: InstanceRecord[]) => void;
    /** Instances of the last list and those that peers told of, with leaving marks from either. */
    listInstances: () => InstanceRecord[];
    /** Tells peers and the audit trail that this process is leaving. */
    announceLeaving: (reason: string) => Promise<void>;
    stop: () => Promise<void>;
}

interface ConfigServiceContext {
    options: ConfigServiceOptions;
    logger: Logger;
    log: LogClient;
    spread: RevisionState;
    audit: Audit;
    peers: Peers;
    snapshotAt: number;
    snapshotDrawn: number;
}

/** Creates the keeper of a process's configuration; it answers peers at once and acts after `start`. */
export function createConfigService(options: ConfigServiceOptions): ConfigService {
    const { settings, makeLogger } = options;
    const { instance, environment, internal } = settings;
    const log = createLogClient(settings.platform.log, createTrafficCounter(options, "log"));
    const onError = (error: Error) =>
        makeLogger(LogPrefix.log).warn("Appending to the audit trail failed.", { error: error.message });
    const keeper = {
        options,
        log,
        logger: makeLogger(LogPrefix.config),
        spread: createRevisionState(environment, Date.now()),
        audit: createAudit({ log, environment, instance, onError }),
        snapshotAt: 0,
        snapshotDrawn: Math.random(),
    } as ConfigServiceContext;
    keeper.peers = createConfigPeers(keeper);
    const { peers, audit, spread } = keeper;
    let stopWork = () => undefined as void;
    return {
        methods: { ...peers.methods, [PeerMethod.status]: () => describeProcess(keeper) },
        audit,
        isReady: () => spread.ready,
        updateInstances: instances => peers.updateInstances(instances),
        listInstances: () => peers.listInstances(),
        announceLeaving: async reason => {
            audit.record({ kind: AuditKind.leaving, subject: instance, reason });
            await peers.announceLeaving();
        },
        start: port => {
            audit.record({ kind: AuditKind.start, subject: instance, reason: "the process has started" });
            peers.start(`http://${internal.host.includes(":") ? `[${internal.host}]` : internal.host}:${port}`);
            stopWork = startTasks(keeper);
        },
        stop: async () => {
            stopWork();
            peers.stop();
            audit.record({ kind: AuditKind.stop, subject: instance, reason: "the process was told to stop" });
            await audit.stop();
        },
    };
}

function startTasks(keeper: ConfigServiceContext): () => void {
    const { log, logger } = keeper;
    const onError = (error: Error) => logger.warn("Reading the log failed.", { error: error.message });
    const tail = tailStream(log, configStream, onError).subscribe({
        next: event => handleEvent(keeper, { kind: "log", batch: event, atEnd: event.atEnd }),
        error: () => undefined,
        complete: () => undefined,
    });
    const askTimer = setInterval(() => void pollPeers(keeper), askIntervalMs);
    const snapshotTimer = setInterval(() => void appendDueSnapshot(keeper), snapshotCheckMs);
    return () => {
        clearInterval(askTimer);
        clearInterval(snapshotTimer);
        tail.unsubscribe();
    };
}

function createTrafficCounter(
    { metrics }: ConfigServiceOptions,
    kind: string,
): (direction: string, bytes: number) => void {
    return (direction, bytes) => {
        metrics.controlBytes.inc({ direction, kind }, bytes);
        if (direction === "sent") {
            metrics.controlMessages.inc({ kind });
        }
    };
}

function createConfigPeers(keeper: ConfigServiceContext): Peers {
    const { options, spread } = keeper;
    const { settings, role, pool } = options;
    const { instance, dataCentre, peers: seeds } = settings;
    return createPeers({
        identity: settings,
        self: { instance, incarnation: Date.now(), state: "live", role, dataCentre, url: "", pool },
        seeds,
        random: createRandom(Math.floor(Math.random() * 2 ** 31)),
        getRevision: () => spread.newest,
        getLoad: options.getLoad,
        onRevision: offer => handleEvent(keeper, { kind: "peer", candidate: offer }),
        countBytes: createTrafficCounter(options, "peers"),
    });
}

const actionHandlers: {
    [K in RevisionAction["kind"]]: (keeper: ConfigServiceContext, action: RevisionAction & { kind: K; }) => void;
} = {
    inForce: ({ options, logger, audit, spread }, { config, source }) => {
        const { revision } = config;
        logger.info("A revision is in force.", { revision, source, digest: spread.newest.digest });
        options.metrics.revision.set(revision);
        options.onConfig(config);
        if (source !== RevisionSource.log) {
            audit.record({
                kind: AuditKind.revisionInForce,
                subject: String(revision),
                reason: `learned from the ${source}`,
            });
        }
    },
    refused: ({ logger, audit }, { revision, reason }) => {
        logger.error("A revision cannot be used; the previous one stays.", { revision, reason });
        audit.record({ kind: AuditKind.revisionRefused, subject: String(revision), reason });
    },
    conflict: ({ logger }, { revision }) => logger.error("A revision came with two documents.", { revision }),
    ready: ({ logger }, { source }) => logger.info("The configuration is ready.", { source }),
};

function handleEvent(keeper: ConfigServiceContext, event: RevisionEvent): void {
    const { revision } = keeper.spread.newest;
    for (const action of handleRevisionEvent(keeper.spread, event, Date.now())) {
        (actionHandlers[action.kind] as (keeper: ConfigServiceContext, action: RevisionAction) => void)(keeper, action);
    }
    if (keeper.spread.newest.revision > revision) {
        keeper.peers.announceRevision(keeper.spread.newest);
    }
}

async function pollPeers(keeper: ConfigServiceContext): Promise<void> {
    if (!keeper.spread.ready) {
        handleEvent(keeper, { kind: "peersAsked", ...await keeper.peers.exchangeWithDataCentre() });
    }
}

async function appendDueSnapshot(keeper: ConfigServiceContext): Promise<void> {
    const { spread, peers, options, log, logger } = keeper;
    const instances = [...peers.state.members.values()]
        .filter(member => member.state === "live" && member.failures === 0)
        .map(member => member.instance);
    const rank = computeRendezvousPosition(options.settings.instance, instances, `snapshot/${spread.newest.revision}`);
    const dueAt = planSnapshot(spread, rank, keeper.snapshotDrawn);
    const snapshot = createSnapshot(spread.fold);
    if (dueAt === undefined || snapshot === undefined || Date.now() < Math.max(dueAt, keeper.snapshotAt)) {
        return;
    }
    keeper.snapshotAt = Date.now() + snapshotRetryMs;
    await log.append(configStream, [{ id: snapshot.id, data: snapshot }]).catch((error: Error) => {
        logger.warn("Appending a snapshot failed.", { error: error.message });
    });
}

function describeProcess({ options, spread, peers, audit }: ConfigServiceContext): ProcessStatus {
    const { instance, dataCentre } = options.settings;
    return {
        instance,
        role: options.role,
        dataCentre,
        revision: spread.activeConfig.revision,
        digest: spread.newest.revision === spread.activeConfig.revision ? spread.newest.digest : "",
        since: spread.since,
        source: spread.source,
        ready: spread.ready,
        refused: spread.refused,
        startedAt: spread.startedAt,
        logAnsweredAt: spread.logAnsweredAt,
        silent: peers.listSilent(),
        auditDropped: audit.dropped(),
    };
}
