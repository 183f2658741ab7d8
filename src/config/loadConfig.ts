/** Configuration service of a process: tails the log, gossips with peers, appends snapshots, writes the audit trail. */
import { createRandom } from "../core/random.js";
import type { InstanceRecord, Role } from "../core/types.js";
import { createLogClient } from "../log/client.js";
import { tailStream } from "../log/tail.js";
import type { LogClient } from "../log/types.js";
import { type Audit, AuditKind, createAudit } from "../observe/audit.js";
import { containFaults, createFaultReporter, type FaultReporter } from "../observe/faults.js";
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

const peerPollIntervalMs = 1000;
const snapshotCheckIntervalMs = 1000;
const snapshotRetryIntervalMs = 10_000;

export interface ConfigServiceOptions {
    settings: CommonSettings;
    role: Role;
    /** Pool of a slot's upstream; absent for entries. */
    pool?: string;
    createLogger: (prefix: LogPrefix) => Logger;
    metrics: Metrics;
    /** Returns the load of the upstream, in tokens; 0 for entries. */
    getLoad: () => number;
    /** Called with each configuration that becomes active. */
    onConfig: (config: ActiveConfig) => void;
}

/** Result of the JSON-RPC method `status`. */
export interface ProcessStatus {
    instance: string;
    role: Role;
    dataCentre: string;
    revision: number;
    /** Digest of the active revision; empty if a newer revision is known. */
    digest: string;
    /** Time at which the revision became active, in milliseconds since 1970. */
    since: number;
    source: string;
    ready: boolean;
    /** The newest revision and the reason, if this version cannot parse its document. */
    refused?: { revision: number; reason: string; };
    /** Start of the process, in milliseconds since 1970. */
    startedAt: number;
    /** Time of the last response from the log, in milliseconds since 1970; 0 before the first. */
    logAnsweredAt: number;
    /** Instances that this process considers silent: they neither respond to calls nor call. */
    silent: string[];
    /** Number of audit records that were dropped. */
    auditDropped: number;
}

export interface ConfigService {
    /** JSON-RPC methods to serve on the internal interface. */
    methods: RpcMethods;
    audit: Audit;
    /** Whether the process may serve; once true, it stays true. */
    isReady: () => boolean;
    /** Starts to tail the log and to gossip; `port` is the port of the bound internal interface. */
    start: (port: number) => void;
    /** Updates the known instances from the platform's instance list. */
    updateInstances: (instances: InstanceRecord[]) => void;
    /** Instances from the last list and from gossip; an instance is leaving if either source says so. */
    listInstances: () => InstanceRecord[];
    /** Records in the audit trail that this instance is leaving, and notifies its peers. */
    announceLeaving: (reason: string) => Promise<void>;
    stop: () => Promise<void>;
}

interface ConfigServiceContext {
    options: ConfigServiceOptions;
    logger: Logger;
    log: LogClient;
    revisions: RevisionState;
    audit: Audit;
    peers: Peers;
    reportFault: FaultReporter;
    /** Earliest time of the next attempt to append a snapshot, in milliseconds since 1970. */
    nextSnapshotAttemptAt: number;
    /** Jitter of this process's snapshots, in [0, 1). */
    snapshotJitter: number;
}

/** Creates the configuration service of a process. Its `methods` work at once; background tasks begin with `start`. */
export function createConfigService(options: ConfigServiceOptions): ConfigService {
    const { settings, createLogger } = options;
    const { instance, environment, internal } = settings;
    const log = createLogClient(settings.platform.log, createTrafficCounter(options, "log"));
    const onError = (error: Error) =>
        createLogger(LogPrefix.log).warn("Appending to the audit trail failed.", { error: error.message });
    const logger = createLogger(LogPrefix.config);
    const context = {
        options,
        log,
        logger,
        reportFault: createFaultReporter(logger, options.metrics.faults, () => performance.now()),
        revisions: createRevisionState(environment, Date.now()),
        audit: createAudit({ log, environment, instance, onError }),
        nextSnapshotAttemptAt: 0,
        snapshotJitter: Math.random(),
    } as ConfigServiceContext;
    context.peers = createConfigPeers(context);
    const { peers, audit, revisions } = context;
    let stopTasks = () => undefined as void;
    return {
        methods: { ...peers.methods, [PeerMethod.status]: () => describeProcess(context) },
        audit,
        isReady: () => revisions.ready,
        updateInstances: instances => peers.updateInstances(instances),
        listInstances: () => peers.listInstances(),
        announceLeaving: async reason => {
            audit.record({ kind: AuditKind.leaving, subject: instance, reason });
            await peers.announceLeaving();
        },
        start: port => {
            audit.record({ kind: AuditKind.start, subject: instance, reason: "the process has started" });
            peers.start(`http://${internal.host.includes(":") ? `[${internal.host}]` : internal.host}:${port}`);
            stopTasks = startTasks(context);
        },
        stop: async () => {
            stopTasks();
            peers.stop();
            audit.record({ kind: AuditKind.stop, subject: instance, reason: "the process was told to stop" });
            await audit.stop();
        },
    };
}

/** Starts to tail the log, to poll peers and to append snapshots; returns a function that stops all of it. */
function startTasks(context: ConfigServiceContext): () => void {
    const { log, logger, reportFault } = context;
    const onError = (error: Error) => logger.warn("Reading the log failed.", { error: error.message });
    const tail = tailStream(log, configStream, onError).subscribe({
        next: event => handleEvent(context, { kind: "log", batch: event, atEnd: event.atEnd }),
        error: () => undefined,
        complete: () => undefined,
    });
    const pollTimer = setInterval(containFaults(reportFault, () => pollPeers(context)), peerPollIntervalMs);
    const snapshotTimer = setInterval(
        containFaults(reportFault, () => appendDueSnapshot(context)),
        snapshotCheckIntervalMs,
    );
    return () => {
        clearInterval(pollTimer);
        clearInterval(snapshotTimer);
        tail.unsubscribe();
    };
}

/** Counts bytes and messages of the control plane under `kind` in the metrics. */
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

function createConfigPeers(context: ConfigServiceContext): Peers {
    const { options, revisions } = context;
    const { settings, role, pool } = options;
    const { instance, dataCentre, peers: seeds } = settings;
    return createPeers({
        identity: settings,
        self: { instance, incarnation: Date.now(), state: "live", role, dataCentre, url: "", pool },
        seeds,
        random: createRandom(Math.floor(Math.random() * 2 ** 31)),
        getRevision: () => revisions.newest,
        getLoad: options.getLoad,
        onRevision: candidate => handleEvent(context, { kind: "peer", candidate }),
        countBytes: createTrafficCounter(options, "peers"),
    });
}

const actionHandlers: {
    [K in RevisionAction["kind"]]: (context: ConfigServiceContext, action: RevisionAction & { kind: K; }) => void;
} = {
    inForce: ({ options, logger, audit, revisions }, { config, source }) => {
        const { revision } = config;
        logger.info("A revision is in force.", { revision, source, digest: revisions.newest.digest });
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
    conflict: ({ logger }, { revision }) =>
        logger.error("The same revision was received with two different documents.", { revision }),
    ready: ({ logger }, { source }) => logger.info("The configuration is ready.", { source }),
};

function handleEvent(context: ConfigServiceContext, event: RevisionEvent): void {
    const { revision } = context.revisions.newest;
    for (const action of handleRevisionEvent(context.revisions, event, Date.now())) {
        const handler = actionHandlers[action.kind] as (context: ConfigServiceContext, action: RevisionAction) => void;
        // An error of one action must not keep the others from being executed.
        containFaults(context.reportFault, handler)(context, action);
    }
    if (context.revisions.newest.revision > revision) {
        context.peers.announceRevision(context.revisions.newest);
    }
}

async function pollPeers(context: ConfigServiceContext): Promise<void> {
    if (!context.revisions.ready) {
        handleEvent(context, { kind: "peersPolled", ...await context.peers.exchangeWithDataCentre() });
    }
}

/** Appends a snapshot if one is due by this instance's rendezvous position and no attempt was made recently. */
async function appendDueSnapshot(context: ConfigServiceContext): Promise<void> {
    const { revisions, peers, options, log, logger } = context;
    const instances = [...peers.state.members.values()]
        .filter(member => member.state === "live" && member.failures === 0)
        .map(member => member.instance);
    const position = computeRendezvousPosition(
        options.settings.instance,
        instances,
        `snapshot/${revisions.newest.revision}`,
    );
    const dueAt = planSnapshot(revisions, position, context.snapshotJitter);
    const snapshot = createSnapshot(revisions.fold);
    if (dueAt === undefined || snapshot === undefined || Date.now() < Math.max(dueAt, context.nextSnapshotAttemptAt)) {
        return;
    }
    context.nextSnapshotAttemptAt = Date.now() + snapshotRetryIntervalMs;
    await log.append(configStream, [{ id: snapshot.id, data: snapshot }]).catch((error: Error) => {
        logger.warn("Appending a snapshot failed.", { error: error.message });
    });
}

function describeProcess({ options, revisions, peers, audit }: ConfigServiceContext): ProcessStatus {
    const { instance, dataCentre } = options.settings;
    return {
        instance,
        role: options.role,
        dataCentre,
        revision: revisions.activeConfig.revision,
        digest: revisions.newest.revision === revisions.activeConfig.revision ? revisions.newest.digest : "",
        since: revisions.since,
        source: revisions.source,
        ready: revisions.ready,
        refused: revisions.refused,
        startedAt: revisions.startedAt,
        logAnsweredAt: revisions.logAnsweredAt,
        silent: peers.listSilent(),
        auditDropped: audit.dropped(),
    };
}
