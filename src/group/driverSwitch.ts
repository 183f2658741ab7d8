/**
 * Runs a slot's part in switches of the group's expert map: exchanges requests with the other slots, sends orders to
 * the engine beside it, and follows the generations of the group's membership in the log.
 */
import { randomUUID } from "node:crypto";
import { request } from "undici";
import { CallError } from "../core/errors.js";
import type { InstanceRecord } from "../core/types.js";
import { tailStream } from "../log/tail.js";
import type { LogClient, LogRecord } from "../log/types.js";
import { type AuditEvent, AuditKind } from "../observe/audit.js";
import type { Logger } from "../observe/logger.js";
import { requestRpc, type RpcIdentity, type RpcMethods } from "../wire/rpc.js";
import type { CoordinatorTimes } from "./coordinatorState.js";
import { createGroupNode, type GroupAction, type GroupEvent, handleGroupEvent } from "./node.js";
import {
    type EngineOrder,
    type EngineState,
    type ExpertMap,
    formatBallot,
    type GroupReply,
    type GroupRequest,
} from "./types.js";

export interface SwitchDriverOptions {
    identity: RpcIdentity;
    /** Instance that this slot serves. */
    instance: string;
    group: { name: string; rank: number; };
    /** Base URL of the engine's orders. */
    ordersUrl: string;
    log: LogClient;
    logger: Logger;
    audit: (event: AuditEvent) => void;
    times?: CoordinatorTimes;
}

/** Map in force as last observed by this slot; the result of `explainMap`. */
export interface MapStatus {
    group: string;
    generation: number;
    version?: string;
    step: number;
    /** Last switch that this slot coordinated. */
    lastSwitch?: { version: string; sinceStep: number; durationMs: number; reason: string; };
}

export interface SwitchDriver {
    methods: RpcMethods;
    /** Sets the number of ranks; the first positive value starts the slot's work. */
    setRanks: (ranks: number) => void;
    /** Sets the listed instances; a change among the group's members is proposed as a new generation. */
    setInstances: (instances: InstanceRecord[]) => void;
    /** Whether this slot coordinates and no switch is under way. */
    isSteady: () => boolean;
    /** Whether this slot has coordinated, found no map in the generation, and has not switched to one since. */
    needsMap: () => boolean;
    /** Proposes a switch to `map`; `reason` goes into the audit. */
    propose: (map: ExpertMap, reason: string) => void;
    /** URLs of the slots of the group by rank. */
    getMemberUrls: () => string[];
    close: () => void;
}

/** Record in the log that sets the membership of a generation. */
interface GenerationRecord {
    generation: number;
    /** By rank. */
    members: { instance: string; url: string; }[];
}

const defaultTimes: CoordinatorTimes = {
    resendIntervalMs: 200,
    heartbeatIntervalMs: 5000,
    electionTimeoutMs: 1500,
    idleElectionTimeoutMs: 12_000,
    holdTimeoutMs: 1000,
    leadTimeMs: 150,
};
const tickIntervalMs = 50;
const orderTimeoutMs = 5000;
const callTimeoutMs = 1000;
/** Time in milliseconds after which the caller of a request no longer waits for the reply. */
const replyRetentionMs = 5000;

/** Starts the map switch of a slot. */
export function startSwitchDriver(options: SwitchDriverOptions): SwitchDriver {
    const { identity, group, log, logger, audit } = options;
    const stream = `beechdock-group-${group.name}`;
    const nonce = randomUUID().slice(0, 8);
    const pendingReplies = new Map<GroupRequest, (reply: GroupReply) => void>();
    const callsInFlight = new Set<string>();
    const mapStatus: MapStatus = { group: group.name, generation: 0, step: 0 };
    let current: GenerationRecord = { generation: 0, members: [] };
    let listedInstances: InstanceRecord[] = [];
    let ranks = 0;
    let node: ReturnType<typeof createGroupNode> | undefined;
    let proposalReason = "first map of the generation";
    let isMapMissing = false;

    const recordAudit = (kind: AuditKind, reason: string) => audit({ kind, subject: group.name, reason });
    const dispatch = (event: GroupEvent) => {
        if (node !== undefined) {
            handleGroupEvent(node, event, Date.now(), Math.random()).forEach(handleAction);
        }
    };
    const sendOrder = async (order: EngineOrder) => {
        const state = await postOrder(options.ordersUrl, order).catch(() => undefined);
        dispatch(state === undefined ? { kind: "engineFailed" } : { kind: "engine", state });
    };
    const sendRequest = async (groupRequest: GroupRequest) => {
        const url = current.members[groupRequest.to]?.url;
        if (url === undefined || groupRequest.generation !== current.generation) {
            return;
        }
        const key = `${groupRequest.to}/${groupRequest.kind}/${formatBallot(groupRequest.ballot)}`;
        if (callsInFlight.has(key)) {
            return;
        }
        callsInFlight.add(key);
        const reply = await requestRpc<GroupReply>(identity, url, "group", groupRequest, { timeoutMs: callTimeoutMs })
            .catch(() => undefined);
        callsInFlight.delete(key);
        if (reply !== undefined) {
            dispatch({ kind: "reply", reply });
        }
    };
    const handleAction = (action: GroupAction): void => {
        const handlers: { [K in GroupAction["kind"]]: (a: Extract<GroupAction, { kind: K; }>) => void; } = {
            order: a => void sendOrder(a.order),
            send: a => void sendRequest(a.request),
            reply: a => {
                pendingReplies.get(a.request)?.(a.reply);
                pendingReplies.delete(a.request);
            },
            elected: a => {
                logger.info("This slot takes over.", { round: a.round });
                recordAudit(AuditKind.takeover, `takes over after silence, round ${a.round}`);
            },
            taken: a => recordAudit(AuditKind.takeover, a.finished ? "finishes a committed switch" : "releases holds"),
            switched: a => {
                isMapMissing = false;
                const reason = a.map === undefined ? "finished for an earlier coordinator" : proposalReason;
                mapStatus.lastSwitch = {
                    version: a.version,
                    sinceStep: a.step,
                    durationMs: a.durationMs,
                    reason,
                };
                logger.info("The map has switched.", { ...mapStatus.lastSwitch });
                const timing = `from step ${a.step}, after ${Math.round(a.durationMs)} ms`;
                recordAudit(AuditKind.mapSwitch, `${reason}: map ${a.version} ${timing}`);
            },
            released: a => recordAudit(AuditKind.mapSwitch, `gave up map ${a.version ?? "of an earlier coordinator"}`),
            needMap: () => {
                isMapMissing = true;
            },
        };
        handlers[action.kind](action as never);
    };
    const applyGenerationRecords = (records: LogRecord[]) => {
        for (const { data } of records) {
            const record = data as GenerationRecord;
            if (record.generation === current.generation + 1) {
                current = record;
                recordAudit(AuditKind.generation, `generation ${record.generation} is in force`);
            }
        }
        if (current.members[group.rank]?.instance === options.instance) {
            dispatch({ kind: "generation", generation: current.generation });
        }
    };
    const proposeGeneration = () => {
        const members = listMembers(listedInstances, group.name, ranks);
        const isUnchanged = members?.every((member, rank) => member.instance === current.members[rank]?.instance) ??
            true;
        if (members !== undefined && ranks > 0 && !isUnchanged) {
            const record: GenerationRecord = { generation: current.generation + 1, members };
            void log.append(stream, [{ id: randomUUID(), data: record }]).catch(() => undefined);
        }
    };
    const timer = setInterval(() => dispatch({ kind: "tick" }), tickIntervalMs);
    const subscription = tailStream(
        log,
        stream,
        e => logger.warn("Failed to read the group's generations from the log.", { error: e.message }),
    )
        .observe(event => {
            applyGenerationRecords(event.records);
            if (event.atEnd) {
                proposeGeneration();
            }
        });
    void subscription.catch(() => undefined);

    return {
        methods: {
            group: (params: unknown) => {
                if (node === undefined) {
                    throw new CallError("the configuration in force does not contain the slot's group");
                }
                return new Promise<GroupReply>(resolve => {
                    const groupRequest = params as GroupRequest;
                    pendingReplies.set(groupRequest, resolve);
                    setTimeout(() => pendingReplies.delete(groupRequest), replyRetentionMs).unref();
                    dispatch({ kind: "request", request: groupRequest });
                });
            },
            explainMap: (params: { group?: string; }) =>
                params.group === group.name ? { ...mapStatus, ...pickMapInForce(node?.member.engine) } : undefined,
        },
        setRanks: count => {
            if (node === undefined && count > 0) {
                ranks = count;
                const coordinator = { rank: group.rank, ranks, nonce, times: options.times ?? defaultTimes };
                node = createGroupNode(coordinator, Date.now(), Math.random());
                dispatch({ kind: "tick" });
                applyGenerationRecords([]);
            }
        },
        setInstances: instances => {
            listedInstances = instances;
            proposeGeneration();
        },
        isSteady: () => node?.coordinator.phase === "steady",
        needsMap: () => isMapMissing,
        propose: (map, reason) => {
            proposalReason = reason;
            logger.info("Proposing a map.", { reason });
            dispatch({ kind: "propose", map });
        },
        getMemberUrls: () => current.members.map(member => member.url),
        close: () => clearInterval(timer),
    };
}

async function postOrder(ordersUrl: string, order: EngineOrder): Promise<EngineState> {
    const response = await request(`${ordersUrl}/orders`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(order),
        signal: AbortSignal.timeout(orderTimeoutMs),
    });
    return await response.body.json() as EngineState;
}

/** Lists the members by rank; undefined unless every rank has a live instance. */
function listMembers(
    instances: InstanceRecord[],
    group: string,
    ranks: number,
): GenerationRecord["members"] | undefined {
    const members: GenerationRecord["members"] = [];
    for (let rank = 0; rank < ranks; rank++) {
        const found = instances.find(i => i.group === group && i.rank === rank && i.state === "live");
        if (found === undefined) {
            return undefined;
        }
        members.push({ instance: found.instance, url: found.url });
    }
    return members;
}

function pickMapInForce(engine: EngineState | undefined): Partial<MapStatus> {
    return engine === undefined ? {} : { generation: engine.generation, version: engine.version, step: engine.step };
}
