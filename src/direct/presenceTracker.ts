/** Tracks which entries have sent a presence heartbeat lately. */

export interface PresenceTracker {
    /** Records a heartbeat of the entry at `host`. */
    record: (host: string) => void;
    /** Lists the hosts whose last heartbeat is not too old. */
    list: () => string[];
}

/** Creates a tracker without entries; a heartbeat counts for `maxAgeMs` milliseconds of the clock `now`. */
export function createPresenceTracker(maxAgeMs: number, now: () => number): PresenceTracker {
    const heartbeatTimes = new Map<string, number>();
    return {
        record: host => heartbeatTimes.set(host, now()),
        list: () => {
            heartbeatTimes.forEach((time, host) => now() - time > maxAgeMs && heartbeatTimes.delete(host));
            return [...heartbeatTimes.keys()];
        },
    };
}
