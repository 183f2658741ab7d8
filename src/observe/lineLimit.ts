/** Bounds the log lines of a process under load: a bucket of lines that fills at a fixed rate. */

export interface LineLimit {
    /** Whether a line may be written now. */
    admit: (now: number) => boolean;
}

/** Lines a second in the long run; ten times the requests of an entry on a usual day. */
const linesPerSecond = 40;
/** Lines at once. */
const burstLines = 400;

/** Creates a limit whose bucket is full. */
export function createLineLimit(): LineLimit {
    let lines = burstLines;
    let filledAt = 0;
    return {
        admit: now => {
            lines = Math.min(burstLines, lines + (now - filledAt) / 1000 * linesPerSecond);
            filledAt = now;
            if (lines < 1) {
                return false;
            }
            lines -= 1;
            return true;
        },
    };
}
