/** Logs and counts the upstreams that have gone silent, as seen by an entry. */
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import type { Logger } from "../observe/logger.js";
import { listSilent } from "../routing/upstreamSilence.js";
import { countOwnRequests, type UpstreamTracker } from "../routing/upstreamTracker.js";

export interface SilenceLogOptions {
    logger: Pick<Logger, "warn">;
    metrics: Pick<DirectEntryMetrics, "silentUpstreams">;
    upstreamTracker: UpstreamTracker;
}

export interface SilenceLog {
    /** Logs what has changed; called after each report. */
    update: () => void;
}

/** Creates a log of an entry to which no upstream is silent yet. */
export function createSilenceLog({ logger, metrics, upstreamTracker }: SilenceLogOptions): SilenceLog {
    let silentIds = new Set<string>();
    return {
        update: () => {
            const silent = listSilent(upstreamTracker);
            for (const upstream of silent.filter(({ record }) => !silentIds.has(record.id))) {
                const { id, pool } = upstream.record;
                logger.warn("An upstream has gone silent.", {
                    upstream: id,
                    pool,
                    ownRequests: countOwnRequests(upstream),
                });
            }
            const currentIds = new Set(silent.map(({ record }) => record.id));
            for (const upstream of [...silentIds].filter(id => !currentIds.has(id))) {
                logger.warn("An upstream is no longer silent.", { upstream });
            }
            silentIds = currentIds;
            metrics.silentUpstreams.set(currentIds.size);
        },
    };
}
