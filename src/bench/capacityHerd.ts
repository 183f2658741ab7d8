/**
 * Simulates the thundering herd when the log recovers from an outage: how many reads per second reach it if every
 * process retries with the backoff of `src/log/backoff.ts`. Reads and the network are assumed to take no time.
 */
import { createRandom } from "../core/random.js";
import { computeBackoffMs } from "../log/backoff.js";

const processCount = 1280;
const outageMs = 3_600_000;
const bucketMs = 100;

export interface ThunderingHerdFigures {
    processes: number;
    /** Mean number of reads per second in the last minute of the outage. */
    readsPerSecondDown: number;
    /** Maximum rate after the recovery in reads per second, averaged over 100 ms. */
    peakReadsPerSecond: number;
    /** Time from the recovery until every process has read from the log, in milliseconds. */
    allBackMs: number;
    /** Number of processes that have read by the end of each 500 ms after the recovery. */
    curve: number[];
}

/** Simulates the retries of every process during and after an outage of one hour. */
export function simulateThunderingHerd(seed: number): ThunderingHerdFigures {
    const random = createRandom(seed);
    const recoveriesByBucket = new Map<number, number>();
    let readsInLastMinute = 0;
    const recoveryTimesMs: number[] = [];
    for (let index = 0; index < processCount; index++) {
        let now = random.next() * 4000;
        for (let failures = 1; now < outageMs; failures++) {
            readsInLastMinute += now > outageMs - 60_000 ? 1 : 0;
            now += computeBackoffMs(failures, random.next());
        }
        const recoveryMs = now - outageMs;
        recoveryTimesMs.push(recoveryMs);
        const bucket = Math.floor(recoveryMs / bucketMs);
        recoveriesByBucket.set(bucket, (recoveriesByBucket.get(bucket) ?? 0) + 1);
    }
    const allBackMs = Math.max(...recoveryTimesMs);
    const curve = Array.from(
        { length: Math.ceil(allBackMs / 500) },
        (value, index) => recoveryTimesMs.filter(recoveryMs => recoveryMs <= (index + 1) * 500).length,
    );
    return {
        processes: processCount,
        readsPerSecondDown: readsInLastMinute / 60,
        peakReadsPerSecond: Math.max(...recoveriesByBucket.values()) * 1000 / bucketMs,
        allBackMs: Math.round(allBackMs),
        curve,
    };
}
