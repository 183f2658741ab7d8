/** Reports errors in this process that concern one request, message or interval, and contains them there. */
import type { Counter } from "prom-client";
import type { Logger } from "./logger.js";
import { createLogRateLimiter } from "./logRateLimiter.js";

/** Counts and logs an error, with the id of the request that it ended if there is one. */
export type FaultReporter = (error: Error, requestId?: string) => void;

/** Creates a reporter; all errors are counted, and logged up to a rate limit. `now` is in milliseconds. */
export function createFaultReporter(logger: Logger, faults: Counter<string>, now: () => number): FaultReporter {
    const logRateLimiter = createLogRateLimiter();
    return (error, requestId) => {
        faults.inc();
        if (logRateLimiter.admit(now())) {
            logger.error("A step has failed.", { requestId, error: error.stack ?? String(error) });
        }
    };
}

/** Wraps a step so that an error which it throws, or rejects with, is reported and ends this step alone. */
export function containFaults<Args extends unknown[]>(
    report: FaultReporter,
    step: (...args: Args) => unknown,
): (...args: Args) => void {
    return (...args) => {
        try {
            Promise.resolve(step(...args)).catch(report);
        }
        catch (error) {
            report(error as Error);
        }
    };
}
