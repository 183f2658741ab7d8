/**
 * Selects the revision (numbered version) of the configuration document that a process applies, out of those learned
 * from the log and from peers. The revision never decreases. If this version of the program cannot parse the document
 * of a revision, the previous one stays active.
 */
import { hasDigest } from "./digest.js";
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

/** Where the active revision was learned from. */
export const RevisionSource = { none: "none", log: "log", peer: "peer" } as const;
export type RevisionSource = (typeof RevisionSource)[keyof typeof RevisionSource];

/** A revision with its document as stored in the log, before defaults are applied. */
export interface Revision {
    revision: number;
    digest: string;
    author: string;
    document: unknown;
}

/** Revisions known to a process, and whether its configuration is ready. */
export interface RevisionState {
    fold: FoldState;
    /** The newest known revision, whether or not this version can parse it. */
    newest: Revision;
    /** The configuration that the process applies to requests. */
    activeConfig: ActiveConfig;
    source: RevisionSource;
    /** Time at which `activeConfig` became active, in milliseconds since 1970. */
    since: number;
    /** The newest revision with its first schema issue, if this version cannot parse its document. */
    refused: { revision: number; reason: string; } | undefined;
    /** Number of revisions received with a digest that differs from that of the newest one. */
    conflicts: number;
    /** Whether the process may serve: the log was read to its end, or peers confirmed the newest revision. */
    ready: boolean;
    /** Time of the start, in milliseconds since 1970. */
    startedAt: number;
    /** Time of the last response from the log, in milliseconds since 1970; 0 before the first. */
    logAnsweredAt: number;
}

/** What a process learns about revisions. */
export type RevisionEvent =
    | { kind: "log"; batch: ReadBatch; atEnd: boolean; }
    | { kind: "peer"; candidate: Revision; }
    /** `responses` peers of the same data centre responded to a poll; `newest` is the highest revision among them. */
    | { kind: "peersPolled"; responses: number; newest: number; };

/** What the caller of `handleRevisionEvent` has to do. */
export type RevisionAction =
    | { kind: "inForce"; config: ActiveConfig; source: RevisionSource; }
    | { kind: "refused"; revision: number; reason: string; }
    | { kind: "conflict"; revision: number; }
    | { kind: "ready"; source: RevisionSource; };

/** Time after the start in which only the log can make the process ready, in milliseconds. Later its peers can, too. */
const logGraceMs = 3000;

/** Creates the state of a process that has not learned any revision; `now` is in milliseconds since 1970. */
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

const handlers = { log: handleLog, peer: handlePeer, peersPolled: handlePeersPolled };

/** Applies an event and returns the resulting actions in order; `now` is in milliseconds since 1970. */
export function handleRevisionEvent(state: RevisionState, event: RevisionEvent, now: number): RevisionAction[] {
    return handlers[event.kind](state, event as never, now);
}

function handleLog(
    state: RevisionState,
    event: Extract<RevisionEvent, { kind: "log"; }>,
    now: number,
): RevisionAction[] {
    const revisions = foldRevisions(state.fold, event.batch);
    state.logAnsweredAt = now;
    const actions = revisions.length === 0 ? [] : handleRevisions(state, revisions, RevisionSource.log, now);
    if (event.atEnd && state.fold.isComplete) {
        actions.push(...markReady(state, RevisionSource.log));
    }
    return actions;
}

function handlePeer(
    state: RevisionState,
    { candidate }: Extract<RevisionEvent, { kind: "peer"; }>,
    now: number,
): RevisionAction[] {
    if (!hasDigest(candidate.document, candidate.digest)) {
        return [];
    }
    return handleRevisions(state, [candidate], RevisionSource.peer, now);
}

function handlePeersPolled(
    state: RevisionState,
    event: Extract<RevisionEvent, { kind: "peersPolled"; }>,
    now: number,
): RevisionAction[] {
    const isGraceOver = now - state.startedAt >= logGraceMs;
    const isCurrent = state.newest.revision > 0 && state.newest.revision >= event.newest;
    return isGraceOver && event.responses > 0 && isCurrent ? markReady(state, RevisionSource.peer) : [];
}

function markReady(state: RevisionState, source: RevisionSource): RevisionAction[] {
    if (state.ready) {
        return [];
    }
    state.ready = true;
    return [{ kind: "ready", source }];
}

/** Folds a batch record by record and returns every revision that it added, oldest first. */
function foldRevisions(fold: FoldState, { records, oldest, next }: ReadBatch): Revision[] {
    const revisions: Revision[] = [];
    const foldPart = (part: ReadBatch) => {
        const before = fold.revision;
        foldBatch(fold, part);
        const { revision, digest, author, document } = fold;
        if (revision > before) {
            revisions.push({ revision, digest, author, document });
        }
    };
    records.forEach(record => foldPart({ records: [record], oldest, next: record.offset + 1 }));
    foldPart({ records: [], oldest, next });
    return revisions;
}

/** Handles a non-empty list of revisions, oldest first; activates the newest one that this version can parse. */
function handleRevisions(
    state: RevisionState,
    candidates: Revision[],
    source: RevisionSource,
    now: number,
): RevisionAction[] {
    const { newest } = state;
    const latest = candidates[candidates.length - 1];
    if (latest.revision === newest.revision && latest.digest !== newest.digest) {
        state.conflicts += 1;
        return [{ kind: "conflict", revision: latest.revision }];
    }
    if (latest.revision <= newest.revision) {
        return [];
    }
    state.newest = latest;
    state.refused = undefined;
    const actions: RevisionAction[] = [];
    for (const candidate of candidates.filter(c => c.revision > state.activeConfig.revision).reverse()) {
        const action = applyRevision(state, candidate, source, now);
        actions.push(action);
        if (action.kind === "inForce") {
            break;
        }
    }
    return actions;
}

/** Activates a revision, or refuses it if this version cannot parse its document. */
function applyRevision(state: RevisionState, candidate: Revision, source: RevisionSource, now: number): RevisionAction {
    const { revision, author, document } = candidate;
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
/** Additional delay per position, so that an instance takes over when those before it have not appended. */
const positionDelayMs = 5000;
/** Upper bound of the random delay that avoids simultaneous snapshots. */
const jitterMs = 2000;

/**
 * Returns the time at which this process should append a snapshot, in milliseconds since 1970; undefined if it has
 * none. `position` is its place among the live instances by rendezvous hashing, so that usually only the first one
 * appends. `random`, in [0, 1), scales the jitter.
 */
export function planSnapshot(state: RevisionState, position: number, random: number): number | undefined {
    const { fold } = state;
    if (createSnapshot(fold) === undefined) {
        return undefined;
    }
    const lastTime = fold.lastSnapshotTime === 0 ? fold.history[0].time : fold.lastSnapshotTime;
    return lastTime + snapshotIntervalMs + position * positionDelayMs + random * jitterMs;
}
