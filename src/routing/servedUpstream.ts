/**
 * What the one upstream of a slot says of itself in responses: that it leaves, and that it wants no requests for some time.
 * As all requests of the upstream pass the slot, nobody else has to be told.
 */
import type { UpstreamRecord } from "../peers/mirror.js";
import {
    createNoticeTable,
    findNotice,
    getSendableAt,
    type NoticeTable,
    recordLeaving,
    recordNoticedSend,
    recordPause,
} from "./upstreamNotices.js";

export interface ServedUpstream {
    notices: NoticeTable;
    /** The upstream; its `startedAt` counts the incarnations that the slot has seen. */
    record: UpstreamRecord & { startedAt: number; };
}

/** Creates the state of an upstream that has said nothing of itself. */
export function createServedUpstream(): ServedUpstream {
    const record = { id: "upstream", pool: "", host: "", port: 0, dataCentre: "", isLeaving: false, startedAt: 0 };
    return { notices: createNoticeTable(), record };
}

/** Records that the upstream leaves; returns whether this was not known. */
export function recordServedLeaving({ notices, record }: ServedUpstream, requestId: string, now: number): boolean {
    return recordLeaving(notices, { upstream: record, requestId, at: now });
}

/** Records that the upstream asks for a pause of `pauseMs`; returns whether it ends later than the known one. */
export function recordServedPause(
    { notices, record }: ServedUpstream,
    requestId: string,
    pauseMs: number,
    now: number,
): boolean {
    // The slot is the only sender, so that it need not spread the end of the pause over several ones.
    return recordPause(notices, { upstream: record, requestId, at: now }, pauseMs, 0);
}

/** Records a request that is sent to the upstream. */
export function recordServedSend({ notices, record }: ServedUpstream, now: number): void {
    recordNoticedSend(notices, record, now);
}

/** Whether the upstream has said that it leaves. */
export function isServedLeaving({ notices, record }: ServedUpstream): boolean {
    return findNotice(notices, record)?.leavingAt !== undefined;
}

/** Whether the upstream has said that it leaves, or wants no requests now. */
export function isServedNoticed(served: ServedUpstream, now: number): boolean {
    return isServedLeaving(served) || computePauseWaitMs(served, now) !== undefined;
}

/** Computes the time until the upstream takes a request again, in milliseconds; undefined if it has asked for no pause. */
export function computePauseWaitMs({ notices, record }: ServedUpstream, now: number): number | undefined {
    const notice = findNotice(notices, record);
    const waitMs = notice === undefined ? 0 : getSendableAt(notice, now) - now;
    return waitMs > 0 ? waitMs : undefined;
}

/** Returns the end of the longest pause that the upstream has asked for, in milliseconds; -Infinity if it asked for none. */
export function getPauseEnd({ notices, record }: ServedUpstream): number {
    return findNotice(notices, record)?.resumeAt ?? -Infinity;
}

/** Records that another incarnation of the upstream runs, which has said nothing of itself. */
export function recordServedRestart({ record }: ServedUpstream): void {
    record.startedAt += 1;
}
