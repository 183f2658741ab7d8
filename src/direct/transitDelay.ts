/**
 * Estimates how long a message was under way beyond the usual time: waiting on a saturated link, or in a process that was
 * suspended. The clocks of two processes differ by an unknown constant, so only the difference between messages counts.
 */

export interface TransitDelays {
    /**
     * Returns the delay of a message of `peer` beyond the shortest one lately, in milliseconds. `sentAt` is the time of the
     * peer's clock.
     */
    measure: (peer: string, sentAt: number) => number;
}

interface PeerDelays {
    /** Smallest differences between both clocks in the current and the previous period, in milliseconds. */
    current: number;
    previous: number;
    /** End of the current period, in milliseconds. */
    endsAt: number;
}

/** Length of a period, in milliseconds; longer than links stay saturated. */
const periodMs = 30_000;

/** Creates the estimates, without peers; `now` returns the time of this process's clock in milliseconds. */
export function createTransitDelays(now: () => number): TransitDelays {
    const delaysByPeer = new Map<string, PeerDelays>();
    const advancePeriod = (known: PeerDelays): PeerDelays => ({
        current: Infinity,
        previous: known.current,
        endsAt: now() + periodMs,
    });
    return {
        measure: (peer, sentAt) => {
            const difference = now() - sentAt;
            const known = delaysByPeer.get(peer) ?? { current: Infinity, previous: Infinity, endsAt: now() + periodMs };
            const delays = now() >= known.endsAt ? advancePeriod(known) : known;
            delays.current = Math.min(delays.current, difference);
            delaysByPeer.set(peer, delays);
            return difference - Math.min(delays.current, delays.previous);
        },
    };
}
