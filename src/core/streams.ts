/** Small bridges between callbacks, promises and `most` streams. */
import * as most from "most";

export interface Channel<T> {
    stream: most.Stream<T>;
    push: (value: T) => void;
    end: () => void;
}

/** Creates a multicast stream that its owner pushes values into. */
export function createChannel<T>(): Channel<T> {
    const sinks = new Set<{ sink: most.Sink<T>; scheduler: most.Scheduler; }>();
    const stream = new most.Stream<T>({
        run(sink, scheduler) {
            const entry = { sink, scheduler };
            sinks.add(entry);
            return {
                dispose() {
                    sinks.delete(entry);
                },
            };
        },
    });
    return {
        stream,
        push: value => sinks.forEach(({ sink, scheduler }) => sink.event(scheduler.now(), value)),
        end: () => sinks.forEach(({ sink, scheduler }) => sink.end(scheduler.now())),
    };
}

/**
 * Runs `task` at once and then every `intervalMs` after the previous run has ended.
 * A failed run is given to `onError` and yields nothing.
 */
export function pollEvery<T>(
    intervalMs: number,
    task: () => Promise<T>,
    onError: (error: Error) => void,
): most.Stream<T> {
    return new most.Stream<T>({
        run(sink, scheduler) {
            let disposed = false;
            let timer: NodeJS.Timeout | undefined;
            const runOnce = async () => {
                try {
                    const value = await task();
                    if (!disposed) {
                        sink.event(scheduler.now(), value);
                    }
                }
                catch (error) {
                    onError(error as Error);
                }
                if (!disposed) {
                    timer = setTimeout(runOnce, intervalMs);
                }
            };
            void runOnce();
            return {
                dispose() {
                    disposed = true;
                    clearTimeout(timer);
                },
            };
        },
    });
}
