/**
 * Keeps the requests of one entry within the rate limits that upstreams name: learns the limits from responses and other
 * entries, obtains permits from the coordinator, and grants permits to other entries while it is their coordinator.
 */
import { containFaults, type FaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import type { UpstreamRecord } from "../peers/mirror.js";
import type { PermitGrantMessage, PermitRequestMessage, TableVersion } from "../peers/permitMessages.js";
import {
    type AdmissionPace,
    admitWaiting,
    computeReturnMs,
    createAdmissionPace,
    listUnservable,
    recordDirectSend,
    updatePace,
} from "../routing/admissionPace.js";
import { compareLimited, type PendingRequest } from "../routing/pendingQueue.js";
import {
    computeDemand,
    createDemandMeter,
    type DemandMeter,
    recordArrival,
    sumArrivals,
} from "../routing/permitDemand.js";
import {
    applyGrant,
    computeOwnRate,
    createPermitHolder,
    getReportedEntryCount,
    hasPermit,
    listDueRequests,
    type PermitHolder,
    PermitRequestKind,
    recordProbeResponse,
    recordRelease,
    setSeeds,
    shrinkPermits,
    takePermit,
    takeUnusedPermits,
} from "../routing/permitHolder.js";
import {
    allocatePermits,
    countKnownEntries,
    createPermitPool,
    type PermitGrant,
    type PermitRequest,
    recordMember,
    releaseMember,
} from "../routing/permitPool.js";
import {
    computeAllowedRate,
    createRateLimitTable,
    listLimitsSince,
    observeRateLimit,
    type RateLimit,
    type RateLimitObservation,
    removeEndedLimits,
} from "../routing/rateLimitTable.js";
import { listCandidates, UpstreamAdmission, type UpstreamTracker } from "../routing/upstreamTracker.js";
import { parseRateLimit } from "../wire/rateLimitField.js";
import { decodeRateLimits, encodeRateLimit } from "./rateLimitMessages.js";

/** Rate limit that kept a request from an upstream, as it appears in the log line of the request. */
export interface AppliedRateLimit {
    upstream: string;
    requestsPerSecond: number;
    /** Host of the entry that received the limit, and the age of that response in milliseconds. */
    source: string;
    ageMs: number;
}

export interface RateLimiterOptions {
    /** Host of this entry, at which other entries reach it. */
    host: string;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Returns a random number in [0, 1). */
    random: () => number;
    logger: Logger;
    upstreamTracker: UpstreamTracker;
    /** Lists the hosts of the seeds, which include this entry if it is one. */
    listSeeds: () => string[];
    /** Lists the requests that wait for an upstream of the pool, in the order in which they should be sent. */
    listWaiting: (pool: string) => PendingRequest[];
    send: (message: PermitRequestMessage | PermitGrantMessage, host: string) => void;
    /** Called when waiting requests may be sent. */
    onPermits: () => void;
    onLimitsChanged: (limitedUpstreams: number) => void;
    /** Called with what an exchange throws; the next ones go on. */
    reportFault: FaultReporter;
}

export interface RateLimiter {
    /** Applies the values of the limit field in a response of an upstream. */
    observeResponse: (upstream: UpstreamRecord, values: string[]) => void;
    /** Counts a new request of a pool. */
    recordArrival: (pool: string, urgency: number) => void;
    getAdmission: (upstream: UpstreamRecord) => UpstreamAdmission;
    /** Uses a permit if the upstream is limited; `hasWaited` is whether the request was queued before. */
    takePermit: (upstream: UpstreamRecord, hasWaited: boolean) => void;
    /** Whether all upstreams of the pool are limited, so that its requests wait for permits. */
    isPoolLimited: (pool: string) => boolean;
    /**
     * Decides whether a new request may wait for a permit. If there are too many, the last one has time left only until the
     * coordinator has responded.
     */
    admitWaiting: (pool: string, request: PendingRequest, waiting: PendingRequest[]) => void;
    /** Lists the waiting requests of a limited pool that cannot be sent in time. */
    listUnservable: <T extends PendingRequest>(pool: string, waiting: T[]) => T[];
    /** Asks for permits for the requests that wait. */
    requestPermits: () => void;
    /** Computes after how many milliseconds a caller that is rejected for the pool's limits should return. */
    computeReturnMs: (pool: string) => number;
    /** Lists the limits that keep requests from upstreams of the pool now, at most `maxListedLimits`. */
    listApplied: (pool: string) => AppliedRateLimit[];
    receive: (message: PermitRequestMessage | PermitGrantMessage, delayMs: number) => void;
    /** Records a presence heartbeat, and tells its sender the limits if there are any. */
    handlePresence: (host: string) => void;
}

/** Interval at which permits are requested while there are limits, in milliseconds. */
const exchangeIntervalMs = 50;
/** Shortest time between two requests for permits, in milliseconds, at the interval and when a request begins to wait. */
const minRequestGapMs = 90;
const minUrgentGapMs = 20;
/** Addition to that time for each entry, in milliseconds, which bounds the requests that a coordinator gets. */
const urgentGapPerEntryMs = 1;
/** Time in which a coordinator responds, in milliseconds. */
const trialMs = 40;
/** Number of limits in the log line of a request. */
const maxListedLimits = 3;
/** Maximum number of limits in one datagram, which stays far below the largest possible one. */
const maxLimitsPerMessage = 64;
/** Maximum number of invalid values that are remembered as logged. */
const maxLoggedValues = 256;

/** Creates the limiter of an entry that knows of no limits. */
export function createRateLimiter(options: RateLimiterOptions): RateLimiter {
    const { host, now, random, logger, upstreamTracker } = options;
    const table = createRateLimitTable();
    const permitPool = createPermitPool(now());
    const holder: PermitHolder = createPermitHolder(host, random);
    const meters = new Map<string, DemandMeter>();
    const paces = new Map<string, AdmissionPace>();
    /** Versions of this table that other processes know, and versions of their tables that this one knows. */
    const acknowledged = new Map<string, TableVersion>();
    const known = new Map<string, TableVersion>();
    const loggedValues = new Set<string>();
    let activeUpstreams = 0;
    let timer: NodeJS.Timeout | undefined;
    const startedAt = performance.timeOrigin;
    const toWireTime = (time: number) => startedAt + time;

    const listActive = () => [...table.limits.values()].filter(limit => computeAllowedRate(limit, now()) !== undefined);
    const findActive = ({ id, startedAt: incarnation }: UpstreamRecord): RateLimit | undefined => {
        const limit = table.limits.get(id);
        const isActive = limit !== undefined && limit.startedAt === incarnation &&
            computeAllowedRate(limit, now()) !== undefined;
        return isActive ? limit : undefined;
    };
    const listUsable = (pool: string) => listCandidates(upstreamTracker, pool, now());
    const getMeter = (pool: string) => {
        const meter = meters.get(pool) ?? createDemandMeter(now());
        meters.set(pool, meter);
        return meter;
    };
    const getPace = (pool: string) => {
        const pace = paces.get(pool) ?? createAdmissionPace(now());
        paces.set(pool, pace);
        return pace;
    };
    const apply = (observation: RateLimitObservation) => {
        const before = table.limits.get(observation.upstream)?.requestsPerSecond;
        if (!observeRateLimit(table, observation)) {
            return;
        }
        const { upstream, pool, requestsPerSecond, source, observedAt } = observation;
        if (before !== undefined && requestsPerSecond !== undefined) {
            shrinkPermits(holder, upstream, before, requestsPerSecond);
        }
        const ageMs = Math.round(now() - observedAt);
        logger.info("The rate limit of an upstream has changed.", { upstream, pool, requestsPerSecond, source, ageMs });
        activate();
    };
    const activate = () => {
        if (timer === undefined) {
            timer = setInterval(containFaults(options.reportFault, exchange), exchangeIntervalMs);
            exchange();
        }
    };
    const exchange = () => {
        removeEndedLimits(table, upstream => upstreamTracker.upstreams.has(upstream), now());
        const active = listActive();
        if (active.length !== activeUpstreams) {
            activeUpstreams = active.length;
            options.onLimitsChanged(activeUpstreams);
            options.onPermits();
        }
        if (active.length === 0 && table.limits.size === 0) {
            clearInterval(timer);
            timer = undefined;
            paces.clear();
        }
        if (active.length > 0) {
            updateOwnPaces();
            requestDue(minRequestGapMs);
            // Permits of the own share become usable without a message.
            options.onPermits();
        }
    };
    /** Sends the requests that are due; `gapMs` is the least time since the last one. */
    const requestDue = (gapMs: number) => {
        setSeeds(holder, options.listSeeds());
        permitPool.seeds = holder.seeds.filter(seed => seed !== host);
        const isUrgent = now() - holder.lastRequestAt >= gapMs && hasDemand();
        for (const { to, purpose } of listDueRequests(holder, isUrgent, now())) {
            const request = createRequest(to, purpose);
            if (to === host) {
                receiveRequest(request, 0);
            }
            else {
                options.send(request, to);
            }
        }
    };
    const listLimitedPools = () => [...new Set(listActive().map(({ pool }) => pool))];
    const hasDemand = () =>
        listLimitedPools().some(pool => options.listWaiting(pool).length > 0 || getMeter(pool).newArrivals > 0);
    const createRequest = (to: string, purpose: PermitRequestKind): PermitRequestMessage => {
        const isEnrolment = purpose === PermitRequestKind.enrol;
        return {
            kind: "permit-request",
            from: host,
            startedAt,
            sentAt: toWireTime(now()),
            purpose,
            demands: isEnrolment ? listLimitedPools().map(createPoolDemand) : [],
            returned: isEnrolment ? takeUnusedPermits(holder, now()) : {},
            entryCount: getReportedEntryCount(holder, to),
            ...encodeLimitsSince(acknowledged.get(to)?.version ?? 0),
            known: known.get(to),
        };
    };
    const encodeLimitsSince = (since: number) => {
        const { limits, version } = listLimitsSince(table, since, maxLimitsPerMessage);
        return { limits: limits.map(limit => encodeRateLimit(limit, now())), version };
    };
    const createPoolDemand = (pool: string) => {
        const usable = listUsable(pool);
        const limited = usable.filter(({ record }) => findActive(record) !== undefined);
        const held = limited.filter(({ record }) => hasPermit(holder, findActive(record)!, now())).length;
        const share = usable.length === limited.length ? 0 : limited.length / usable.length;
        return { pool, ...computeDemand(getMeter(pool), options.listWaiting(pool), { share, held }, now(), random()) };
    };
    const createResponse = (knownTable: TableVersion | undefined): PermitGrantMessage => {
        const { limits, version } = encodeLimitsSince(knownTable?.startedAt === startedAt ? knownTable.version : 0);
        return {
            kind: "permit-grant",
            from: host,
            sentAt: toWireTime(now()),
            permits: {},
            entryCount: countKnownEntries(permitPool, now()),
            pools: {},
            limits,
            table: { startedAt, version },
        };
    };
    const requestHandlers: Record<PermitRequestKind, (request: PermitRequest) => Partial<PermitGrant> | undefined> = {
        enrol: request => allocatePermits(permitPool, request, listActive(), now()),
        release: ({ from }) => {
            releaseMember(permitPool, from, listActive(), now());
            return {};
        },
        probe: () => ({}),
    };
    const receiveRequest = (message: PermitRequestMessage, delayMs: number) => {
        recordMember(permitPool, message.from, now());
        decodeRateLimits(message.limits, now() - delayMs).forEach(apply);
        const { sentAt, version, purpose } = message;
        const grant = requestHandlers[purpose](message);
        if (grant === undefined) {
            return;
        }
        const response: PermitGrantMessage = {
            ...createResponse(message.known),
            ...grant,
            request: { startedAt: message.startedAt, sentAt, version, purpose },
        };
        if (message.from === host) {
            receiveGrant(response, 0);
        }
        else {
            options.send(response, message.from);
        }
    };
    const receiveGrant = (message: PermitGrantMessage, delayMs: number) => {
        const { from, request } = message;
        known.set(from, message.table);
        if (from !== host) {
            decodeRateLimits(message.limits, now() - delayMs).forEach(apply);
        }
        if (request?.startedAt !== startedAt) {
            return;
        }
        const { startedAt: peerStartedAt } = message.table;
        if ((acknowledged.get(from)?.startedAt ?? peerStartedAt) === peerStartedAt) {
            acknowledged.set(from, { startedAt: peerStartedAt, version: request.version });
        }
        else {
            // A process that has restarted knows only the limits that have changed since.
            acknowledged.delete(from);
        }
        recordProbeResponse(holder, from);
        if (request.purpose === PermitRequestKind.release) {
            recordRelease(holder, from);
        }
        if (request.purpose !== PermitRequestKind.enrol) {
            return;
        }
        applyGrant(holder, from, request.sentAt - startedAt, message, now());
        for (const [pool, { rate, arrivals }] of Object.entries(message.pools)) {
            const own = sumArrivals(getMeter(pool), now());
            updatePace(getPace(pool), arrivals > 0 ? rate * Math.min(1, own / arrivals) : rate, now());
        }
        options.onPermits();
    };
    /** While no coordinator grants permits, the entry sends at its own share of the rates. */
    const updateOwnPaces = () => {
        if (holder.coordinator === undefined) {
            for (const pool of listLimitedPools()) {
                const limits = listActive().filter(limit => limit.pool === pool);
                const rate = limits.reduce((sum, limit) => sum + computeOwnRate(holder, limit, now()), 0);
                updatePace(getPace(pool), rate, now());
            }
        }
    };
    const isPoolLimited = (pool: string) => {
        if (activeUpstreams === 0) {
            return false;
        }
        const usable = listUsable(pool);
        return usable.length > 0 && usable.every(({ record }) => findActive(record) !== undefined);
    };
    const logInvalid = ({ id, pool }: UpstreamRecord, values: string[], message: string) => {
        const key = `${id} ${values.join(", ")}`;
        if (!loggedValues.has(key) && loggedValues.size < maxLoggedValues) {
            loggedValues.add(key);
            logger.warn(message, { upstream: id, pool, values });
        }
    };
    const receiveHandlers = { "permit-request": receiveRequest, "permit-grant": receiveGrant };
    return {
        observeResponse: (upstream, values) => {
            const named = parseRateLimit(values);
            if (named.kind === "invalid") {
                logInvalid(upstream, values, "An upstream names no valid rate limit.");
                return;
            }
            if (named.kind === "limit" && named.isRepeated) {
                logInvalid(upstream, values, "An upstream names several rate limits; the lowest one is applied.");
            }
            const { id, startedAt: incarnation, pool } = upstream;
            const requestsPerSecond = named.kind === "limit" ? named.requestsPerSecond : undefined;
            if (requestsPerSecond !== undefined || table.limits.has(id)) {
                const observation = { upstream: id, startedAt: incarnation, pool, requestsPerSecond, source: host };
                apply({ ...observation, observedAt: now() });
            }
        },
        recordArrival: (pool, urgency) => recordArrival(getMeter(pool), urgency, now()),
        getAdmission: upstream => {
            const limit = activeUpstreams === 0 && timer === undefined ? undefined : findActive(upstream);
            if (limit === undefined) {
                return UpstreamAdmission.unlimited;
            }
            return hasPermit(holder, limit, now()) ? UpstreamAdmission.permitted : UpstreamAdmission.limited;
        },
        takePermit: (upstream, hasWaited) => {
            const limit = findActive(upstream);
            if (limit !== undefined) {
                takePermit(holder, limit, now());
                if (!hasWaited) {
                    recordDirectSend(getPace(upstream.pool), now());
                }
            }
        },
        isPoolLimited,
        admitWaiting: (pool, request, waiting) => {
            if (!isPoolLimited(pool)) {
                return;
            }
            const moreUrgentPerSecond = sumArrivals(getMeter(pool), now(), request.urgency);
            const ordered = [...waiting, request].sort(compareLimited);
            const isAdmitted = admitWaiting(getPace(pool), {
                moreUrgentPerSecond,
                position: ordered.indexOf(request),
                leftMs: request.latestSendAt - now(),
            }, now());
            if (!isAdmitted) {
                const last = ordered.at(-1)!;
                last.latestSendAt = Math.min(last.latestSendAt, now() + trialMs);
            }
        },
        listUnservable: (pool, waiting) => isPoolLimited(pool) ? listUnservable(getPace(pool), waiting, now()) : [],
        requestPermits: () => {
            if (timer !== undefined) {
                requestDue(Math.max(minUrgentGapMs, (holder.entryCount?.count ?? 0) * urgentGapPerEntryMs));
            }
        },
        computeReturnMs: pool => computeReturnMs(getPace(pool), now(), random()),
        listApplied: pool => {
            if (activeUpstreams === 0) {
                return [];
            }
            const limits = listUsable(pool).map(({ record }) => findActive(record)).filter(limit =>
                limit !== undefined && !hasPermit(holder, limit, now())
            );
            return limits.slice(0, maxListedLimits).map(limit => ({
                upstream: limit!.upstream,
                requestsPerSecond: limit!.requestsPerSecond,
                source: limit!.source,
                ageMs: Math.round(now() - limit!.namedAt),
            }));
        },
        receive: (message, delayMs) => receiveHandlers[message.kind](message as never, delayMs),
        handlePresence: from => {
            recordMember(permitPool, from, now());
            if (listActive().length > 0) {
                options.send(createResponse(undefined), from);
            }
        },
    };
}
