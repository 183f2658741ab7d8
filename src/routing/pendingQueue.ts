/**
 * Requests that wait at an entry because no upstream can take them now. Answers the load pattern in which a group of
 * ranks is down or full: requests that can still be served wait, the ones that can still meet their target go first,
 * and the ones that cannot be served in time are turned away at once.
 */

export interface PendingRequest {
    /** Order of arrival. */
    readonly arrivalNumber: number;
    urgency: number;
    /** Time up to which an answer meets its target, in milliseconds. */
    targetAt: number;
    /** Latest time at which the request may still be sent, in milliseconds. */
    latestSendAt: number;
}

export interface PendingQueue<T extends PendingRequest> {
    waiting: Set<T>;
}

/** Creates an empty room. */
export function createPendingQueue<T extends PendingRequest>(): PendingQueue<T> {
    return { waiting: new Set() };
}

/** Removes and returns the requests that can no longer be served. */
export function removeExpired<T extends PendingRequest>(queue: PendingQueue<T>, now: number): T[] {
    const expired = [...queue.waiting].filter(({ latestSendAt: latestAt }) => latestAt < now);
    expired.forEach(request => queue.waiting.delete(request));
    return expired;
}

/** Lists the waiting requests in the order in which they should be sent. */
export function listPending<T extends PendingRequest>(queue: PendingQueue<T>, now: number): T[] {
    return [...queue.waiting].sort((a, b) => comparePending(a, b, now));
}

/** Requests that can still meet their target go first, then by urgency, then the younger, which has more time left. */
export function comparePending(a: PendingRequest, b: PendingRequest, now: number): number {
    return Number(a.targetAt < now) - Number(b.targetAt < now) || a.urgency - b.urgency ||
        b.arrivalNumber - a.arrivalNumber;
}
