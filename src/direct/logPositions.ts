/** How far processes have read the log: what they tell each other, and whom they ask for what they lack. */
import { type Feed, FeedTopic } from "../peers/feed.js";
import type { LogPositions } from "../peers/heartbeat.js";

/** Age that stands for knowledge that was never current, in milliseconds. */
const neverMs = 1e9;

/** Computes this process's positions. */
export function computePositions({ state, getVerifiedAt: getFreshAt }: Feed, now: number): LogPositions {
    const age = (topic: FeedTopic) => Math.min(neverMs, Math.round(now - getFreshAt(topic)));
    return {
        document: [state.documentEnd, age(FeedTopic.document)],
        list: [state.listEnd, age(FeedTopic.list)],
    };
}

/** Takes in a peer's positions. */
export function notePositions(feed: Feed, { document, list }: LogPositions): void {
    feed.recordPeerPosition(FeedTopic.document, ...document);
    feed.recordPeerPosition(FeedTopic.list, ...list);
}

/** Picks one of the peers; undefined when there is none. */
export function pickPeer<T>(peers: T[], random: () => number): T | undefined {
    return peers[Math.floor(random() * peers.length)];
}
