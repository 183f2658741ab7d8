/** Decides how long a slot stays up after its last run has ended, so that all responses can be delivered. */
import { recordRetentionMs, type RunStore } from "./runStore.js";

/** Time for which a delivered response can be resumed, in milliseconds; longer than an entry's stream timeout. */
const resumeGraceMs = 2500;
/** Time for which a response that has not been delivered waits for a reader, in milliseconds. */
const undeliveredGraceMs = 5000;

/** Computes the time until no response is expected to be requested or resumed any more, in milliseconds. */
export function computeShutdownDelayMs(store: RunStore, now: number): number {
    let until = now;
    for (const record of store.records.values()) {
        if (record.state === "ended") {
            const endedAt = record.expiresAt - recordRetentionMs;
            until = Math.max(until, endedAt + (record.delivered < record.next ? undeliveredGraceMs : resumeGraceMs));
        }
    }
    return until - now;
}
