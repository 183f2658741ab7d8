/** Sends requests to upstreams as places come free, and turns away those that cannot be served in time. */
import type { ServingPool } from "../config/serving.js";
import {
    type CapacityShare,
    computeFreeCapacity,
    createCapacityShare,
    takeCredit,
    updateCredits,
} from "../routing/capacityShare.js";
import { type GroupTracker, isGroupOpen } from "../routing/groupTracker.js";
import { createPendingQueue, listPending, type PendingQueue, removeExpired } from "../routing/pendingQueue.js";
import { placeRequest } from "../routing/placement.js";
import { estimateRequests, type UpstreamTracker } from "../routing/upstreamTracker.js";
import type { Scheduler } from "./context.js";
import type { DirectDispatch } from "./directDispatch.js";

/** Time between two looks for places while requests wait, in milliseconds; a tenth of the time that figures are apart. */
const dispatchIntervalMs = 20;
/**
 * Requests beyond its slots that an engine's rank gets from callers whose target can still be met: a place comes free in
 * a fraction of the target. All others wait here, where the younger can go before them.
 */
const maxQueuedOnTime = 1;
/** The same for callers whose target has passed. */
const maxQueuedLate = 0;

export interface SchedulerOptions {
    upstreamTracker: UpstreamTracker;
    groupTracker: GroupTracker;
    dataCentre: string;
    now: () => number;
    random: () => number;
    findPool: (name: string) => ServingPool | undefined;
}

export interface DirectScheduler extends Scheduler {
    /** Looks for places for those that wait. */
    dispatchPending: () => void;
    /** Takes in that the lead has told new figures of the pool to that many entries. */
    updateCapacity: (pool: string, entries: number) => void;
}

/** Creates a scheduler with nobody waiting. */
export function createScheduler(options: SchedulerOptions): DirectScheduler {
    const pendingQueue: PendingQueue<DirectDispatch> = createPendingQueue();
    const capacityShares = new Map<string, CapacityShare>();
    let dispatchTimer: NodeJS.Timeout | undefined;

    const getCapacityShare = (pool: string) => {
        const share = capacityShares.get(pool) ?? createCapacityShare();
        capacityShares.set(pool, share);
        return share;
    };
    const trySend = (dispatch: DirectDispatch): boolean => {
        const { upstreamTracker: board, dataCentre, random, findPool, groupTracker: groups } = options;
        const { request } = dispatch;
        const now = options.now();
        const engine = findPool(request.pool)?.engine;
        if (engine !== undefined && !isGroupOpen(groups, request.pool, now)) {
            return false;
        }
        const maxQueued = dispatch.targetAt > now ? maxQueuedOnTime : maxQueuedLate;
        const maxRequests = engine === undefined ? Infinity : engine.slots + maxQueued;
        const placementOptions = { pool: request.pool, dataCentre, maxRequests };
        const upstream = placeRequest(board, { ...placementOptions, excluded: dispatch.getTriedUpstreams() }, now, random) ??
            placeRequest(board, { ...placementOptions, excluded: new Set() }, now, random);
        if (upstream === undefined || (engine !== undefined && !takeCredit(getCapacityShare(request.pool), now))) {
            return false;
        }
        dispatch.sendTo(upstream, estimateRequests(upstream, now));
        return true;
    };
    const dispatchPending = () => {
        const now = options.now();
        removeExpired(pendingQueue, now).forEach(dispatch => dispatch.expire());
        for (const dispatch of listPending(pendingQueue, now)) {
            if (pendingQueue.waiting.has(dispatch) && trySend(dispatch)) {
                pendingQueue.waiting.delete(dispatch);
            }
        }
        schedule();
    };
    const schedule = () => {
        clearTimeout(dispatchTimer);
        dispatchTimer = pendingQueue.waiting.size === 0 ? undefined : setTimeout(dispatchPending, dispatchIntervalMs);
    };
    const enqueue = (dispatch: DirectDispatch) => {
        if (dispatch.latestSendAt < options.now()) {
            dispatch.expire();
            return;
        }
        pendingQueue.waiting.add(dispatch);
        if (dispatchTimer === undefined) {
            schedule();
        }
    };
    return {
        place: dispatch => {
            if (!trySend(dispatch)) {
                enqueue(dispatch);
            }
        },
        enqueue: enqueue,
        remove: dispatch => {
            pendingQueue.waiting.delete(dispatch);
        },
        dispatchPending: dispatchPending,
        updateCapacity: (pool, entries) => {
            const engine = options.findPool(pool)?.engine;
            if (engine !== undefined) {
                const free = computeFreeCapacity(options.upstreamTracker, pool, engine.slots);
                updateCredits(getCapacityShare(pool), free, entries, options.now(), options.random());
            }
            dispatchPending();
        },
    };
}
