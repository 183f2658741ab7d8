/** Token bucket that limits the log lines of a process under load. */

export interface LogRateLimiter {
    /** Returns whether a line may be written at `now`, in milliseconds, and consumes a token if so. */
    admit: (now: number) => boolean;
}

/** Refill rate in lines per second; ten times the usual request rate of an entry. */
const linesPerSecond = 40;
/** Capacity of the bucket in lines. */
const burstLines = 400;

/** Creates a limiter with a full bucket. */
export function createLogRateLimiter(): LogRateLimiter {
    let availableLines = burstLines;
    let refilledAt = 0;
    return {
        admit: now => {
            availableLines = Math.min(burstLines, availableLines + (now - refilledAt) / 1000 * linesPerSecond);
            refilledAt = now;
            if (availableLines < 1) {
                return false;
            }
            availableLines -= 1;
            return true;
        },
    };
}
