/** Appends records to the log in batches, with a bounded queue; retries keep the record ids. */
import { computeBackoffMs } from "./backoff.js";
import type { AppendRecord, LogClient } from "./types.js";

export interface AppenderOptions {
    /** Maximum number of queued records; further ones are dropped and counted. */
    maxWaiting: number;
    /** Maximum number of records per append. */
    maxBatch: number;
    /** Minimum time between a record and its append, in milliseconds, in which a batch collects. */
    delayMs: number;
    /** Maximum random time added to `delayMs`, in milliseconds, which spreads the appends of many processes. */
    jitterMs: number;
    /** Called after each failed append, which is retried. */
    onError: (error: Error) => void;
    /** Returns a number in [0, 1). */
    getRandom: () => number;
}

/** Queue of records to append to one stream. */
export interface Appender {
    /** Queues a record; returns false if the queue is full or the appender has stopped, and the record was dropped. */
    push: (record: AppendRecord) => boolean;
    /** Returns the number of records dropped so far. */
    dropped: () => number;
    /** Returns the number of queued records, including those being appended. */
    waiting: () => number;
    /**
     * Stops and appends the queued records until an append fails or `limitMs` have passed; resolves to the number of
     * records left.
     */
    stop: (limitMs: number) => Promise<number>;
}

interface Queue {
    records: AppendRecord[];
    dropped: number;
    /** Consecutive failed appends. */
    failures: number;
    timer: NodeJS.Timeout | undefined;
    /** The append in progress. */
    running: Promise<void> | undefined;
    stopped: boolean;
}

/** Creates an appender. A batch is appended again if its response is lost, so readers deduplicate by record id. */
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
            if (queue.stopped || queue.records.length >= options.maxWaiting) {
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
