/**
 * Return of the log after an outage: how many reads a second reach it when every process retries with the backoff of
 * `src/log/backoff.ts`. Leaves out the time of a read itself and the delay of the network.
 */
import { createRandom } from "../core/random.js";
import { computeBackoffMs } from "../log/backoff.js";

const processes = 1280;
const outageMs = 3_600_000;
const bucketMs = 100;

export interface ThunderingHerdFigures {
    processes: number;
    /** Mean reads a second in the last minute of the outage. */
    readsPerSecondDown: number;
    /** Highest rate after the return, over 100 ms, in reads a second. */
    peakReadsPerSecond: number;
    /** Time until every process has read again, in milliseconds. */
    allBackMs: number;
    /** Processes back by the end of each 500 ms after the return. */
    curve: number[];
}

/** Lets every process retry through an outage of an hour. */
export function simulateThunderingHerd(seed: number): ThunderingHerdFigures {
    const random = createRandom(seed);
    const buckets = new Map<number, number>();
    let readsInLastMinute = 0;
    const recoveryTimesMs: number[] = [];
    for (let index = 0; index < processes; index++) {
        let now = random.next() * 4000;
        for (let failures = 1; now < outageMs; failures++) {
            readsInLastMinute += now > outageMs - 60_000 ? 1 : 0;
            now += computeBackoffMs(failures, random.next());
        }
        const backMs = now - outageMs;
        recoveryTimesMs.push(backMs);
        const bucket = Math.floor(backMs / bucketMs);
        buckets.set(bucket, (buckets.get(bucket) ?? 0) + 1);
    }
    const allBackMs = Math.max(...recoveryTimesMs);
    const curve = Array.from(
        { length: Math.ceil(allBackMs / 500) },
        (value, index) => recoveryTimesMs.filter(backMs => backMs <= (index + 1) * 500).length,
    );
    return {
        processes,
        readsPerSecondDown: readsInLastMinute / 60,
        peakReadsPerSecond: Math.max(...buckets.values()) * 1000 / bucketMs,
        allBackMs: Math.round(allBackMs),
        curve,
    };
}
