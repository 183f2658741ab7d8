/**
 * Local mirror of the newest records of the operators' document (the configuration document), of the instance list, whose
 * instances are upstreams, and of the quarantine of prompt parts. Records may come from the log or from peers, in any order and more than once; the
 * record with the highest offset of each key wins.
 */

import { getEra, getOffset } from "./logPosition.js";

/** A record of the log at a position (see `createLogPosition`); a record without a value is a tombstone, which deletes its key. */
export interface MirrorRecord {
    key: string;
    offset: number;
    value?: string;
    /**
     * Time for which the peer that handed over a tombstone still keeps the upstream, in milliseconds. Undefined if the
     * record is from the log.
     */
    graceMs?: number;
    /** Set on the tombstone of a key that the log lacks since it returned from an older copy: it may be written again. */
    isLost?: true;
}

/** An upstream in the instance list. */
export interface UpstreamRecord {
    id: string;
    pool: string;
    host: string;
    port: number;
    dataCentre: string;
    isLeaving: boolean;
    /** Unix time of the upstream's start, in milliseconds. */
    startedAt?: number;
    /** Rank within its group, for upstreams that belong to one. */
    rank?: number;
}

interface ListEntry {
    record: MirrorRecord;
    /** Undefined if the record is a tombstone without grace period. */
    upstream: UpstreamRecord | undefined;
    /** The upstream of the last record that named another pool, which holds while no document names the newer pool. */
    fallback: UpstreamRecord | undefined;
    /** Time until which an upstream is kept after a tombstone, in milliseconds; 0 if it is not kept. */
    graceUntil: number;
    /** Whether a peer set the grace period, so that failed reads of this process do not extend it. */
    isGraceFixed: boolean;
}

/** State of a mirror. Times are those of the `now` arguments, in milliseconds. */
export interface MirrorState<Document> {
    /** Offset after the newest processed record of the document's topic. */
    documentEnd: number;
    documentRecord: MirrorRecord | undefined;
    document: Document | undefined;
    /** Offset after the newest processed record of the list's topic. */
    listEnd: number;
    /** End of the last snapshot of the list; a mirror lacks tombstones before it, of keys that it never knew. */
    listSnapshotEnd: number;
    /** Newest records of the list and their upstreams, by key. */
    entries: Map<string, ListEntry>;
    /** Time of the last failed read of the log, in milliseconds. */
    logFailedAt: number;
    /** Offset after the newest processed record of the quarantine's topic; undefined before the first one. */
    quarantineEnd: number | undefined;
    /** End of the last snapshot of the quarantine, or of the records that were dropped; see `listSnapshotEnd`. */
    quarantineSnapshotEnd: number;
    /** Newest records of the quarantine, by key. */
    quarantineRecords: Map<string, MirrorRecord>;
}

/**
 * Decoders of records' values; they return undefined for values that are not valid. A record of the list that is not valid is
 * ignored: it may come from another writer and says nothing of the upstream whose key it has.
 */
export interface MirrorDecoders<Document> {
    decodeDocument: (text: string) => Document | undefined;
    getRevision: (document: Document) => number;
    decodeUpstream: (id: string, text: string) => UpstreamRecord | undefined;
}

/**
 * Time for which expired upstreams are kept after a log failure, in milliseconds. Once the log has recovered, upstreams
 * must have two seconds to renew their records.
 */
export const expiryGraceMs = 2300;

/** Creates an empty mirror. */
export function createMirror<Document>(): MirrorState<Document> {
    return {
        documentEnd: 0,
        documentRecord: undefined,
        document: undefined,
        listEnd: 0,
        listSnapshotEnd: 0,
        entries: new Map(),
        logFailedAt: -Infinity,
        quarantineEnd: undefined,
        quarantineSnapshotEnd: 0,
        quarantineRecords: new Map(),
    };
}

/** Maximum number of records of the quarantine that are kept; those with the highest offsets. */
const maxQuarantineRecords = 1024;

/**
 * Applies records of the quarantine's topic; `end` is the offset after the last of them. Records that a complete snapshot
 * lacks are deleted, or lost if the log has returned from an older copy. Returns the records that changed the mirror,
 * tombstones included, and the lost ones, which stay in the mirror.
 */
export function applyQuarantineBatch<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    isComplete: boolean,
): { changes: MirrorRecord[]; lost: MirrorRecord[]; } {
    const { quarantineRecords, quarantineSnapshotEnd } = state;
    const isNewEra = getEra(end) > getEra(state.quarantineEnd ?? 0);
    const absent = isComplete ?
        findAbsent([...quarantineRecords.values()], records, end).map(({ record }) => record) :
        [];
    const live = absent.filter(({ value }) => value !== undefined);
    const lost = isNewEra ? live : [];
    const deleted = isNewEra ? [] : live;
    const tombstones = deleted.map(({ key, offset }): MirrorRecord => ({ key, offset: offset + 0.5 }));
    const undeleted = isComplete && end >= quarantineSnapshotEnd ?
        records :
        dropDeletedRecords(records, quarantineSnapshotEnd, key => quarantineRecords.get(key));
    if (isComplete) {
        state.quarantineSnapshotEnd = Math.max(quarantineSnapshotEnd, end);
    }
    const changes = [...tombstones, ...undeleted].filter(record => {
        const known = quarantineRecords.get(record.key);
        if (known !== undefined && known.offset >= record.offset) {
            return false;
        }
        quarantineRecords.set(record.key, record);
        return true;
    });
    const excess = quarantineRecords.size - maxQuarantineRecords;
    if (excess > 0) {
        const oldest = [...quarantineRecords.values()].sort((a, b) => a.offset - b.offset).slice(0, excess);
        oldest.forEach(({ key }) => quarantineRecords.delete(key));
        state.quarantineSnapshotEnd = Math.max(state.quarantineSnapshotEnd, oldest.at(-1)!.offset + 1);
    }
    state.quarantineEnd = Math.max(state.quarantineEnd ?? 0, end);
    return { changes, lost };
}

/** Whether the log has deleted a key of the quarantine, as far as this mirror knows. */
export function isQuarantineDeleted<Document>({ quarantineRecords }: MirrorState<Document>, key: string): boolean {
    const known = quarantineRecords.get(key);
    return known !== undefined && known.value === undefined;
}

/** Whether the newest record of a key of the quarantine, if there is one, is from before the era of the log. */
export function isQuarantineLost<Document>(
    { quarantineRecords, quarantineEnd = 0 }: MirrorState<Document>,
    key: string,
): boolean {
    return getEra(quarantineRecords.get(key)?.offset ?? 0) < getEra(quarantineEnd);
}

/**
 * Applies records of the document's topic; `end` is the offset after the last of them. Ignores a document that is not
 * valid or has a lower revision. Returns whether the document changed.
 */
export function applyDocumentRecords<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    decoders: MirrorDecoders<Document>,
): boolean {
    state.documentEnd = Math.max(state.documentEnd, end);
    const newest = records.filter(({ value }) => value !== undefined).sort((a, b) => b.offset - a.offset)[0];
    if (newest === undefined || newest.offset <= (state.documentRecord?.offset ?? -1)) {
        return false;
    }
    const document = decoders.decodeDocument(newest.value!);
    const isOlder = document !== undefined && state.document !== undefined &&
        decoders.getRevision(document) < decoders.getRevision(state.document);
    if (document === undefined || isOlder) {
        return false;
    }
    state.documentRecord = newest;
    state.document = document;
    return true;
}

/**
 * Drops the records of keys that a snapshot up to `snapshotEnd` lacked: they have been deleted, and the tombstones that say so
 * lie before all further reads. A peer or a late response of the log that brings such a record precedes the snapshot.
 */
function dropDeletedRecords(
    records: MirrorRecord[],
    snapshotEnd: number,
    findKnown: (key: string) => MirrorRecord | undefined,
): MirrorRecord[] {
    return records.filter(({ key, offset, value }) =>
        value === undefined || offset >= snapshotEnd || findKnown(key)?.value !== undefined
    );
}

/**
 * Finds the known records whose keys a snapshot up to `end` lacks. A peer that began with a snapshot itself may send a tombstone
 * which is older than the record, as it has read neither the record nor the one that deleted it.
 */
function findAbsent(
    known: MirrorRecord[],
    snapshot: MirrorRecord[],
    end: number,
): { record: MirrorRecord; tombstone: MirrorRecord | undefined; }[] {
    const received = new Map(snapshot.map(record => [record.key, record]));
    return known.flatMap(record => {
        const other = received.get(record.key);
        const isAbsent = other === undefined || (other.value === undefined && other.offset < record.offset);
        return isAbsent && record.offset < end ? [{ record, tombstone: other }] : [];
    });
}

/** Applies records of the list; `end` is the offset after the last of them. Returns whether the list changed. */
export function applyListRecords<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    decoders: MirrorDecoders<Document>,
    now: number,
): boolean {
    return applyNewestRecords(state, dropDeletedListRecords(state, records), end, decoders, now);
}

function dropDeletedListRecords<Document>(
    { entries, listSnapshotEnd }: MirrorState<Document>,
    records: MirrorRecord[],
): MirrorRecord[] {
    return dropDeletedRecords(records, listSnapshotEnd, key => entries.get(key)?.record);
}

function applyNewestRecords<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    decoders: MirrorDecoders<Document>,
    now: number,
): boolean {
    let hasChanged = false;
    for (const record of records) {
        hasChanged = applyListRecord(state, record, decoders, now) || hasChanged;
    }
    state.listEnd = Math.max(state.listEnd, end);
    return hasChanged;
}

/**
 * Applies a snapshot of the list that is complete up to `end`. Keys that the snapshot lacks are deleted unless their
 * record is newer. Returns whether the list changed.
 *
 * The first snapshot of a new era holds what an older copy of the log held: what it lacks gets the grace period of an
 * outage, and what is known to be leaving or gone stays so until its record is written again.
 */
export function replaceList<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    decoders: MirrorDecoders<Document>,
    now: number,
): boolean {
    const isNewEra = getEra(end) > getEra(state.listEnd);
    if (isNewEra && state.listEnd > 0) {
        recordLogFailure(state, now);
    }
    // Half an offset above the record: newer than the record itself, older than any later record of its key. In a new era
    // the tombstone is of that era too, so that peers which are cut off from the log are handed it.
    const isInEra = isNewEra && getOffset(end) > 0;
    const known = [...state.entries.values()].map(({ record }) => record);
    const absent = findAbsent(known, records, end).filter(({ record: { value } }) => value !== undefined || isInEra);
    const tombstones = absent.map(({ record: { key, offset, value, isLost }, tombstone }): MirrorRecord => ({
        key,
        offset: isInEra ? end - 0.5 : offset + 0.5,
        graceMs: tombstone?.graceMs,
        isLost: isNewEra && value !== undefined ? true : isLost,
    }));
    const undeleted = end < state.listSnapshotEnd ? dropDeletedListRecords(state, records) : records;
    const current = isNewEra ?
        undeleted.filter(record => !isOutdated(state.entries.get(record.key), record, decoders)) :
        undeleted;
    state.listSnapshotEnd = Math.max(state.listSnapshotEnd, end);
    return applyNewestRecords(state, [...tombstones, ...current], end, decoders, now);
}

/** Whether a record of a new era's first snapshot may be older than what is known: that the upstream is leaving or gone. */
function isOutdated<Document>(
    known: ListEntry | undefined,
    { key, value, offset }: MirrorRecord,
    decoders: MirrorDecoders<Document>,
): boolean {
    const isKnownToLeave = known !== undefined && getEra(known.record.offset) < getEra(offset) &&
        (known.upstream?.isLeaving ?? (known.record.value === undefined && known.record.isLost === undefined));
    return isKnownToLeave && value !== undefined && decoders.decodeUpstream(key, value)?.isLeaving !== true;
}

/** Records that the log is failing, which starts or extends the grace period of expired upstreams. */
export function recordLogFailure<Document>(state: MirrorState<Document>, now: number): void {
    state.logFailedAt = Math.max(state.logFailedAt, now);
    for (const entry of state.entries.values()) {
        if (entry.graceUntil > 0 && !entry.isGraceFixed) {
            entry.graceUntil = Math.max(entry.graceUntil, now + expiryGraceMs);
        }
    }
}

/** Removes the upstreams whose grace period has ended; returns whether there were any. */
export function removeExpiredUpstreams<Document>(state: MirrorState<Document>, now: number): boolean {
    let hasChanged = false;
    for (const entry of state.entries.values()) {
        if (entry.record.value === undefined && entry.upstream !== undefined && now >= entry.graceUntil) {
            entry.upstream = undefined;
            entry.graceUntil = 0;
            hasChanged = true;
        }
    }
    return hasChanged;
}

/**
 * Lists the upstreams of the pools for which `isPool` holds, including those that are leaving. Of several at one address it
 * returns the one that was started last; the others are gone, but their records have not expired yet.
 */
export function listUpstreams<Document>(
    state: MirrorState<Document>,
    isPool: (name: string) => boolean = () => true,
): UpstreamRecord[] {
    const byAddress = new Map<string, ListedUpstream>();
    for (const { record: { offset }, upstream: newest, fallback } of state.entries.values()) {
        const upstream = newest === undefined ?
            undefined :
            [newest, fallback].find(known => known && isPool(known.pool));
        if (upstream !== undefined) {
            const address = `${upstream.host}:${upstream.port}`;
            const other = byAddress.get(address);
            if (other === undefined || compareStartOrder({ upstream, offset }, other) > 0) {
                byAddress.set(address, { upstream, offset });
            }
        }
    }
    return [...byAddress.values()].map(({ upstream }) => upstream);
}

interface ListedUpstream {
    upstream: UpstreamRecord;
    offset: number;
}

/** Compares two upstreams at one address by start time, then by offset; positive if `a` is the later one. */
function compareStartOrder(a: ListedUpstream, b: ListedUpstream): number {
    return (a.upstream.startedAt ?? 0) - (b.upstream.startedAt ?? 0) || a.offset - b.offset;
}

/**
 * Lists the records of the quarantine at or after an offset, for a peer that has read up to there; all, as a snapshot, if this
 * mirror may lack tombstones from there on.
 */
export function listQuarantineSince<Document>(
    { quarantineRecords, quarantineSnapshotEnd }: MirrorState<Document>,
    quarantineEnd: number,
): { quarantine: MirrorRecord[]; isQuarantineComplete: boolean; } {
    const isQuarantineComplete = quarantineEnd < quarantineSnapshotEnd;
    const quarantine = [...quarantineRecords.values()].filter(({ offset }) =>
        isQuarantineComplete || offset >= quarantineEnd
    );
    return { quarantine, isQuarantineComplete };
}

/**
 * Lists the records at or after the given offsets, for a peer that has read up to there at `now`; of the list all, as a
 * snapshot, if this mirror may lack tombstones from there on.
 */
export function listRecordsSince<Document>(
    state: MirrorState<Document>,
    documentEnd: number,
    listEnd: number,
    now: number,
): { documents: MirrorRecord[]; list: MirrorRecord[]; isListComplete: boolean; } {
    const { documentRecord } = state;
    const documents = documentRecord !== undefined && documentRecord.offset >= documentEnd ? [documentRecord] : [];
    const isListComplete = listEnd < state.listSnapshotEnd;
    const entries = [...state.entries.values()].filter(({ record }) => isListComplete || record.offset >= listEnd);
    const list = entries.map(({ record, graceUntil }) =>
        record.value === undefined ? { ...record, graceMs: Math.max(0, Math.round(graceUntil - now)) } : record
    );
    return { documents, list, isListComplete };
}

function applyListRecord<Document>(
    state: MirrorState<Document>,
    record: MirrorRecord,
    decoders: MirrorDecoders<Document>,
    now: number,
): boolean {
    const known = state.entries.get(record.key);
    if (known !== undefined && known.record.offset >= record.offset) {
        return false;
    }
    if (record.value !== undefined) {
        const upstream = decoders.decodeUpstream(record.key, record.value);
        if (upstream === undefined) {
            return false;
        }
        const previous = known?.upstream;
        const fallback = previous === undefined || previous.pool === upstream.pool ? known?.fallback : previous;
        state.entries.set(record.key, { record, upstream, fallback, graceUntil: 0, isGraceFixed: false });
        return true;
    }
    const { graceMs } = record;
    const isGraceFixed = graceMs !== undefined;
    const graceEnd = isGraceFixed ? now + Math.min(graceMs, expiryGraceMs) : state.logFailedAt + expiryGraceMs;
    const isInGracePeriod = known?.upstream !== undefined && !known.upstream.isLeaving && now < graceEnd;
    state.entries.set(record.key, {
        record,
        upstream: isInGracePeriod ? known.upstream : undefined,
        fallback: isInGracePeriod ? known.fallback : undefined,
        graceUntil: isInGracePeriod ? graceEnd : 0,
        isGraceFixed,
    });
    return true;
}
