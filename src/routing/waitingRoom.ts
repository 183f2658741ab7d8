/**
 * Requests that wait at an entry because no upstream can take them now. Answers the load pattern in which a group of
 * ranks is down or full: requests that can still be served wait, the ones that can still meet their target go first,
 * and the ones that cannot be served in time are turned away at once.
 */

export interface WaitingRequest {
    /** Order of arrival. */
    readonly number: number;
    urgency: number;
    /** Time up to which an answer meets its target, in milliseconds. */
    targetAt: number;
    /** Latest time at which the request may still be sent, in milliseconds. */
    latestAt: number;
}

export interface WaitingRoom<T extends WaitingRequest> {
    waiting: Set<T>;
}

/** Creates an empty room. */
export function createWaitingRoom<T extends WaitingRequest>(): WaitingRoom<T> {
    return { waiting: new Set() };
}

/** Removes and returns the requests that can no longer be served. */
export function takeHopeless<T extends WaitingRequest>(room: WaitingRoom<T>, now: number): T[] {
    const hopeless = [...room.waiting].filter(({ latestAt }) => latestAt < now);
    hopeless.forEach(request => room.waiting.delete(request));
    return hopeless;
}

/** Lists the waiting requests in the order in which they should be sent. */
export function listWaiting<T extends WaitingRequest>(room: WaitingRoom<T>, now: number): T[] {
    return [...room.waiting].sort((a, b) => compareWaiting(a, b, now));
}

/** Requests that can still meet their target go first, then by urgency, then the younger, which has more time left. */
export function compareWaiting(a: WaitingRequest, b: WaitingRequest, now: number): number {
    return Number(a.targetAt < now) - Number(b.targetAt < now) || a.urgency - b.urgency || b.number - a.number;
}
