/** Small bridges between callbacks, promises and `most` streams. */
import * as most from "most";

/**
 * Runs `task` at once and then every `intervalMs` after the previous run has ended; a function computes the interval
 * from the run's value, undefined after a failure. A failed run is given to `onError` and yields nothing.
 */
export function pollEvery<T>(
    intervalMs: number | ((value: T | undefined) => number),
    task: () => Promise<T>,
    onError: (error: Error) => void,
): most.Stream<T> {
    return new most.Stream<T>({
        run(sink, scheduler) {
            let disposed = false;
            let timer: NodeJS.Timeout | undefined;
            const runOnce = async () => {
                let value: T | undefined;
                try {
                    value = await task();
                    if (!disposed) {
                        sink.event(scheduler.now(), value);
                    }
                }
                catch (error) {
                    onError(error as Error);
                }
                if (!disposed) {
                    timer = setTimeout(runOnce, typeof intervalMs === "number" ? intervalMs : intervalMs(value));
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
