/** Decides how long a slot that runs nothing more has to stay, so that every answer reaches its reader whole. */
import { recordRetentionMs, type RunStore } from "./runStore.js";

/** How long an answer can be resumed after it was delivered: longer than an entry takes to notice a silence. */
const resumeGraceMs = 2500;
/** How long an answer waits for a reader. */
const undeliveredGraceMs = 5000;

/** Computes the time until no answer is likely to be asked for again, in milliseconds. */
export function computeShutdownDelayMs(ledger: RunStore, now: number): number {
    let until = now;
    for (const record of ledger.records.values()) {
        if (record.state === "ended") {
            const endedAt = record.expiresAt - recordRetentionMs;
            until = Math.max(until, endedAt + (record.delivered < record.next ? undeliveredGraceMs : resumeGraceMs));
        }
    }
    return until - now;
}
