/** Bounds the log lines of a process under load: a bucket of lines that fills at a fixed rate. */

export interface LogRateLimiter {
    /** Whether a line may be written now. */
    admit: (now: number) => boolean;
}

/** Lines a second in the long run; ten times the requests of an entry on a usual day. */
const linesPerSecond = 40;
/** Lines at once. */
const burstLines = 400;

/** Creates a limit whose bucket is full. */
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
