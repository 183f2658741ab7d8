/**
 * Helpers that entries and slots of the direct path share: heartbeats, calls between peers, hand-overs (log records
 * that one process sends to a peer that lacks them) and reloaded settings.
 */
import { z } from "zod/mini";
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import type { Feed, PeerRecords } from "../peers/feed.js";
import {
    createHandOver,
    decodeHandOver,
    handOverMethod,
    type HandOverParams,
    type HandOverResult,
    parseHandOverParams,
} from "../peers/handOver.js";
import { decodeDatagram, type Heartbeat } from "../peers/heartbeat.js";
import type { PermitGrantMessage, PermitRequestMessage } from "../peers/permitMessages.js";
import type { CallerMemory } from "../wire/callerMemory.js";
import { bindDatagramSocket, type DatagramSocket } from "../wire/datagrams.js";
import type { Address } from "../wire/listen.js";
import { callPeer, createPeerHandler, type PeerMethods } from "../wire/peerRpc.js";
import { recordPeerPositions } from "./logPositions.js";
import type { PendingRecord } from "./quarantineSharing.js";
import { createTransitDelays } from "./transitDelay.js";

/** Time until a hand-over must begin, and longest pause within it, in milliseconds. */
const handOverTimeoutMs = 600;

/** Records that a peer has, and quarantine records that the log has not accepted yet. */
export type HandOver = PeerRecords & PendingQuarantine;
interface PendingQuarantine {
    pendingQuarantine?: PendingRecord[];
}

/** Maximum length of a record's key in the log, in bytes. */
const maxKeyBytes = 255;
const PendingRecordsSchema = z.object({
    records: z.array(z.object({
        key: z.string().check(z.refine(key => key !== "" && Buffer.byteLength(key) <= maxKeyBytes)),
        value: z.optional(z.string()),
    })),
});

/** RPC method that passes quarantine records to a process that may reach the log. */
export const quarantineMethod = "quarantine";
/** Timeout of a call that passes quarantine records, in milliseconds. */
const quarantineTimeoutMs = 600;

/** Passes quarantine records to peers; failures are ignored, as the sender keeps trying to append the records. */
export function relayQuarantine(peers: Address[], records: PendingRecord[]): void {
    for (const peer of peers) {
        callPeer({ ...peer, method: quarantineMethod, params: { records }, timeoutMs: quarantineTimeoutMs })
            .catch(() => undefined);
    }
}

/**
 * Fetches the log records that `peer` has after the offsets in `params`. Resolves with undefined if `peer` is undefined;
 * rejects if the call fails.
 */
export async function fetchHandOver(
    peer: Address | undefined,
    params: HandOverParams,
): Promise<HandOver | undefined> {
    if (peer === undefined) {
        return undefined;
    }
    const result = await callPeer<HandOverResult & PendingQuarantine>({
        ...peer,
        method: handOverMethod,
        params,
        timeoutMs: handOverTimeoutMs,
        stallTimeoutMs: handOverTimeoutMs,
    });
    const { pendingQuarantine = [] } = result;
    return { ...decodeHandOver(result), pendingQuarantine: parsePendingRecords({ records: pendingQuarantine }) };
}

/** Parses the parameters of a call that passes quarantine records; throws if they are invalid. */
export function parsePendingRecords(params: unknown): PendingRecord[] {
    return PendingRecordsSchema.parse(params).records;
}

/** Fetches the quarantine records of `peer` that the log has not accepted yet; rejects if the call fails. */
export async function fetchPendingQuarantine(peer: Address): Promise<PendingRecord[]> {
    const handOver = await fetchHandOver(peer, {});
    return handOver?.pendingQuarantine ?? [];
}

/** Receives the datagrams of other processes; `delayMs` is the time that one was under way beyond the usual time. */
export interface DatagramListener {
    /** Called with what the other functions throw; the datagram is dropped. */
    reportFault: FaultReporter;
    onHeartbeat: (heartbeat: Heartbeat, delayMs: number) => void;
    onPermitMessage?: (message: PermitRequestMessage | PermitGrantMessage, delayMs: number) => void;
}

/**
 * Binds the socket for datagrams. Records the log positions of each heartbeat in the feed before the listener is called;
 * counts send failures by error code.
 */
export function bindDatagrams(
    address: Address,
    feed: Feed,
    failures: DirectEntryMetrics["sendFailures"],
    listener: DatagramListener,
): Promise<DatagramSocket> {
    const delays = createTransitDelays(() => performance.now());
    const receive = containFaults(listener.reportFault, (bytes: Buffer) => {
        const datagram = decodeDatagram(bytes);
        if (datagram === undefined) {
            return;
        }
        if (datagram.kind === "permit-request" || datagram.kind === "permit-grant") {
            listener.onPermitMessage?.(datagram, delays.measure(datagram.from, datagram.sentAt));
            return;
        }
        const peer = datagram.kind === "presence" ? datagram.host : datagram.from;
        listener.onHeartbeat(datagram, recordPeerPositions(feed, datagram.positions, peer, delays));
    });
    const countFailure = (error: Error) => failures.inc({ code: (error as NodeJS.ErrnoException).code ?? "unknown" });
    return bindDatagramSocket(address, receive, countFailure);
}

export interface InternalHandlerOptions {
    /** Memory that all servers of the process share. */
    memory: CallerMemory;
    /** Returns the quarantine records that the log has not accepted yet. */
    listPending?: () => PendingRecord[];
}

/** Creates the handler of the internal address: serves hand-overs and `methods`, and metrics on any other request. */
export function createInternalHandler(
    feed: Feed,
    registry: { metrics: () => Promise<string>; },
    methods: PeerMethods,
    { memory, listPending = () => [] }: InternalHandlerOptions,
): ReturnType<typeof createPeerHandler> {
    return createPeerHandler(memory, {
        [handOverMethod]: (params: unknown): HandOverResult & PendingQuarantine => ({
            ...createHandOver(feed, parseHandOverParams(params), performance.now()),
            pendingQuarantine: listPending(),
        }),
        ...methods,
    }, (message, response) => void registry.metrics().then(text => response.end(text)));
}

/** Creates the handlers of settings that are reloaded while the process runs; changes are written to `options`. */
export function createSettingsHandlers<T extends object>(
    options: T,
    logger: Logger,
): { applySettings: (changes: Partial<T>) => void; handleInvalidSettings: (error: Error) => void; } {
    return {
        applySettings: changes => {
            Object.assign(options, changes);
            logger.info("The settings have changed.", changes);
        },
        handleInvalidSettings: error => logger.error("The changed settings are left out.", { error: error.message }),
    };
}
