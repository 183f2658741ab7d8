/**
 * Collects the quarantine records that the log has not accepted yet: only running processes hold them, so an entry that
 * starts has to ask for them before it knows the quarantine.
 */
import type { Address } from "../wire/listen.js";
import { isRefused } from "./crashMonitor.js";
import type { PendingRecord } from "./quarantineSharing.js";

export interface PendingCollectionOptions {
    peers: Address[];
    /** Fetches the records that a peer holds; rejects if it does not respond. */
    fetchPending: (peer: Address) => Promise<PendingRecord[]>;
    accept: (records: PendingRecord[]) => void;
    /** Whether to stop asking peers that have not responded. */
    isExpired: () => boolean;
    /** Returns whether a connection is refused; replaced in tests. */
    checkRefused?: (address: Address) => Promise<boolean>;
}

/** Pause before peers of which none has responded are asked again, in milliseconds. */
const retryMs = 200;

const PeerOutcome = { responded: "responded", notRunning: "not-running", silent: "silent" } as const;
type PeerOutcome = (typeof PeerOutcome)[keyof typeof PeerOutcome];

/**
 * Asks all peers at once, again while none has responded. Resolves when one has, when none of them is running, or when
 * the time has expired.
 */
export async function collectPendingRecords(options: PendingCollectionOptions): Promise<void> {
    while (!options.isExpired()) {
        const outcomes = await Promise.all(options.peers.map(peer => askPeer(options, peer)));
        if (outcomes.includes(PeerOutcome.responded) || !outcomes.includes(PeerOutcome.silent)) {
            return;
        }
        await new Promise(resolve => setTimeout(resolve, retryMs));
    }
}

async function askPeer(
    { fetchPending, accept, checkRefused = isRefused }: PendingCollectionOptions,
    peer: Address,
): Promise<PeerOutcome> {
    try {
        accept(await fetchPending(peer));
        return PeerOutcome.responded;
    }
    catch {
        return await checkRefused(peer) ? PeerOutcome.notRunning : PeerOutcome.silent;
    }
}
