/** Chooses the upstreams that an entry probes for a load report, within the budget for control traffic. */

/** An upstream that can be probed. */
export interface ProbeTarget {
    instance: string;
    /** Time of the last report, in milliseconds; 0 before the first. */
    reportedAt: number;
}

/**
 * Probes per second of upstreams that have reported before; a probe costs about 600 bytes in both directions together.
 */
export const probesPerSecond = 1;
/** Probes per second of upstreams that have never reported. */
export const initialProbesPerSecond = 16;
/** Age up to which a report is fresh and its upstream is not probed, in milliseconds. */
const freshReportMs = 1000;

/** Chooses the upstreams to probe in one second: those that have never reported, then those with the oldest reports. */
export function chooseProbeTargets<T extends ProbeTarget>(upstreams: Iterable<T>, now: number): T[] {
    const due = [...upstreams].filter(u => u.reportedAt <= now - freshReportMs);
    const unreported = due.filter(u => u.reportedAt === 0).slice(0, initialProbesPerSecond);
    const reported = due.filter(u => u.reportedAt > 0).sort((a, b) => a.reportedAt - b.reportedAt);
    return [...unreported, ...reported.slice(0, probesPerSecond)];
}
