/**
 * The newest records of the operators' document and of the instance list, ordered by their offsets in the log. Records
 * may come from the log or from peers, in any order and more than once; the highest offset of each key wins.
 */

/** A record as the log holds it; without a value, its key is dropped. */
export interface MirrorRecord {
    key: string;
    offset: number;
    value?: string;
}

/** State of an upstream in the instance list. */
export interface UpstreamRecord {
    id: string;
    pool: string;
    host: string;
    port: number;
    dataCentre: string;
    isLeaving: boolean;
    /** Unix time of the upstream's start, in milliseconds. */
    startedAt?: number;
    /** Place in its group, for ranks of groups. */
    rank?: number;
}

interface ListEntry {
    record: MirrorRecord;
    upstream: UpstreamRecord | undefined;
    /** Time until which an upstream whose record lapsed is kept, in milliseconds. */
    graceUntil: number;
}

export interface MirrorState<Document> {
    /** Offset after the newest record of the document's topic that was taken in. */
    documentEnd: number;
    documentRecord: MirrorRecord | undefined;
    document: Document | undefined;
    listEnd: number;
    entries: Map<string, ListEntry>;
    /** Time at which the log was last seen to fail, in milliseconds. */
    logFailedAt: number;
}

export interface MirrorDecoders<Document> {
    decodeDocument: (text: string) => Document | undefined;
    getRevision: (document: Document) => number;
    decodeUpstream: (id: string, text: string) => UpstreamRecord | undefined;
}

/** Time that lapsed records get to come back after the log has, in milliseconds; the letter of 4 December: two seconds. */
export const expiryGraceMs = 2300;

/** Creates a mirror that knows nothing. */
export function createMirror<Document>(): MirrorState<Document> {
    return {
        documentEnd: 0,
        documentRecord: undefined,
        document: undefined,
        listEnd: 0,
        entries: new Map(),
        logFailedAt: -Infinity,
    };
}

/** Takes in records of the document's topic that end at `end`; returns whether the document changed. */
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

/** Takes in records of the list that end at `end`; returns whether the list changed. */
export function applyListRecords<Document>(
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

/** Takes in all newest records of the list, as of `end` at least; keys that are absent are gone. */
export function replaceList<Document>(
    state: MirrorState<Document>,
    records: MirrorRecord[],
    end: number,
    decoders: MirrorDecoders<Document>,
    now: number,
): boolean {
    const present = new Set(records.map(({ key }) => key));
    const absent = [...state.entries.values()].filter(({ record }) => !present.has(record.key) && record.offset < end);
    const dropped = absent.map(({ record: { key, offset } }) => ({ key, offset: offset + 0.5 }));
    return applyListRecords(state, [...dropped, ...records], end, decoders, now);
}

/** Notes that the log failed; records that lapse around this time may come back. */
export function recordLogFailure<Document>(state: MirrorState<Document>, now: number): void {
    state.logFailedAt = Math.max(state.logFailedAt, now);
    for (const entry of state.entries.values()) {
        if (entry.graceUntil > 0) {
            entry.graceUntil = Math.max(entry.graceUntil, now + expiryGraceMs);
        }
    }
}

/** Forgets the upstreams whose time to come back has passed; returns whether there were any. */
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
 * Lists the upstreams that may be used, leaving ones included. Of several at one address only the one that was listed
 * last is there; the records of the others have not lapsed yet.
 */
export function listUpstreams<Document>(state: MirrorState<Document>): UpstreamRecord[] {
    const byAddress = new Map<string, ListEntry>();
    for (const entry of state.entries.values()) {
        const { upstream } = entry;
        if (upstream !== undefined) {
            const address = `${upstream.host}:${upstream.port}`;
            const other = byAddress.get(address);
            if (other === undefined || compareStartOrder(entry, other) > 0) {
                byAddress.set(address, entry);
            }
        }
    }
    return [...byAddress.values()].map(({ upstream }) => upstream!);
}

/** Which of two upstreams of one address was started later; the offsets decide where the list does not tell. */
function compareStartOrder(a: ListEntry, b: ListEntry): number {
    return (a.upstream?.startedAt ?? 0) - (b.upstream?.startedAt ?? 0) || a.record.offset - b.record.offset;
}

/** Lists the records after the offsets that a peer has. */
export function listRecordsSince<Document>(state: MirrorState<Document>, documentEnd: number, listEnd: number): {
    documents: MirrorRecord[];
    list: MirrorRecord[];
} {
    const { documentRecord } = state;
    const documents = documentRecord !== undefined && documentRecord.offset >= documentEnd ? [documentRecord] : [];
    const list = [...state.entries.values()].map(({ record }) => record).filter(({ offset }) => offset >= listEnd);
    return { documents, list };
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
        state.entries.set(record.key, { record, upstream, graceUntil: 0 });
        return true;
    }
    const mayReturn = known?.upstream !== undefined && !known.upstream.isLeaving &&
        now - state.logFailedAt < expiryGraceMs;
    const keptUntil = mayReturn ? state.logFailedAt + expiryGraceMs : 0;
    state.entries.set(record.key, { record, upstream: mayReturn ? known.upstream : undefined, graceUntil: keptUntil });
    return true;
}
