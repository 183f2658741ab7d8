/** Timeouts for transfers whose size has no useful bound, which are not given up while they make progress. */
import { CallError } from "./errors.js";

export interface ProgressTimeout {
    /** Aborts once the time is over. */
    signal: AbortSignal;
    /** Records that data has arrived, which starts the time again. */
    recordProgress: () => void;
    /** Ends the timeout without aborting. */
    clear: () => void;
}

/** Starts a timeout that aborts after `maxPauseMs` milliseconds without data. */
export function startProgressTimeout(maxPauseMs: number): ProgressTimeout {
    const controller = new AbortController();
    const abort = () => controller.abort(new CallError("timed out"));
    let timer = setTimeout(abort, maxPauseMs);
    return {
        signal: controller.signal,
        recordProgress: () => {
            clearTimeout(timer);
            timer = setTimeout(abort, maxPauseMs);
        },
        clear: () => clearTimeout(timer),
    };
}

/** Reads a body as UTF-8 text; rejects if the timeout of its transfer aborts. */
export async function readBodyWithProgress(body: AsyncIterable<Buffer>, timeout: ProgressTimeout): Promise<string> {
    const chunks: Buffer[] = [];
    timeout.recordProgress();
    for await (const chunk of body) {
        chunks.push(chunk);
        timeout.recordProgress();
    }
    return Buffer.concat(chunks).toString();
}
