/** Limits of the machine that a process runs on. */
import { readFileSync } from "node:fs";
import { totalmem } from "node:os";

export interface MachineLimits {
    /** Memory that the process may use, in bytes. */
    memoryBytes: number;
    /** Number of descriptors that the process may open. */
    descriptors: number;
}

/** Limit of descriptors where the operating system names none. */
const defaultDescriptors = 1024;

const bytesPerMb = 1024 * 1024;

/** Reads the limits that apply to a process of the given settings. */
export function readProcessLimits(settings: { memoryMb?: number; descriptors?: number; }): MachineLimits {
    const { memoryMb, descriptors } = settings;
    return readMachineLimits({ memoryBytes: memoryMb === undefined ? undefined : memoryMb * bytesPerMb, descriptors });
}

/** Reads the limits from the operating system; lower ones in `configured` go first. */
export function readMachineLimits(configured: Partial<MachineLimits> = {}): MachineLimits {
    // Zero and values above the memory of the machine mean that the process is not constrained.
    const constrainedBytes = process.constrainedMemory() || Infinity;
    return {
        memoryBytes: Math.min(configured.memoryBytes ?? Infinity, constrainedBytes, totalmem()),
        descriptors: Math.min(configured.descriptors ?? Infinity, readDescriptorLimit()),
    };
}

function readDescriptorLimit(): number {
    try {
        const match = /^Max open files\s+(\d+|unlimited)/m.exec(readFileSync("/proc/self/limits", "latin1"));
        return !match ? defaultDescriptors : match[1] === "unlimited" ? Infinity : Number(match[1]);
    }
    catch {
        return defaultDescriptors;
    }
}
