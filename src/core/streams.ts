/** Adapters between promises and `most` streams. */
import * as most from "most";

/**
 * Runs `task` immediately and then again `intervalMs` after each run has ended, and emits the values. If `intervalMs`
 * is a function, it computes the interval from the value of the run, which is undefined after a failure. The error of a
 * failed run is passed to `onError`, and nothing is emitted.
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
