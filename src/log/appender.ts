/** Appends records in batches, with bounded memory and retries under the same record ids. */
import { computeBackoffMs } from "./backoff.js";
import type { AppendRecord, LogClient } from "./types.js";

export interface AppenderOptions {
    /** Records that wait at most; further ones are dropped and counted. */
    maxWaiting: number;
    maxBatch: number;
    /** Least time between a record and its append, in milliseconds; batches form meanwhile. */
    delayMs: number;
    /** Further random time, in milliseconds, that spreads the appends of many processes. */
    jitterMs: number;
    onError: (error: Error) => void;
    /** Number in [0, 1). */
    getRandom: () => number;
}

export interface Appender {
    /** Takes a record; false when it had to be dropped. */
    push: (record: AppendRecord) => boolean;
    /** Records dropped so far. */
    dropped: () => number;
    waiting: () => number;
    /** Appends what waits, at most until `limitMs` from now; returns the number of records left over. */
    stop: (limitMs: number) => Promise<number>;
}

interface Queue {
    records: AppendRecord[];
    dropped: number;
    failures: number;
    timer: NodeJS.Timeout | undefined;
    running: Promise<void> | undefined;
    stopped: boolean;
}

/** Creates an appender; a batch whose answer was lost is appended again, so readers deduplicate by record id. */
export function createAppender(log: LogClient, stream: string, options: AppenderOptions): Appender {
    const queue: Queue = {
        records: [],
        dropped: 0,
        failures: 0,
        timer: undefined,
        running: undefined,
        stopped: false,
    };
    const appendBatch = async () => {
        const batch = queue.records.slice(0, options.maxBatch);
        try {
            await log.append(stream, batch);
            queue.records.splice(0, batch.length);
            queue.failures = 0;
        }
        catch (error) {
            queue.failures += 1;
            options.onError(error as Error);
        }
    };
    const schedule = () => {
        if (queue.timer !== undefined || queue.running !== undefined || queue.records.length === 0 || queue.stopped) {
            return;
        }
        const random = options.getRandom();
        const delayMs = options.delayMs + random * options.jitterMs +
            (queue.failures === 0 ? 0 : computeBackoffMs(queue.failures, random));
        queue.timer = setTimeout(() => {
            queue.timer = undefined;
            queue.running = appendBatch().finally(() => {
                queue.running = undefined;
                schedule();
            });
        }, delayMs);
    };
    return {
        push: record => {
            if (queue.records.length >= options.maxWaiting) {
                queue.dropped += 1;
                return false;
            }
            queue.records.push(record);
            schedule();
            return true;
        },
        dropped: () => queue.dropped,
        waiting: () => queue.records.length,
        stop: limitMs => stopAppender(queue, appendBatch, limitMs),
    };
}

async function stopAppender(queue: Queue, appendBatch: () => Promise<void>, limitMs: number): Promise<number> {
    queue.stopped = true;
    clearTimeout(queue.timer);
    let timedOut = false;
    const drain = async () => {
        await queue.running;
        while (queue.records.length > 0 && !timedOut) {
            const { failures } = queue;
            await appendBatch();
            if (queue.failures > failures) {
                return;
            }
        }
    };
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<void>(resolve => {
        timer = setTimeout(() => {
            timedOut = true;
            resolve();
        }, limitMs);
    });
    await Promise.race([drain(), limit]);
    clearTimeout(timer);
    return queue.records.length;
}
