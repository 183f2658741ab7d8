/**
 * Queue of the requests that wait at an entry because no upstream has capacity, for example while a group of ranks is
 * down. Requests that can still meet their latency target are sent first; requests that can no longer be served before
 * their deadline are removed, so that they can be refused at once.
 */

export interface PendingRequest {
    /** Increases with each arrival. */
    readonly arrivalNumber: number;
    /** Lower is more urgent. */
    urgency: number;
    /** Time up to which a response meets the latency target, in milliseconds. */
    targetAt: number;
    /** Latest time at which the request may still be sent, in milliseconds. */
    latestSendAt: number;
}

export interface PendingQueue<T extends PendingRequest> {
    waiting: Set<T>;
}

/** Creates an empty queue. */
export function createPendingQueue<T extends PendingRequest>(): PendingQueue<T> {
    return { waiting: new Set() };
}

/** Removes and returns the requests whose latest send time is before the earliest one, which is `now` by default. */
export function removeExpired<T extends PendingRequest>(
    queue: PendingQueue<T>,
    now: number,
    getEarliestSendAt: (request: T) => number = () => now,
): T[] {
    const expired = [...queue.waiting].filter(request => request.latestSendAt < getEarliestSendAt(request));
    expired.forEach(request => queue.waiting.delete(request));
    return expired;
}

/** Lists the waiting requests in the order in which they should be sent. */
export function listPending<T extends PendingRequest>(queue: PendingQueue<T>, now: number): T[] {
    return [...queue.waiting].sort((a, b) => comparePending(a, b, now));
}

/**
 * Orders requests that can still meet their target first, then by urgency, then newest first: they have more time left.
 */
export function comparePending(a: PendingRequest, b: PendingRequest, now: number): number {
    return Number(a.targetAt < now) - Number(b.targetAt < now) || a.urgency - b.urgency ||
        b.arrivalNumber - a.arrivalNumber;
}

/**
 * Orders requests of a pool whose upstreams are all limited: by urgency, then oldest first, as only as many wait as can be
 * sent.
 */
export function compareLimited(a: PendingRequest, b: PendingRequest): number {
    return a.urgency - b.urgency || a.arrivalNumber - b.arrivalNumber;
}
