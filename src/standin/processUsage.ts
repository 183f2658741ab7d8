/** Memory and descriptors of a running process, as the operating system reports them. */
import { readdirSync, readFileSync } from "node:fs";

/** Interval between two samples, in milliseconds. */
const sampleIntervalMs = 20;
const bytesPerMb = 1024 * 1024;

export interface UsageSampler {
    /** Highest anonymous memory so far, in MiB. */
    getPeakMb: () => number;
    getPeakDescriptors: () => number;
    stop: () => void;
}

/** Reads the anonymous memory of a process, in MiB; 0 if it has ended. */
function readMemoryMb(pid: number): number {
    try {
        const status = readFileSync(`/proc/${pid}/status`, "latin1");
        return 1024 * Number(/^RssAnon:\s+(\d+)/m.exec(status)?.[1] ?? 0) / bytesPerMb;
    }
    catch {
        return 0;
    }
}

/** Counts the open descriptors of a process; 0 if it has ended. */
export function countDescriptors(pid: number): number {
    try {
        return readdirSync(`/proc/${pid}/fd`).length;
    }
    catch {
        return 0;
    }
}

/** Starts to sample a process. */
export function startUsageSampler(pid: number): UsageSampler {
    let peakMb = 0;
    let peakDescriptors = 0;
    const sample = () => {
        peakMb = Math.max(peakMb, readMemoryMb(pid));
        peakDescriptors = Math.max(peakDescriptors, countDescriptors(pid));
    };
    const timer = setInterval(sample, sampleIntervalMs);
    return {
        getPeakMb: () => peakMb,
        getPeakDescriptors: () => peakDescriptors,
        stop: () => clearInterval(timer),
    };
}
