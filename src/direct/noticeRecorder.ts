/** Records what upstreams say of themselves in responses: that they leave, or want no requests for some time. */
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import type { Logger } from "../observe/logger.js";
import type { UpstreamRecord } from "../peers/mirror.js";
import {
    findNotice,
    maxPauseMs,
    type NoticeOrigin,
    type NoticeTable,
    recordLeaving,
    recordPause,
} from "../routing/upstreamNotices.js";
import type { UpstreamTracker } from "../routing/upstreamTracker.js";
import { findRequestedPause } from "../wire/pauseField.js";
import type { ResponseHead } from "./types.js";

/** Notice that kept a request from an upstream, as it appears in the log line of the request. */
export interface AppliedNotice {
    upstream: string;
    kind: "leaving" | "pause";
    /** Id of the request whose response said so, and the age of that response in milliseconds. */
    requestId: string;
    ageMs: number;
}

export interface NoticeRecorderOptions {
    logger: Logger;
    metrics: Pick<DirectEntryMetrics, "leavingNotices" | "pauseNotices">;
    upstreamTracker: UpstreamTracker;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Returns a random number in [0, 1). */
    random: () => number;
}

export interface NoticeRecorder {
    /** Applies the head of a response of `upstream` itself to the request with `requestId`. */
    observe: (upstream: UpstreamRecord, requestId: string, status: number, head: ResponseHead) => void;
    /** Lists the notices that keep requests from upstreams of the pool now, at most `maxListedNotices`. */
    listApplied: (pool: string) => AppliedNotice[];
}

/** Number of notices in the log line of a request. */
const maxListedNotices = 3;
/** Maximum number of invalid values that are remembered as logged. */
const maxLoggedValues = 256;

/** Creates the recorder of an entry. */
export function createNoticeRecorder(options: NoticeRecorderOptions): NoticeRecorder {
    const { logger, metrics, upstreamTracker, now, random } = options;
    const table: NoticeTable = upstreamTracker.notices;
    const loggedValues = new Set<string>();

    const logOnce = (origin: NoticeOrigin, message: string, values: string[]) => {
        const text = values.join(", ");
        if (!loggedValues.has(text) && loggedValues.size < maxLoggedValues) {
            loggedValues.add(text);
            logger.warn(message, { upstream: origin.upstream.id, requestId: origin.requestId, values });
        }
    };
    const observePause = (origin: NoticeOrigin, status: number, values: string[]) => {
        const pause = findRequestedPause(status, values);
        if (pause.kind === "invalid") {
            logOnce(origin, "An upstream asks for a pause that is no number of seconds.", values);
        }
        if (pause.kind !== "pause") {
            return;
        }
        if (pause.ms > maxPauseMs) {
            logOnce(origin, "An upstream asks for a pause that is too long; it is shortened.", values);
        }
        if (recordPause(table, origin, pause.ms, random())) {
            metrics.pauseNotices.inc();
            const { upstream: { id, pool }, requestId } = origin;
            logger.info("An upstream asks for a pause.", { upstream: id, pool, pauseMs: pause.ms, requestId });
        }
    };
    return {
        observe: (upstream, requestId, status, { isLeaving, retryAfterValues }) => {
            const origin = { upstream, requestId, at: now() };
            if (isLeaving && recordLeaving(table, origin)) {
                metrics.leavingNotices.inc();
                logger.info("An upstream says that it leaves.", {
                    upstream: upstream.id,
                    pool: upstream.pool,
                    requestId,
                });
            }
            observePause(origin, status, retryAfterValues);
        },
        listApplied: pool => {
            if (table.notices.size === 0) {
                return [];
            }
            const records = [...upstreamTracker.upstreams.values()].map(({ record }) => record);
            const notices = records.filter(record => record.pool === pool).flatMap(record =>
                findNotice(table, record) ?? []
            );
            const applied = notices.filter(({ leavingAt, resumeAt }) => leavingAt !== undefined || resumeAt > now());
            return applied.slice(0, maxListedNotices).map(({ upstream, resumeAt, requestId, observedAt }) => ({
                upstream,
                kind: resumeAt > now() ? "pause" : "leaving",
                requestId,
                ageMs: Math.round(now() - observedAt),
            }));
        },
    };
}
