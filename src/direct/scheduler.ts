/**
 * Sends the queued requests of an entry to upstreams as capacity becomes free, and expires those that cannot be served
 * in time.
 */
import type { ServingPool } from "../config/serving.js";
import { containFaults, type FaultReporter } from "../observe/faults.js";
import {
    type CapacityShare,
    computeFreeCapacity,
    createCapacityShare,
    takeCredit,
    updateCredits,
} from "../routing/capacityShare.js";
import { estimateOpenAt, type GroupTracker, isGroupOpen } from "../routing/groupTracker.js";
import {
    compareLimited,
    createPendingQueue,
    listPending,
    type PendingQueue,
    removeExpired,
} from "../routing/pendingQueue.js";
import { placeRequest } from "../routing/requestPlacement.js";
import { recordNoticedSend } from "../routing/upstreamNotices.js";
import {
    estimateRequests,
    estimateSendableAt,
    isPoolRefusing,
    type TrackedUpstream,
    type UpstreamTracker,
} from "../routing/upstreamTracker.js";
import type { Scheduler } from "./context.js";
import type { DirectDispatch } from "./directDispatch.js";
import type { NoticeRecorder } from "./noticeRecorder.js";
import type { RateLimiter } from "./rateLimiter.js";

/** Interval at which queued requests are tried again, in milliseconds; a tenth of the interval of the load reports. */
const dispatchIntervalMs = 20;
/**
 * Maximum number of requests queued at an engine's rank, beyond its slots, for a request whose latency target can still
 * be met: a slot becomes free in a fraction of the target. Others wait in the entry's queue, where newer requests can
 * overtake them.
 */
const maxQueuedOnTime = 1;
/** The same limit for a request whose target has passed. */
const maxQueuedLate = 0;

export interface SchedulerOptions {
    upstreamTracker: UpstreamTracker;
    groupTracker: GroupTracker;
    dataCentre: string;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Returns a random number in [0, 1). */
    random: () => number;
    findPool: (name: string) => ServingPool | undefined;
    /** Whether a connection to an upstream may be opened. */
    hasUpstreamRoom: () => boolean;
    /** Time for which callers may still send requests after an upstream has said that it leaves, in milliseconds. */
    drainMs: number;
    noticeRecorder: Pick<NoticeRecorder, "listApplied">;
    /** Called with what a step of dispatching the queue throws; the other steps go on. */
    reportFault: FaultReporter;
    rateLimiter: Pick<
        RateLimiter,
        | "getAdmission"
        | "takePermit"
        | "isPoolLimited"
        | "admitWaiting"
        | "listUnservable"
        | "requestPermits"
        | "listApplied"
    >;
}

export interface DirectScheduler extends Scheduler {
    /** Expires queued requests that are too late, and sends those for which there is capacity. */
    dispatchPending: () => void;
    /**
     * Updates this entry's share of the pool's free capacity after a load report that the leader sent to `entries`
     * entries, then dispatches the queued requests.
     */
    updateCapacity: (pool: string, entries: number) => void;
    /** Lists the queued requests of a pool in the order in which they should be sent. */
    listWaiting: (pool: string) => DirectDispatch[];
}

/** Creates a scheduler with an empty queue. */
export function createScheduler(options: SchedulerOptions): DirectScheduler {
    const pendingQueue: PendingQueue<DirectDispatch> = createPendingQueue();
    const capacityShares = new Map<string, CapacityShare>();
    let dispatchTimer: NodeJS.Timeout | undefined;

    const getCapacityShare = (pool: string) => {
        const share = capacityShares.get(pool) ?? createCapacityShare();
        capacityShares.set(pool, share);
        return share;
    };
    /**
     * Sends a request if possible; returns whether it does not have to wait. That is also the case if it needs no run any more:
     * whatever it has waited for, it may have ended or gone on with a run that was held.
     */
    const trySend = (dispatch: DirectDispatch): boolean => {
        try {
            return !dispatch.needsRun() || sendIfPossible(dispatch);
        }
        catch (error) {
            dispatch.endWithFault(error as Error);
            return true;
        }
    };
    const sendIfPossible = (dispatch: DirectDispatch): boolean => {
        const { upstreamTracker, dataCentre, random, findPool, groupTracker, rateLimiter } = options;
        const { request } = dispatch;
        if (dispatch.endIfQuarantined()) {
            return true;
        }
        const now = options.now();
        const engine = findPool(request.pool)?.engine;
        if ((engine !== undefined && !isGroupOpen(groupTracker, request.pool, now)) || !options.hasUpstreamRoom()) {
            return false;
        }
        const maxQueued = dispatch.targetAt > now ? maxQueuedOnTime : maxQueuedLate;
        const maxRequests = engine === undefined ? Infinity : engine.slots + maxQueued;
        const getAdmission = ({ record }: TrackedUpstream) => rateLimiter.getAdmission(record);
        const leaving = { receivedAt: request.receivedAt, drainMs: options.drainMs };
        const placementOptions = { pool: request.pool, dataCentre, maxRequests, getAdmission, leaving };
        dispatch.notices = options.noticeRecorder.listApplied(request.pool);
        dispatch.rateLimits = rateLimiter.listApplied(request.pool);
        const upstream = placeRequest(
            upstreamTracker,
            { ...placementOptions, excluded: dispatch.getTriedUpstreams() },
            now,
            random,
        ) ??
            placeRequest(upstreamTracker, { ...placementOptions, excluded: new Set() }, now, random);
        if (upstream === undefined || (engine !== undefined && !takeCredit(getCapacityShare(request.pool), now))) {
            return false;
        }
        rateLimiter.takePermit(upstream.record, pendingQueue.waiting.has(dispatch));
        recordNoticedSend(upstreamTracker.notices, upstream.record, now);
        dispatch.sendTo(upstream, estimateRequests(upstream, now));
        return true;
    };
    const listWaiting = (pool: string) => {
        const waiting = listPending(pendingQueue, options.now()).filter(({ request }) => request.pool === pool);
        return options.rateLimiter.isPoolLimited(pool) ? waiting.sort(compareLimited) : waiting;
    };
    const listPools = () => [...new Set([...pendingQueue.waiting].map(({ request }) => request.pool))];
    const contain = <Args extends unknown[]>(step: (...args: Args) => void) => containFaults(options.reportFault, step);
    const dispatchPending = () => {
        expireLate();
        listPools().forEach(sendWaiting);
        listPools().forEach(rejectUnservable);
        schedule();
    };
    const expireLate = contain(() =>
        removeExpired(pendingQueue, options.now(), getEarliestSendAt).forEach(dispatch => dispatch.expire())
    );
    const sendWaiting = contain((pool: string) => {
        for (const dispatch of listWaiting(pool)) {
            if (pendingQueue.waiting.has(dispatch) && trySend(dispatch)) {
                pendingQueue.waiting.delete(dispatch);
            }
        }
    });
    const rejectUnservable = contain((pool: string) => {
        for (const dispatch of options.rateLimiter.listUnservable(pool, listWaiting(pool))) {
            pendingQueue.waiting.delete(dispatch);
            dispatch.expire();
        }
    });
    const schedule = () => {
        clearTimeout(dispatchTimer);
        dispatchTimer = pendingQueue.waiting.size === 0 ? undefined : setTimeout(dispatchPending, dispatchIntervalMs);
    };
    /**
     * Returns the earliest time at which a request can be sent, in milliseconds: later than now while its group is broken or
     * all upstreams ask for a pause, Infinity if all of them leave or refuse connections.
     */
    const getEarliestSendAt = ({ request: { pool, receivedAt } }: DirectDispatch) => {
        const now = options.now();
        const isGroup = options.findPool(pool)?.engine !== undefined;
        const openAt = (isGroup ? estimateOpenAt(options.groupTracker, pool, now) : undefined) ?? now;
        const { upstreamTracker, drainMs } = options;
        if (isPoolRefusing(upstreamTracker, pool, now)) {
            return Infinity;
        }
        return Math.max(openAt, estimateSendableAt(upstreamTracker, pool, now, { receivedAt, drainMs }));
    };
    const enqueue = (dispatch: DirectDispatch) => {
        if (dispatch.latestSendAt < getEarliestSendAt(dispatch)) {
            dispatch.expire();
            return;
        }
        const { pool } = dispatch.request;
        options.rateLimiter.admitWaiting(pool, dispatch, listWaiting(pool));
        pendingQueue.waiting.add(dispatch);
        options.rateLimiter.requestPermits();
        if (dispatchTimer === undefined) {
            schedule();
        }
    };
    const place = (dispatch: DirectDispatch) => {
        if (!trySend(dispatch)) {
            enqueue(dispatch);
        }
    };
    return {
        place,
        placeAfter: (dispatch, check) => {
            if (check === undefined) {
                place(dispatch);
                return;
            }
            check.then(() => place(dispatch)).catch((error: Error) => dispatch.endWithFault(error));
        },
        enqueue,
        remove: dispatch => {
            pendingQueue.waiting.delete(dispatch);
        },
        dispatchPending,
        listWaiting,
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
