/** What entries and slots share to talk to each other: datagrams, calls, hand-overs, and changed settings. */
import type { Logger } from "../observe/logger.js";
import type { ServingMetrics } from "../observe/servingMetrics.js";
import type { Feed, PeerRecords } from "../peers/feed.js";
import { createHandOver, handOverMethod, type HandOverParams } from "../peers/handOver.js";
import { decodeHeartbeat, type Heartbeat } from "../peers/heartbeat.js";
import { bindDatagramSocket, type DatagramSocket } from "../wire/datagrams.js";
import type { Address } from "../wire/listen.js";
import { callPeer, createPeerHandler, type PeerMethods } from "../wire/peerRpc.js";
import { recordPeerPositions } from "./logPositions.js";

/** Time for a hand-over, in milliseconds; a document of some hundred kilobytes over a narrow link. */
const handOverTimeoutMs = 600;

/** Fetches what `peer` has beyond the offsets; resolves without a result when there is no peer. */
export async function fetchHandOver(
    peer: Address | undefined,
    params: HandOverParams,
): Promise<PeerRecords | undefined> {
    return peer === undefined ?
        undefined :
        await callPeer<PeerRecords>({ ...peer, method: handOverMethod, params, timeoutMs: handOverTimeoutMs });
}

/** Binds the socket for beacons; their positions go to the feed before `onBeacon` gets them. */
export function bindHeartbeatSocket(
    address: Address,
    feed: Feed,
    failures: ServingMetrics["sendFailures"],
    onHeartbeat: (beacon: Heartbeat) => void,
): Promise<DatagramSocket> {
    return bindDatagramSocket(address, bytes => {
        const heartbeat = decodeHeartbeat(bytes);
        if (heartbeat !== undefined) {
            recordPeerPositions(feed, heartbeat.positions);
            onHeartbeat(heartbeat);
        }
    }, error => failures.inc({ code: (error as NodeJS.ErrnoException).code ?? "unknown" }));
}

/** Creates the handler of the internal address: hand-overs, the process's own methods, and metrics for anything else. */
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

/** Creates the handlers of settings that change while the process runs. */
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
