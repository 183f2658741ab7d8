/**
 * Decides which revision a process serves with, from the log and from its peers.
 * The revision never falls. A document that this version cannot parse leaves the previous one in use.
 */
import { computeDigest } from "./digest.js";
import {
    type ActiveConfig,
    createFoldState,
    createInitialConfig,
    createSnapshot,
    foldBatch,
    type FoldState,
    type ReadBatch,
} from "./fold.js";
import { DocumentSchema } from "./schemas.js";

export const RevisionSource = { none: "none", log: "log", peer: "peer" } as const;
export type RevisionSource = (typeof RevisionSource)[keyof typeof RevisionSource];

/** A revision with its document as it stands in the log. */
export interface Revision {
    revision: number;
    digest: string;
    author: string;
    document: unknown;
}

export interface RevisionState {
    fold: FoldState;
    /** The newest revision known, usable or not. */
    newest: Revision;
    /** What the process serves with. */
    activeConfig: ActiveConfig;
    source: RevisionSource;
    /** Time at which `inForce` came into force, in milliseconds. */
    since: number;
    /** The newest revision when this version cannot use it. */
    refused: { revision: number; reason: string; } | undefined;
    /** Revisions that came with two different documents. */
    conflicts: number;
    ready: boolean;
    /** Time of the start, in milliseconds. */
    startedAt: number;
    /** Time of the last answer of the log, in milliseconds; 0 before the first. */
    logAnsweredAt: number;
}

export type RevisionEvent =
    | { kind: "log"; batch: ReadBatch; atEnd: boolean; }
    | { kind: "peer"; candidate: Revision; }
    /** Peers of the own data centre were asked; `newest` is the highest revision that one of them told. */
    | { kind: "peersAsked"; answered: number; newest: number; };

export type RevisionAction =
    | { kind: "inForce"; config: ActiveConfig; source: RevisionSource; }
    | { kind: "refused"; revision: number; reason: string; }
    | { kind: "conflict"; revision: number; }
    | { kind: "ready"; source: RevisionSource; };

/** Time that a fresh process leaves the log before it trusts its peers, in milliseconds. */
const logGraceMs = 3000;

/** Creates the state of a process that knows nothing. */
export function createRevisionState(environment: string, now: number): RevisionState {
    return {
        fold: createFoldState(environment),
        newest: { revision: 0, digest: "", author: "", document: undefined },
        activeConfig: createInitialConfig(environment),
        source: RevisionSource.none,
        since: now,
        refused: undefined,
        conflicts: 0,
        ready: false,
        startedAt: now,
        logAnsweredAt: 0,
    };
}

const handlers = { log: handleLog, peer: handlePeer, peersAsked: handlePeersAsked };

/** Applies an event; returns what has changed. */
export function handleRevisionEvent(state: RevisionState, event: RevisionEvent, now: number): RevisionAction[] {
    return handlers[event.kind](state, event as never, now);
}

function handleLog(
    state: RevisionState,
    event: Extract<RevisionEvent, { kind: "log"; }>,
    now: number,
): RevisionAction[] {
    const offers = foldRevisions(state.fold, event.batch);
    state.logAnsweredAt = now;
    const actions = offers.length === 0 ? [] : handleRevisions(state, offers, RevisionSource.log, now);
    if (event.atEnd && state.fold.isComplete) {
        actions.push(...markReady(state, RevisionSource.log));
    }
    return actions;
}

function handlePeer(
    state: RevisionState,
    { candidate: offer }: Extract<RevisionEvent, { kind: "peer"; }>,
    now: number,
): RevisionAction[] {
    if (computeDigest(offer.document) !== offer.digest) {
        return [];
    }
    return handleRevisions(state, [offer], RevisionSource.peer, now);
}

function handlePeersAsked(
    state: RevisionState,
    event: Extract<RevisionEvent, { kind: "peersAsked"; }>,
    now: number,
): RevisionAction[] {
    const waited = now - state.startedAt >= logGraceMs;
    const current = state.newest.revision > 0 && state.newest.revision >= event.newest;
    return waited && event.answered > 0 && current ? markReady(state, RevisionSource.peer) : [];
}

function markReady(state: RevisionState, source: RevisionSource): RevisionAction[] {
    if (state.ready) {
        return [];
    }
    state.ready = true;
    return [{ kind: "ready", source }];
}

/** Folds a batch; returns each revision that it brought, oldest first. */
function foldRevisions(fold: FoldState, { records, oldest, next }: ReadBatch): Revision[] {
    const offers: Revision[] = [];
    const foldPart = (part: ReadBatch) => {
        const before = fold.revision;
        foldBatch(fold, part);
        const { revision, digest, author, document } = fold;
        if (revision > before) {
            offers.push({ revision, digest, author, document });
        }
    };
    records.forEach(record => foldPart({ records: [record], oldest, next: record.offset + 1 }));
    foldPart({ records: [], oldest, next });
    return offers;
}

/** Takes in revisions, oldest first; the newest one that this version can use comes into force. */
function handleRevisions(
    state: RevisionState,
    offers: Revision[],
    source: RevisionSource,
    now: number,
): RevisionAction[] {
    const { newest } = state;
    const offer = offers[offers.length - 1];
    if (offer.revision === newest.revision && offer.digest !== newest.digest) {
        state.conflicts += 1;
        return [{ kind: "conflict", revision: offer.revision }];
    }
    if (offer.revision <= newest.revision) {
        return [];
    }
    state.newest = offer;
    state.refused = undefined;
    const actions: RevisionAction[] = [];
    for (const candidate of offers.filter(o => o.revision > state.activeConfig.revision).reverse()) {
        const action = applyRevision(state, candidate, source, now);
        actions.push(action);
        if (action.kind === "inForce") {
            break;
        }
    }
    return actions;
}

function applyRevision(state: RevisionState, offer: Revision, source: RevisionSource, now: number): RevisionAction {
    const { revision, author, document } = offer;
    const result = DocumentSchema.safeParse(document);
    if (!result.success) {
        const [issue] = result.error.issues;
        const reason = `${issue.path.join(".")}: ${issue.message}`;
        state.refused ??= { revision, reason };
        return { kind: "refused", revision, reason };
    }
    state.activeConfig = { environment: state.activeConfig.environment, revision, author, document: result.data };
    state.source = source;
    state.since = now;
    return { kind: "inForce", config: state.activeConfig, source };
}

const snapshotIntervalMs = 10 * 60_000;
const rankDelayMs = 5000;
const jitterMs = 2000;

/**
 * Decides when this process appends a snapshot, in milliseconds since 1970; undefined when it has none to give.
 * `rank` is its place among the live instances by rendezvous hashing, so that usually only the first one appends.
 */
export function planSnapshot(state: RevisionState, rank: number, random: number): number | undefined {
    const { fold } = state;
    if (createSnapshot(fold) === undefined) {
        return undefined;
    }
    const last = fold.lastSnapshotTime === 0 ? fold.history[0].time : fold.lastSnapshotTime;
    return last + snapshotIntervalMs + rank * rankDelayMs + random * jitterMs;
}
