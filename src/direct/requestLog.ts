/** Counts and logs the finished requests of an entry, and the errors in this process that ended one. */
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import { createFaultReporter } from "../observe/faults.js";
import type { Logger } from "../observe/logger.js";
import { createLogRateLimiter } from "../observe/logRateLimiter.js";
import type { DirectContext } from "./context.js";
import { AttemptEnd } from "./requestState.js";
import type { AttemptRecord } from "./types.js";

export interface RequestLogOptions {
    logger: Logger;
    metrics: DirectEntryMetrics;
    /** Monotonic clock, in milliseconds. */
    now: () => number;
    /** Returns the revision of the active document. */
    getRevision: () => number | undefined;
}

/** Creates the log of an entry; lines over a rate limit are counted only. */
export function createRequestLog(
    { logger, metrics, now, getRevision }: RequestLogOptions,
): Pick<DirectContext, "logRequest" | "reportFault"> {
    const logRateLimiter = createLogRateLimiter();
    return {
        reportFault: createFaultReporter(logger, metrics.faults, now),
        logRequest: (request, outcome, attempts, rateLimits, notices) => {
            const ms = Math.round(now() - request.receivedAt);
            metrics.requests.inc({ outcome: outcome.split(",")[0] });
            metrics.responseSeconds.observe(ms / 1000);
            countAttempts(metrics, attempts);
            if (!logRateLimiter.admit(now())) {
                metrics.logLinesDropped.inc();
                return;
            }
            logger.info("The request has finished.", {
                requestId: request.id,
                route: request.route.name,
                pool: request.pool,
                revision: getRevision(),
                outcome,
                ms,
                attempts,
                rateLimits: rateLimits.length === 0 ? undefined : rateLimits,
                notices: notices.length === 0 ? undefined : notices,
                digest: isAnyLost(attempts) ? request.digest : undefined,
                promptParts: isAnyLost(attempts) ? request.head.sharedPromptParts : undefined,
            });
        },
    };
}

function countAttempts(metrics: DirectEntryMetrics, attempts: AttemptRecord[]): void {
    for (const { end, framing, unfinishedBytes, rateLimit } of attempts) {
        metrics.attempts.inc({ end: end?.split(":")[0] ?? "open" });
        if (rateLimit !== undefined) {
            metrics.rateLimitedResponses.inc();
        }
        if (unfinishedBytes !== undefined) {
            metrics.unfinishedStreams.inc({ framing });
        }
    }
}

/** Whether an upstream broke the connection of an attempt, which may have ended with it. */
function isAnyLost(attempts: AttemptRecord[]): boolean {
    return attempts.some(({ end }) => end?.startsWith(AttemptEnd.lost));
}
