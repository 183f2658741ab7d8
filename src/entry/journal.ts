/** Bounded record of recent requests, from which `beechdock explain` tells what became of one. */

export interface JournalAttempt {
    attempt: number;
    /** Slot that the attempt went to. */
    instance: string;
    /** Times in milliseconds. */
    startedAt: number;
    endedAt: number | undefined;
    /** How the attempt ended; undefined while it runs. */
    verdict: string | undefined;
    /** Why this slot was chosen. */
    reason: string;
}

export interface JournalRecord {
    requestId: string;
    workspace: string;
    /** Path prefix of the route. */
    route: string;
    /** Time in milliseconds. */
    receivedAt: number;
    /** What the caller was told; undefined while the request runs. */
    outcome: string | undefined;
    attempts: JournalAttempt[];
}

export interface Journal {
    capacity: number;
    /** Requests that run, or that ended whole at their first attempt; oldest first. */
    ordinary: Map<string, JournalRecord>;
    /** Requests that were retried or did not end whole; oldest first. */
    notable: Map<string, JournalRecord>;
}

/** Creates an empty journal that holds `capacity` requests of each kind. */
export function createJournal(capacity: number): Journal {
    return { capacity, ordinary: new Map(), notable: new Map() };
}

/** Begins the record of a request. */
export function beginRecord(
    journal: Journal,
    request: Pick<JournalRecord, "requestId" | "workspace" | "route" | "receivedAt">,
): JournalRecord {
    const record: JournalRecord = { ...request, outcome: undefined, attempts: [] };
    storeRecord(journal.ordinary, journal.capacity, record);
    return record;
}

/** Notes that an attempt begins at a slot. */
export function beginAttempt(record: JournalRecord, instance: string, reason: string, now: number): void {
    const attempt = record.attempts.length + 1;
    record.attempts.push({ attempt, instance, startedAt: now, endedAt: undefined, verdict: undefined, reason });
}

/** Notes how the newest attempt ended; an attempt ends once. */
export function endAttempt(record: JournalRecord, verdict: string, now: number): void {
    const attempt = record.attempts[record.attempts.length - 1];
    if (attempt !== undefined && attempt.endedAt === undefined) {
        attempt.endedAt = now;
        attempt.verdict = verdict;
    }
}

/** Ends a record; one that was retried or not answered whole is kept apart from the many others. */
export function endRecord(journal: Journal, record: JournalRecord, outcome: string, complete: boolean): void {
    record.outcome = outcome;
    if (!complete || record.attempts.length > 1) {
        journal.ordinary.delete(record.requestId);
        storeRecord(journal.notable, journal.capacity, record);
    }
}

/** Finds the record of a request; undefined when it is unknown or has been dropped. */
export function findRecord(journal: Journal, requestId: string): JournalRecord | undefined {
    return journal.notable.get(requestId) ?? journal.ordinary.get(requestId);
}

function storeRecord(records: Map<string, JournalRecord>, capacity: number, record: JournalRecord): void {
    records.set(record.requestId, record);
    if (records.size > capacity) {
        for (const oldest of records.keys()) {
            records.delete(oldest);
            return;
        }
    }
}
