/**
 * Decides which requests wait while every upstream of their pool is limited: as many as the limits let through, so that
 * the others are rejected at once and return when it is their turn.
 */
import type { PendingRequest } from "./pendingQueue.js";

export interface AdmissionPace {
    /** Rate at which this entry expects to send, in requests per second; undefined until it is known. */
    ratePerSecond: number | undefined;
    /** Requests that may begin to wait now. */
    places: number;
    updatedAt: number;
    /** Time at which the next rejected caller may return, in milliseconds. */
    nextReturnAt: number;
}

/** Requests that may begin to wait at once: a number, and seconds of the rate. */
const burstRequests = 2;
const burstSeconds = 0.5;
/** Ratio of the requests that begin to wait to those that the rate lets through; some are not sent in time. */
const overcommitFactor = 1.15;
/** Share of its remaining time that a request is expected to wait at most. */
const timelyShare = 0.5;
/** Longest time after which a rejected caller is told to return, in milliseconds. */
const maxReturnMs = 10_000;

/** Creates a pace that admits everything until the rate is known. */
export function createAdmissionPace(now: number): AdmissionPace {
    return { ratePerSecond: undefined, places: 0, updatedAt: now, nextReturnAt: now };
}

/** Updates the rate. */
export function updatePace(pace: AdmissionPace, ratePerSecond: number, now: number): void {
    updatePlaces(pace, now);
    pace.ratePerSecond = ratePerSecond;
}

function computeCapacity({ ratePerSecond = 0 }: AdmissionPace): number {
    return burstRequests + ratePerSecond * burstSeconds;
}

function updatePlaces(pace: AdmissionPace, now: number): void {
    const refilled = pace.places + overcommitFactor * (pace.ratePerSecond ?? 0) * (now - pace.updatedAt) / 1000;
    pace.places = Math.min(computeCapacity(pace), refilled);
    pace.updatedAt = now;
}

/** A request that would begin to wait. */
export interface WaitingCandidate {
    /** Requests per second that are likely to come and would overtake it. */
    moreUrgentPerSecond: number;
    /** Number of waiting requests that would be sent before it. */
    position: number;
    /** Time until its latest send time, in milliseconds. */
    leftMs: number;
}

/**
 * Returns whether one more request may wait, and counts it if so: if it is likely to be sent in time, or the requests that
 * wait are fewer than the rate lets through. The rate is what requests that would overtake it leave.
 */
export function admitWaiting(pace: AdmissionPace, candidate: WaitingCandidate, now: number): boolean {
    if (pace.ratePerSecond === undefined) {
        return true;
    }
    updatePlaces(pace, now);
    const { moreUrgentPerSecond, position, leftMs } = candidate;
    const rate = pace.ratePerSecond - moreUrgentPerSecond;
    const isTimely = (position + 1) * 1000 <= rate * leftMs * timelyShare;
    const kept = Math.min(moreUrgentPerSecond * burstSeconds, computeCapacity(pace) - 1);
    if (rate <= 0 || (!isTimely && pace.places < 1 + kept)) {
        return false;
    }
    pace.places = Math.max(-1, pace.places - 1);
    return true;
}

/** Counts a request that was sent without waiting. */
export function recordDirectSend(pace: AdmissionPace, now: number): void {
    updatePlaces(pace, now);
    pace.places = Math.max(-1, pace.places - 1);
}

/** Lists the waiting requests that cannot be sent in time behind those before them; `waiting` is in the order of sending. */
export function listUnservable<T extends PendingRequest>(pace: AdmissionPace, waiting: T[], now: number): T[] {
    const { ratePerSecond } = pace;
    if (ratePerSecond === undefined) {
        return [];
    }
    let position = 0;
    return waiting.filter(({ latestSendAt }) => {
        const isLate = now + position * 1000 / ratePerSecond > latestSendAt;
        position += isLate ? 0 : 1;
        return isLate;
    });
}

/**
 * Computes after how many milliseconds a rejected caller should return: one caller each time the limits let one more
 * request through. `random` is in [0, 1).
 */
export function computeReturnMs(pace: AdmissionPace, now: number, random: number): number {
    const intervalMs = 1000 / Math.max(pace.ratePerSecond ?? 0, 1000 / maxReturnMs);
    pace.nextReturnAt = Math.max(pace.nextReturnAt, now) + intervalMs;
    if (pace.nextReturnAt > now + maxReturnMs) {
        pace.nextReturnAt = now + maxReturnMs;
        return maxReturnMs * (1 + random) / 2;
    }
    return pace.nextReturnAt - now;
}
