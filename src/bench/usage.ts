/** Processor time and memory of a process, as the kernel counts them. */
import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;
const bytesPerKilobyte = 1024;

export interface ProcessUsage {
    cpuSeconds: number;
    /** Bytes read and written by system calls: sockets and log lines, for a process without files. */
    ioBytes: number;
    rssBytes: number;
}

/** Reads what the process has used so far. */
export function readUsage(pid: number): ProcessUsage {
    const stat = readFileSync(`/proc/${pid}/stat`, "utf8");
    const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
    const rss = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, "utf8"))?.[1] ?? "0";
    const io = readFileSync(`/proc/${pid}/io`, "utf8");
    const readCounter = (name: string) => Number(new RegExp(`${name}: (\\d+)`).exec(io)?.[1] ?? "0");
    return {
        ioBytes: readCounter("rchar") + readCounter("wchar"),
        cpuSeconds: (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond,
        rssBytes: Number(rss) * bytesPerKilobyte,
    };
}
