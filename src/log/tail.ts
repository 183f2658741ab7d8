/** Follows a stream of the log from its oldest record. */
import * as most from "most";
import { computeBackoffMs } from "./backoff.js";
import type { LogClient, LogRecord, ReadResult } from "./types.js";

const longPollMs = 4000;

export interface TailEvent {
    records: LogRecord[];
    /** Oldest offset that the log still keeps. */
    oldest: number;
    /** Offset to read from next. */
    next: number;
    /** Offset that was asked for; records in between are lost when `oldest` is above it. */
    from: number;
    /** Whether this read reached the end of the stream. */
    atEnd: boolean;
}

/**
 * Streams batches of records; failures are reported to `onError` and retried after a jittered delay.
 * A read that the log leaves unanswered ends with the client's time limit and is repeated on a new connection.
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
            const follow = async () => {
                while (!position.disposed) {
                    await readOnce().catch(async error => {
                        position.failures += 1;
                        onError(error as Error);
                        const delayMs = computeBackoffMs(position.failures, Math.random());
                        await new Promise(resolve => setTimeout(resolve, delayMs));
                    });
                }
            };
            void follow();
            return {
                dispose() {
                    position.disposed = true;
                },
            };
        },
    });
}
