/**
 * Folds the records of the configuration stream into the current revision, as in event sourcing. A revision is a
 * numbered version of the configuration document; a promotion is a request to make a document the next one.
 *
 * Revision n+1 is the first promotion in the log whose base is revision n with its digest (optimistic concurrency).
 * The outcome of a promotion therefore depends only on its base and on the accepted promotions, never on when a reader
 * started. A reader accepts promotions only while its history is complete: it has read the stream from the first
 * record, or from a snapshot that was not stale. A snapshot is stale if a promotion was appended between the position
 * that its writer had read up to and the snapshot itself.
 */
import type { LogRecord } from "../log/types.js";
import type { AcceptedPromotion, ConfigRecord, PromoteRecord, SnapshotRecord } from "./records.js";
import { parseRecord } from "./records.js";
import type { ConfigDocument } from "./schemas.js";

/** Final result of a promotion. */
export type PromotionOutcome =
    | { accepted: true; revision: number; }
    /**
     * `revision` is the one by `author` that replaced the base, or the base itself if the promotion names another
     * document for it.
     */
    | { accepted: false; revision: number; author: string; reason: string; };

/** The configuration that a process applies to requests. */
export interface ActiveConfig {
    environment: string;
    revision: number;
    author: string;
    /** Undefined before the first document. */
    document: ConfigDocument | undefined;
}

/** What a reader has derived from the stream so far. */
export interface FoldState {
    readonly environment: string;
    /** Whether no promotion before offset `next` was missed; if false, `revision` is only a lower bound. */
    isComplete: boolean;
    revision: number;
    digest: string;
    author: string;
    /** Document as stored in the log, before defaults are applied. */
    document: unknown;
    /** The latest accepted promotions, oldest first. */
    history: AcceptedPromotion[];
    /** Offset of the next read. */
    next: number;
    /** First offset of the range without gaps that ends at `next`. */
    contiguousFrom: number;
    /** Offset after the last promotion of this environment, accepted or not; 0 if none was read. */
    lastPromotionEnd: number;
    /** Append time of the last snapshot that readers can start from, in milliseconds since 1970; 0 if none was read. */
    lastSnapshotTime: number;
    /** Number of records with an unknown envelope or a digest that does not match. */
    unreadable: number;
    /** Number of snapshots that contradict this reader's revision. */
    conflicts: number;
}

/** The part of a log read response that the fold uses. */
export interface ReadBatch {
    records: LogRecord[];
    oldest: number;
    next: number;
}

/** Number of accepted promotions to keep; retries of older ones get no outcome. */
const maxHistory = 64;

/** Creates the configuration of an environment that has no document yet. */
export function createInitialConfig(environment: string): ActiveConfig {
    return { environment, revision: 0, author: "", document: undefined };
}

/** Creates the state of a reader at the start of the stream. */
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

/**
 * Applies the response to a read from `state.next`, and returns the same, mutated state.
 * Records before `state.next` are skipped; records that the log has already truncated make the history incomplete.
 */
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
    const isStale = through < state.lastPromotionEnd || through > record.offset;
    if (revision === state.revision && digest !== state.digest) {
        state.conflicts += 1;
        return;
    }
    if (state.isComplete) {
        state.conflicts += revision > state.revision ? 1 : 0;
        if (!isStale && revision === state.revision) {
            state.lastSnapshotTime = record.time;
        }
        return;
    }
    if (revision < state.revision) {
        return;
    }
    recoverFromSnapshot(state, snapshot);
    if (!isStale && through >= state.contiguousFrom) {
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
 * Determines the outcome of a promotion; undefined while it can still be accepted, or if its base is too old for the
 * retained history. An outcome is final, whether or not the promotion is in the log.
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

/** Creates a snapshot of a reader; undefined if its history is incomplete or there is no revision yet. */
export function createSnapshot(state: FoldState): SnapshotRecord | undefined {
    if (!state.isComplete || state.revision === 0) {
        return undefined;
    }
    const { environment, revision, digest, author, document, history, next } = state;
    const id = `snapshot/${environment}/${revision}/${next}`;
    return { kind: "snapshot", id, environment, revision, digest, author, document, through: next, history };
}
