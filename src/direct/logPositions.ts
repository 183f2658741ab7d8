/** How far processes have read the log: what they tell each other, and whom they ask for what they lack. */
import { type Feed, FeedTopic } from "../peers/feed.js";
import type { LogPositions } from "../peers/heartbeat.js";

/** Age that stands for knowledge that was never current, in milliseconds. */
const maxPositionAgeMs = 1e9;

/** Computes this process's positions. */
export function computeLogPositions({ state, getVerifiedAt: getVerifiedAt }: Feed, now: number): LogPositions {
    const computeAge = (topic: FeedTopic) => Math.min(maxPositionAgeMs, Math.round(now - getVerifiedAt(topic)));
    return {
        document: [state.documentEnd, computeAge(FeedTopic.document)],
        list: [state.listEnd, computeAge(FeedTopic.list)],
    };
}

/** Takes in a peer's positions. */
export function recordPeerPositions(feed: Feed, { document, list }: LogPositions): void {
    feed.recordPeerPosition(FeedTopic.document, ...document);
    feed.recordPeerPosition(FeedTopic.list, ...list);
}

/** Picks one of the peers; undefined when there is none. */
export function pickPeer<T>(peers: T[], random: () => number): T | undefined {
    return peers[Math.floor(random() * peers.length)];
}
