/**
 * Helpers that entries and slots of the direct path share: heartbeats, calls between peers, hand-overs (log records
 * that one process sends to a peer that lacks them) and reloaded settings.
 */
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import type { Logger } from "../observe/logger.js";
import type { Feed, PeerRecords } from "../peers/feed.js";
import { createHandOver, handOverMethod, type HandOverParams } from "../peers/handOver.js";
import { decodeHeartbeat, type Heartbeat } from "../peers/heartbeat.js";
import { bindDatagramSocket, type DatagramSocket } from "../wire/datagrams.js";
import type { Address } from "../wire/listen.js";
import { callPeer, createPeerHandler, type PeerMethods } from "../wire/peerRpc.js";
import { recordPeerPositions } from "./logPositions.js";

/** Time until a hand-over must begin, and longest pause within it, in milliseconds. */
const handOverTimeoutMs = 600;

/**
 * Fetches the log records that `peer` has after the offsets in `params`. Resolves with undefined if `peer` is undefined;
 * rejects if the call fails.
 */
export async function fetchHandOver(
    peer: Address | undefined,
    params: HandOverParams,
): Promise<PeerRecords | undefined> {
    return peer === undefined ?
        undefined :
        await callPeer<PeerRecords>({
            ...peer,
            method: handOverMethod,
            params,
            timeoutMs: handOverTimeoutMs,
            stallTimeoutMs: handOverTimeoutMs,
        });
}

/**
 * Binds the socket for heartbeats. Records the log positions of each heartbeat in the feed before `onHeartbeat` is
 * called; counts send failures by error code.
 */
export function bindHeartbeatSocket(
    address: Address,
    feed: Feed,
    failures: DirectEntryMetrics["sendFailures"],
    onHeartbeat: (heartbeat: Heartbeat) => void,
): Promise<DatagramSocket> {
    return bindDatagramSocket(address, bytes => {
        const heartbeat = decodeHeartbeat(bytes);
        if (heartbeat !== undefined) {
            const peer = heartbeat.kind === "presence" ? heartbeat.host : heartbeat.from;
            recordPeerPositions(feed, heartbeat.positions, peer);
            onHeartbeat(heartbeat);
        }
    }, error => failures.inc({ code: (error as NodeJS.ErrnoException).code ?? "unknown" }));
}

/** Creates the handler of the internal address: serves hand-overs and `methods`, and metrics on any other request. */
export function createInternalHandler(
    feed: Feed,
    registry: { metrics: () => Promise<string>; },
    methods: PeerMethods = {},
): ReturnType<typeof createPeerHandler> {
    return createPeerHandler({
        [handOverMethod]: (params: HandOverParams) => createHandOver(feed.state, params),
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
