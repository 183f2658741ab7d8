/** Follows a stream of the log from its oldest record. */
import * as most from "most";
import type { LogClient, LogRecord, ReadResult } from "./types.js";

const longPollMs = 10_000;
const retryMs = 500;

export interface TailEvent {
    records: LogRecord[];
    /** Whether this read reached the end of the stream. */
    atEnd: boolean;
}

/** Streams batches of records; outages are reported to `onError` and retried. */
export function tailStream(log: LogClient, stream: string, onError: (error: Error) => void): most.Stream<TailEvent> {
    return new most.Stream<TailEvent>({
        run(sink, scheduler) {
            let disposed = false;
            let from = 0;
            let caughtUp = false;
            const follow = async () => {
                while (!disposed) {
                    try {
                        const result: ReadResult = await log.read(stream, from, caughtUp ? longPollMs : 0);
                        from = result.next;
                        caughtUp = result.records.length === 0;
                        if (!disposed) {
                            sink.event(scheduler.now(), { records: result.records, atEnd: caughtUp });
                        }
                    }
                    catch (error) {
                        onError(error as Error);
                        await new Promise(resolve => setTimeout(resolve, retryMs));
                    }
                }
            };
            void follow();
            return {
                dispose() {
                    disposed = true;
                },
            };
        },
    });
}
