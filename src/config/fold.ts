/**
 * Folds configuration records from the log into the revision in force.
 *
 * Promotion n+1 is the first promotion in the log that names revision n and its digest as base. The verdict on a
 * promotion therefore depends only on its base and on the accepted promotions, never on when a reader started.
 * A reader judges promotions only while it is anchored: it has read the stream from its first record on, or from a
 * snapshot on that no promotion has overtaken.
 */
import type { LogRecord } from "../log/types.js";
import type { AcceptedPromotion, ConfigRecord, PromoteRecord, SnapshotRecord } from "./records.js";
import { parseRecord } from "./records.js";
import type { ConfigDocument } from "./schemas.js";

export type PromotionOutcome =
    | { accepted: true; revision: number; }
    /** `revision` is the one that took the place of the base, by `author`. */
    | { accepted: false; revision: number; author: string; reason: string; };

/** The configuration that a process serves with. */
export interface ActiveConfig {
    environment: string;
    revision: number;
    author: string;
    document: ConfigDocument | undefined;
}

export interface FoldState {
    readonly environment: string;
    /** Whether `revision` is the newest one before offset `next`; otherwise it is a lower bound. */
    isComplete: boolean;
    revision: number;
    digest: string;
    author: string;
    /** As it stands in the log. */
    document: unknown;
    /** The latest accepted promotions, oldest first. */
    history: AcceptedPromotion[];
    /** Offset to read from next. */
    next: number;
    /** First offset of the uninterrupted range that ends at `next`. */
    contiguousFrom: number;
    /** Offset after the last promotion of this environment; 0 when none was seen. */
    lastPromotionEnd: number;
    /** Time of the last snapshot that anchors new readers, by the log's clock; 0 when none was seen. */
    lastSnapshotTime: number;
    /** Records whose envelope could not be read. */
    unreadable: number;
    /** Snapshots that contradict this reader. */
    conflicts: number;
}

/** One answer of the log. */
export interface ReadBatch {
    records: LogRecord[];
    oldest: number;
    next: number;
}

const maxHistory = 64;

/** Creates the configuration of an environment before its first document. */
export function createInitialConfig(environment: string): ActiveConfig {
    return { environment, revision: 0, author: "", document: undefined };
}

/** Creates the state of a reader that has read nothing. */
export function createFoldState(environment: string): FoldState {
    return {
        environment,
        isComplete: true,
        revision: 0,
        digest: "",
        author: "",
        document: undefined,
        history: [],
        next: 0,
        contiguousFrom: 0,
        lastPromotionEnd: 0,
        lastSnapshotTime: 0,
        unreadable: 0,
        conflicts: 0,
    };
}

/** Applies one answer of the log, which was asked for the records from `state.next` on. */
export function foldBatch(state: FoldState, batch: ReadBatch): FoldState {
    if (batch.oldest > state.next) {
        state.isComplete = false;
        state.contiguousFrom = batch.oldest;
        state.next = batch.oldest;
    }
    for (const record of batch.records) {
        if (record.offset >= state.next) {
            foldRecord(state, record);
            state.next = record.offset + 1;
        }
    }
    state.next = Math.max(state.next, batch.next);
    return state;
}

const handlers = { promote: applyPromotion, snapshot: applySnapshot };

function foldRecord(state: FoldState, record: LogRecord): void {
    const parsed = parseRecord(record);
    if (parsed === undefined) {
        state.unreadable += 1;
        return;
    }
    if (parsed.environment === state.environment) {
        (handlers[parsed.kind] as (state: FoldState, parsed: ConfigRecord, record: LogRecord) => void)(
            state,
            parsed,
            record,
        );
    }
}

function applyPromotion(state: FoldState, promotion: PromoteRecord, record: LogRecord): void {
    state.lastPromotionEnd = record.offset + 1;
    const { base, baseDigest, digest, id, author, document } = promotion;
    if (!state.isComplete || base !== state.revision || baseDigest !== state.digest) {
        return;
    }
    state.revision += 1;
    state.digest = digest;
    state.author = author;
    state.document = document;
    state.history = [...state.history, { revision: state.revision, id, author, digest, time: record.time }]
        .slice(-maxHistory);
}

function applySnapshot(state: FoldState, snapshot: SnapshotRecord, record: LogRecord): void {
    const { revision, digest, through } = snapshot;
    const overtaken = through < state.lastPromotionEnd || through > record.offset;
    if (revision === state.revision && digest !== state.digest) {
        state.conflicts += 1;
        return;
    }
    if (state.isComplete) {
        state.conflicts += revision > state.revision ? 1 : 0;
        if (!overtaken && revision === state.revision) {
            state.lastSnapshotTime = record.time;
        }
        return;
    }
    if (revision < state.revision) {
        return;
    }
    recoverFromSnapshot(state, snapshot);
    if (!overtaken && through >= state.contiguousFrom) {
        state.isComplete = true;
        state.lastSnapshotTime = record.time;
    }
}

function recoverFromSnapshot(state: FoldState, snapshot: SnapshotRecord): void {
    state.revision = snapshot.revision;
    state.digest = snapshot.digest;
    state.author = snapshot.author;
    state.document = snapshot.document;
    state.history = snapshot.history;
}

/**
 * Decides on a promotion; undefined while it can still be accepted, or when it is too old to be judged.
 * The verdict is final whether or not the promotion is in the log.
 */
export function decidePromotion(
    state: FoldState,
    promotion: Pick<PromoteRecord, "id" | "base" | "baseDigest">,
): PromotionOutcome | undefined {
    const { id, base, baseDigest } = promotion;
    const successor = state.history.find(accepted => accepted.revision === base + 1);
    if (successor !== undefined) {
        const { revision, author } = successor;
        const reason = `made from revision ${base}, which revision ${revision} by ${author} has replaced`;
        return successor.id === id ? { accepted: true, revision } : { accepted: false, revision, author, reason };
    }
    if (state.isComplete && base === state.revision && baseDigest !== state.digest) {
        const reason = `made from another document than revision ${base}`;
        return { accepted: false, revision: state.revision, author: state.author, reason };
    }
    return undefined;
}

/** Creates the snapshot of an anchored reader; undefined when there is nothing to keep. */
export function createSnapshot(state: FoldState): SnapshotRecord | undefined {
    if (!state.isComplete || state.revision === 0) {
        return undefined;
    }
    const { environment, revision, digest, author, document, history, next } = state;
    const id = `snapshot/${environment}/${revision}/${next}`;
    return { kind: "snapshot", id, environment, revision, digest, author, document, through: next, history };
}
