/**
 * Detects upstreams that have gone silent: neither a report to their group's leader nor a part of a response arrives from
 * them, while half of the group or more is heard of. The operating system of a suspended machine still accepts connections, so that
 * requests that are sent there wait without an error.
 */
import type { TrackedUpstream, UpstreamTracker } from "./upstreamTracker.js";

/** Time by which an upstream's last sign of life is older than those of half of its group, in milliseconds; three reports. */
const minSilenceMs = 600;
/** Longest silence that counts, in milliseconds: the instance list drops an upstream that has stopped sooner. */
const maxSilenceMs = 6000;

/** Records a sign of life, a report or a part of a response, of `heardAt`, in milliseconds. */
export function recordSignOfLife(upstream: TrackedUpstream, heardAt: number): void {
    upstream.heardAt = Math.max(upstream.heardAt ?? -Infinity, heardAt);
}

/** Records that the leader of a pool's group has reported; the signs of life in its report are recorded before. */
export function recordGroupReport(tracker: UpstreamTracker, pool: string): void {
    const members = [...tracker.upstreams.values()].filter(({ record }) => record.pool === pool);
    const times = members.flatMap(({ heardAt }) => heardAt ?? []).sort((a, b) => b - a);
    if (times.length > 0) {
        tracker.groupHeardAt.set(pool, times[Math.ceil(times.length / 2) - 1]);
    }
}

/**
 * Whether an upstream has gone silent. Compares with the time since which half of the group have been heard of instead of the
 * current time: all reports stop for a while when the leader does, and a new leader may first know of its own rank only.
 * Always false in a pool without a group, and before the first sign of life.
 */
export function isSilent(tracker: UpstreamTracker, { record, heardAt }: TrackedUpstream): boolean {
    const groupHeardAt = tracker.groupHeardAt.get(record.pool);
    if (groupHeardAt === undefined || heardAt === undefined) {
        return false;
    }
    const silenceMs = groupHeardAt - heardAt;
    return silenceMs > minSilenceMs && silenceMs <= maxSilenceMs;
}

/** Lists the upstreams that have gone silent. */
export function listSilent(tracker: UpstreamTracker): TrackedUpstream[] {
    return [...tracker.upstreams.values()].filter(upstream => isSilent(tracker, upstream));
}
