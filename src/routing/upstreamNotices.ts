/**
 * What upstreams say of themselves in responses to this entry: that they leave, and that they want no requests from it for
 * some time. It holds for one incarnation of an upstream, whatever the instance list says, until that is replaced.
 */
import type { UpstreamRecord } from "../peers/mirror.js";

/** Notices of one incarnation of an upstream; times are in milliseconds of this process's clock. */
export interface UpstreamNotice {
    upstream: string;
    pool: string;
    /** Start of the incarnation, Unix time in milliseconds. */
    startedAt: number | undefined;
    /** HOST:PORT. */
    address: string;
    /** Time of the first response that said that the upstream leaves; undefined if none did. */
    leavingAt: number | undefined;
    /** End of the longest pause that the upstream has asked for; -Infinity if it asked for none. */
    pausedUntil: number;
    /** Time from which this entry sends requests again, some time after the pause as other entries do so too. */
    resumeAt: number;
    /** Time of the latest request that was sent to the upstream after `resumeAt`. */
    lastSentAt: number;
    /** Id of the request whose response said so last, and its time. */
    requestId: string;
    observedAt: number;
    /** Time at which the upstream was last listed. */
    listedAt: number;
}

export interface NoticeTable {
    /** Notices by the id of the upstream. */
    notices: Map<string, UpstreamNotice>;
}

/** Whether an upstream takes requests of this entry, according to its responses. */
export const UpstreamAvailability = { available: "available", leaving: "leaving", paused: "paused" } as const;
export type UpstreamAvailability = (typeof UpstreamAvailability)[keyof typeof UpstreamAvailability];

/** Where a response came from that holds a notice. */
export interface NoticeOrigin {
    upstream: UpstreamRecord;
    requestId: string;
    /** Time of the response, in milliseconds. */
    at: number;
}

/** Longest pause that is kept, in milliseconds, so that a wrong value does not take an upstream away for good. */
export const maxPauseMs = 60_000;
/** Time after a pause in which entries begin to send again, as a share of the pause, and its upper bound in milliseconds. */
const resumeSpreadShare = 0.25;
const maxResumeSpreadMs = 400;
/** Time after a pause in which requests are sent one by one, and the time between two of them, in milliseconds. */
const rampMs = 500;
const rampGapMs = 40;
/** Time for which notices of upstreams that are not listed are kept, in milliseconds; the list may lose and regain them. */
const unlistedRetentionMs = 60_000;

/** Creates an empty table. */
export function createNoticeTable(): NoticeTable {
    return { notices: new Map() };
}

/** Finds the notices of an incarnation; those of an earlier one at the same id say nothing of it. */
export function findNotice(table: NoticeTable, record: UpstreamRecord): UpstreamNotice | undefined {
    const notice = table.notices.get(record.id);
    const isSame = notice !== undefined && notice.startedAt === record.startedAt &&
        notice.address === formatAddress(record);
    return isSame ? notice : undefined;
}

/** Records that an upstream leaves; returns whether this was not known. */
export function recordLeaving(table: NoticeTable, origin: NoticeOrigin): boolean {
    const notice = ensureNotice(table, origin.upstream, origin.at);
    if (notice.leavingAt !== undefined) {
        return false;
    }
    Object.assign(notice, { leavingAt: origin.at, requestId: origin.requestId, observedAt: origin.at });
    return true;
}

/**
 * Records that an upstream asks for a pause of `pauseMs`; returns whether it ends later than the known one. `random` is in
 * [0, 1).
 */
export function recordPause(table: NoticeTable, origin: NoticeOrigin, pauseMs: number, random: number): boolean {
    const boundedMs = Math.min(pauseMs, maxPauseMs);
    const until = origin.at + boundedMs;
    const notice = ensureNotice(table, origin.upstream, origin.at);
    if (boundedMs <= 0 || until <= notice.pausedUntil) {
        return false;
    }
    const resumeAt = until + random * Math.min(maxResumeSpreadMs, boundedMs * resumeSpreadShare);
    const { requestId, at: observedAt } = origin;
    Object.assign(notice, { pausedUntil: until, resumeAt, lastSentAt: -Infinity, requestId, observedAt });
    return true;
}

/** Records a request that is sent to an upstream. */
export function recordNoticedSend(table: NoticeTable, record: UpstreamRecord, now: number): void {
    const notice = findNotice(table, record);
    if (notice !== undefined && now >= notice.resumeAt) {
        notice.lastSentAt = now;
    }
}

/** Returns the earliest time at which a request may be sent to an upstream that does not leave, in milliseconds. */
export function getSendableAt({ resumeAt, lastSentAt }: UpstreamNotice, now: number): number {
    if (now < resumeAt) {
        return resumeAt;
    }
    return now < resumeAt + rampMs ? Math.max(now, lastSentAt + rampGapMs) : now;
}

/** Returns whether an upstream takes requests at `now`. */
export function getAvailability(table: NoticeTable, record: UpstreamRecord, now: number): UpstreamAvailability {
    const notice = findNotice(table, record);
    if (notice === undefined) {
        return UpstreamAvailability.available;
    }
    if (getSendableAt(notice, now) > now) {
        return UpstreamAvailability.paused;
    }
    return notice.leavingAt === undefined ? UpstreamAvailability.available : UpstreamAvailability.leaving;
}

/** Updates which upstreams are listed, and removes notices of those that have not been for long. */
export function updateListed(table: NoticeTable, listed: { has: (id: string) => boolean; }, now: number): void {
    for (const [id, notice] of table.notices) {
        if (listed.has(id)) {
            notice.listedAt = now;
        }
        else if (now - notice.listedAt > unlistedRetentionMs) {
            table.notices.delete(id);
        }
    }
}

function ensureNotice(table: NoticeTable, record: UpstreamRecord, now: number): UpstreamNotice {
    const known = findNotice(table, record);
    if (known !== undefined) {
        return known;
    }
    const notice: UpstreamNotice = {
        upstream: record.id,
        pool: record.pool,
        startedAt: record.startedAt,
        address: formatAddress(record),
        leavingAt: undefined,
        pausedUntil: -Infinity,
        resumeAt: -Infinity,
        lastSentAt: -Infinity,
        requestId: "",
        observedAt: now,
        listedAt: now,
    };
    table.notices.set(record.id, notice);
    return notice;
}

function formatAddress({ host, port }: UpstreamRecord): string {
    return `${host}:${port}`;
}
