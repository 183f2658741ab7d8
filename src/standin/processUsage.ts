/** Memory and descriptors of a running process, as the operating system reports them. */
import { readdirSync, readFileSync } from "node:fs";
import { setTimeout as wait } from "node:timers/promises";

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

/** What a process may use while a crowd of clients is there, and afterwards. */
export interface UsageBounds {
    memoryMb: number;
    maxDescriptors: number;
}

export interface SampledProcess {
    pid: number;
    sampler: UsageSampler;
    isRunning: () => boolean;
}

/** Descriptors that a process may hold after all clients have left. */
const maxIdleDescriptors = 100;
/** Time that a process has to close the connections of clients that have left, in milliseconds. */
const closeTimeoutMs = 10_000;
const closePollMs = 100;

/** Lists the bounds that a process has broken; waits until it has closed the connections of clients that have left. */
export async function listExcesses(
    { pid, sampler, isRunning }: SampledProcess,
    { memoryMb, maxDescriptors }: UsageBounds,
): Promise<string[]> {
    for (
        let waitedMs = 0;
        countDescriptors(pid) > maxIdleDescriptors && waitedMs < closeTimeoutMs;
        waitedMs += closePollMs
    ) {
        await wait(closePollMs);
    }
    const excesses: [boolean, string][] = [
        [countDescriptors(pid) > maxIdleDescriptors, `more than ${maxIdleDescriptors} descriptors are open afterwards`],
        [sampler.getPeakMb() > memoryMb, `memory of ${Math.round(sampler.getPeakMb())} of ${memoryMb} MiB`],
        [sampler.getPeakDescriptors() > maxDescriptors, `${sampler.getPeakDescriptors()} descriptors`],
        [!isRunning(), "the process has ended"],
    ];
    return excesses.filter(([isBroken]) => isBroken).map(([, text]) => text);
}
