/**
 * Log positions (how far a process has read each topic of the log store, and how long ago that was the end) that
 * processes exchange in heartbeats, and the choice of a peer to fetch missing records from.
 */
import { type Feed, FeedTopic } from "../peers/feed.js";
import type { LogPositions } from "../peers/heartbeat.js";

/** Age that is sent if a topic's mirror was never up to date, in milliseconds; also the upper bound of sent ages. */
const maxPositionAgeMs = 1e9;

/** Computes the log positions of this process; `now` is in milliseconds. */
export function computeLogPositions({ state, getVerifiedAt }: Feed, now: number): LogPositions {
    const computeAge = (topic: FeedTopic) => Math.min(maxPositionAgeMs, Math.round(now - getVerifiedAt(topic)));
    const { documentEnd, listEnd, quarantineEnd } = state;
    return {
        document: [documentEnd, computeAge(FeedTopic.document)],
        list: [listEnd, computeAge(FeedTopic.list)],
        quarantine: quarantineEnd === undefined ? undefined : [quarantineEnd, computeAge(FeedTopic.quarantine)],
    };
}

/** Records the log positions of `peer`, the host of another process. */
export function recordPeerPositions(feed: Feed, { document, list, quarantine }: LogPositions, peer: string): void {
    feed.recordPeerPosition(FeedTopic.document, ...document, peer);
    feed.recordPeerPosition(FeedTopic.list, ...list, peer);
    if (quarantine !== undefined) {
        feed.recordPeerPosition(FeedTopic.quarantine, ...quarantine, peer);
    }
}

/** Picks a random peer; undefined if there are none. `random` returns a number in [0, 1). */
export function pickPeer<T>(peers: T[], random: () => number): T | undefined {
    return peers[Math.floor(random() * peers.length)];
}
