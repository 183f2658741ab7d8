/** Bounded, in-memory journal of an entry's recent requests; `beechdock explain` prints its records. */

export interface JournalAttempt {
    /** Number of the attempt, from 1. */
    attempt: number;
    /** Slot that the attempt was sent to. */
    instance: string;
    /** In milliseconds since the epoch, as `endedAt`. */
    startedAt: number;
    endedAt: number | undefined;
    /** How the attempt ended; undefined while it is in progress. */
    verdict: string | undefined;
    /** Why this slot was chosen. */
    reason: string;
}

export interface JournalRecord {
    requestId: string;
    workspace: string;
    /** Path prefix of the route. */
    route: string;
    /** Arrival time, in milliseconds since the epoch. */
    receivedAt: number;
    /** Outcome reported to the caller; undefined while the request is in progress. */
    outcome: string | undefined;
    attempts: JournalAttempt[];
}

export interface Journal {
    /** Maximum number of records in each of the two maps. */
    capacity: number;
    /** Requests in progress, and those that their first attempt completed; oldest first. */
    ordinary: Map<string, JournalRecord>;
    /** Requests that were retried or failed; oldest first. */
    notable: Map<string, JournalRecord>;
}

/** Creates an empty journal that keeps up to `capacity` ordinary and `capacity` notable requests. */
export function createJournal(capacity: number): Journal {
    return { capacity, ordinary: new Map(), notable: new Map() };
}

/** Creates and stores the record of a request. */
export function beginRecord(
    journal: Journal,
    request: Pick<JournalRecord, "requestId" | "workspace" | "route" | "receivedAt">,
): JournalRecord {
    const record: JournalRecord = { ...request, outcome: undefined, attempts: [] };
    storeRecord(journal.ordinary, journal.capacity, record);
    return record;
}

/** Adds an attempt at a slot to a record; `now` is in milliseconds. */
export function beginAttempt(record: JournalRecord, instance: string, reason: string, now: number): void {
    const attempt = record.attempts.length + 1;
    record.attempts.push({ attempt, instance, startedAt: now, endedAt: undefined, verdict: undefined, reason });
}

/** Records how the latest attempt ended, unless its end is recorded already; `now` is in milliseconds. */
export function endAttempt(record: JournalRecord, verdict: string, now: number): void {
    const attempt = record.attempts[record.attempts.length - 1];
    if (attempt !== undefined && attempt.endedAt === undefined) {
        attempt.endedAt = now;
        attempt.verdict = verdict;
    }
}

/**
 * Records the outcome of a request. A request that was retried or whose response is not `complete` moves to the notable
 * ones, so that the many ordinary requests do not evict it.
 */
export function endRecord(journal: Journal, record: JournalRecord, outcome: string, complete: boolean): void {
    record.outcome = outcome;
    if (!complete || record.attempts.length > 1) {
        journal.ordinary.delete(record.requestId);
        storeRecord(journal.notable, journal.capacity, record);
    }
}

/** Finds the record of a request; returns undefined if it is unknown or has been evicted. */
export function findRecord(journal: Journal, requestId: string): JournalRecord | undefined {
    return journal.notable.get(requestId) ?? journal.ordinary.get(requestId);
}

/** Stores a record and evicts the oldest one when there are more than `capacity`. */
function storeRecord(records: Map<string, JournalRecord>, capacity: number, record: JournalRecord): void {
    records.set(record.requestId, record);
    if (records.size > capacity) {
        for (const oldest of records.keys()) {
            records.delete(oldest);
            return;
        }
    }
}
