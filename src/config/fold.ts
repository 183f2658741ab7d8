/**
 * Folds configuration records from the log into the revision in force.
 * Every reader applies the same records in the same order and reaches the same verdicts.
 */
import type { ConfigDocument } from "./schemas.js";

export const configStream = "beechdock-config";

export interface PromoteRecord {
    kind: "promote";
    id: string;
    environment: string;
    /** Revision that the operator edited; 0 for the first document. */
    base: number;
    author: string;
    document: ConfigDocument;
}

export interface SnapshotRecord {
    kind: "snapshot";
    id: string;
    environment: string;
    revision: number;
    author: string;
    document: ConfigDocument;
}

export type ConfigRecord = PromoteRecord | SnapshotRecord;

export type Verdict =
    | { accepted: true; revision: number; }
    | { accepted: false; revision: number; reason: string; };

export interface ConfigState {
    environment: string;
    revision: number;
    author: string;
    document: ConfigDocument | undefined;
    /** Verdicts by record id, newest last. */
    verdicts: ReadonlyMap<string, Verdict>;
}

const maxVerdicts = 1000;

/** Creates the state of an environment before its first document. */
export function createConfigState(environment: string): ConfigState {
    return { environment, revision: 0, author: "", document: undefined, verdicts: new Map() };
}

const handlers = { promote: applyPromote, snapshot: applySnapshot };

/** Applies one record; records of other environments change nothing. */
export function foldConfig(state: ConfigState, record: ConfigRecord): ConfigState {
    if (record.environment !== state.environment) {
        return state;
    }
    return handlers[record.kind](state, record as never);
}

function applyPromote(state: ConfigState, record: PromoteRecord): ConfigState {
    if (state.verdicts.has(record.id)) {
        return state;
    }
    if (record.base !== state.revision) {
        const reason =
            `made from revision ${record.base}, but revision ${state.revision} by ${state.author} is in force`;
        return {
            ...state,
            verdicts: addVerdict(state.verdicts, record.id, { accepted: false, revision: state.revision, reason }),
        };
    }
    const revision = state.revision + 1;
    const verdicts = addVerdict(state.verdicts, record.id, { accepted: true, revision });
    return { ...state, revision, author: record.author, document: record.document, verdicts };
}

function applySnapshot(state: ConfigState, record: SnapshotRecord): ConfigState {
    if (record.revision <= state.revision) {
        return state;
    }
    return { ...state, revision: record.revision, author: record.author, document: record.document };
}

function addVerdict(verdicts: ReadonlyMap<string, Verdict>, id: string, verdict: Verdict): Map<string, Verdict> {
    const next = new Map(verdicts).set(id, verdict);
    for (const oldest of next.keys()) {
        if (next.size <= maxVerdicts) {
            break;
        }
        next.delete(oldest);
    }
    return next;
}
