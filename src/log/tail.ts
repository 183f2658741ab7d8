/** Tails a stream of the log from its oldest record. */
import * as most from "most";
import { computeBackoffMs } from "./backoff.js";
import type { LogClient, LogRecord, ReadResult } from "./types.js";

/** Time that a read at the end of the stream waits for records. */
const longPollMs = 4000;

/** Result of one read. */
export interface TailEvent {
    records: LogRecord[];
    /** Oldest offset that the log retains. */
    oldest: number;
    /** Offset of the next read. */
    next: number;
    /** Offset of this read; if `oldest` is higher, the records in between are no longer in the log. */
    from: number;
    /** Whether this read returned no records because it was at the end of the stream. */
    atEnd: boolean;
}

/**
 * Streams the result of each read until disposed. Failed reads are reported to `onError` and retried with backoff. A
 * read without a response fails at the client's time-out and is retried on a new connection.
 */
export function tailStream(log: LogClient, stream: string, onError: (error: Error) => void): most.Stream<TailEvent> {
    return new most.Stream<TailEvent>({
        run(sink, scheduler) {
            const position = { disposed: false, from: 0, caughtUp: false, failures: 0 };
            const readOnce = async () => {
                const { from, caughtUp } = position;
                const result: ReadResult = await log.read(stream, from, caughtUp ? longPollMs : 0);
                position.from = Math.max(result.next, result.oldest);
                position.caughtUp = result.records.length === 0;
                position.failures = 0;
                if (!position.disposed) {
                    sink.event(scheduler.now(), { ...result, from, atEnd: position.caughtUp });
                }
            };
            const readLoop = async () => {
                while (!position.disposed) {
                    await readOnce().catch(async error => {
                        position.failures += 1;
                        onError(error as Error);
                        const delayMs = computeBackoffMs(position.failures, Math.random());
                        await new Promise(resolve => setTimeout(resolve, delayMs));
                    });
                }
            };
            void readLoop();
            return {
                dispose() {
                    position.disposed = true;
                },
            };
        },
    });
}
