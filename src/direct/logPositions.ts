/**
 * Log positions (how far a process has read each topic of the log store, and how long ago that was the end) that
 * processes exchange in heartbeats, and the choice of a peer to fetch missing records from.
 */
import { type Feed, FeedTopic } from "../peers/feed.js";
import type { LogPositions } from "../peers/heartbeat.js";
import { decodeLogPosition, encodeLogPosition } from "../peers/logPosition.js";
import type { TransitDelays } from "./transitDelay.js";

/** Age that is sent if a topic's mirror was never up to date, in milliseconds; also the upper bound of sent ages. */
const maxPositionAgeMs = 1e9;

/** Computes the log positions of this process; `now` is in milliseconds. */
export function computeLogPositions({ state, getVerifiedAt }: Feed, now: number): LogPositions {
    const createPosition = (topic: FeedTopic, end: number): LogPositions["list"] => [
        encodeLogPosition(end),
        Math.min(maxPositionAgeMs, Math.round(now - getVerifiedAt(topic))),
    ];
    const { documentEnd, listEnd, quarantineEnd } = state;
    return {
        document: createPosition(FeedTopic.document, documentEnd),
        list: createPosition(FeedTopic.list, listEnd),
        quarantine: quarantineEnd === undefined ? undefined : createPosition(FeedTopic.quarantine, quarantineEnd),
        sentAt: Math.round(performance.timeOrigin + now),
    };
}

/**
 * Records the log positions of `peer`, the host of another process. Their ages are those at the time of sending; the time
 * under way is added to them, and returned in milliseconds.
 */
export function recordPeerPositions(feed: Feed, positions: LogPositions, peer: string, delays: TransitDelays): number {
    const { document, list, quarantine, sentAt } = positions;
    const delayMs = sentAt === undefined ? 0 : delays.measure(peer, sentAt);
    const recordPosition = (topic: FeedTopic, [end, ageMs]: LogPositions["list"]) =>
        feed.recordPeerPosition(topic, decodeLogPosition(end), ageMs + delayMs, peer);
    recordPosition(FeedTopic.document, document);
    recordPosition(FeedTopic.list, list);
    if (quarantine !== undefined) {
        recordPosition(FeedTopic.quarantine, quarantine);
    }
    return delayMs;
}

/** Picks a random peer; undefined if there are none. `random` returns a number in [0, 1). */
export function pickPeer<T>(peers: T[], random: () => number): T | undefined {
    return peers[Math.floor(random() * peers.length)];
}
