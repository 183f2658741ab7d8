/** Processor time, I/O and memory of a process, read from `/proc`. */
import { readFileSync } from "node:fs";

const clockTicksPerSecond = 100;
const bytesPerKilobyte = 1024;

export interface ProcessUsage {
    cpuSeconds: number;
    /** Bytes read and written by system calls; for a process that uses no files, these are sockets and log lines. */
    ioBytes: number;
    rssBytes: number;
}

/** Reads the resources that a process has used since its start, and its resident memory. */
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
