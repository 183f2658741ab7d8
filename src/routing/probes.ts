/** Chooses which upstreams an entry asks for a load report, so that probing stays within the control budget. */

/** What a probe needs to know of an upstream. */
export interface ProbeTarget {
    instance: string;
    /** Time of the last report, in milliseconds; 0 before the first. */
    reportedAt: number;
}

/** Probes a second for upstreams that have reported before; one costs some 600 bytes, both ways together. */
export const probesPerSecond = 1;
/** Probes a second for upstreams that have never reported. */
export const initialProbesPerSecond = 16;
/** Reports younger than this need no probe, in milliseconds. */
const freshReportMs = 1000;

/** Chooses the upstreams to probe in one second: those never heard of first, then those with the oldest report. */
export function chooseProbeTargets<T extends ProbeTarget>(upstreams: Iterable<T>, now: number): T[] {
    const due = [...upstreams].filter(u => u.reportedAt <= now - freshReportMs);
    const unreported = due.filter(u => u.reportedAt === 0).slice(0, initialProbesPerSecond);
    const reported = due.filter(u => u.reportedAt > 0).sort((a, b) => a.reportedAt - b.reportedAt);
    return [...unreported, ...reported.slice(0, probesPerSecond)];
}
