/**
 * Claims of idempotency keys in the platform's log: who may run the request of a key.
 * The first claim of a key in its stream wins for ever, unless its owner releases the key without having run it.
 * Streams close by the log's clock, so that every reader judges a late claim alike.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { AppendRecord, LogRecord, ReadResult } from "../log/types.js";

/** How long after its mint a key can be claimed, in milliseconds; the log has to keep records for longer. */
export const keyWindowMs = 15 * 60_000;
/** How far ahead of a slot's clock the mint time of a key may be, in milliseconds. */
export const maxAheadMs = 60_000;
/** Keys that were minted in the same span of this length share their streams, in milliseconds. */
const spanMs = 60_000;
const maxStreams = 256;

export interface ClaimOptions {
    /** Streams that the keys of one span are spread over; the same at every slot. */
    partitions: number;
    /** Time that a claim waits for others to share its append, in milliseconds. */
    flushMs: number;
    /** Keys in one append. */
    maxKeys: number;
}

export const defaultClaimOptions: ClaimOptions = { partitions: 64, flushMs: 10, maxKeys: 500 };

const ClaimDataSchema = z.object({
    incarnation: z.string(),
    /** Hashes of keys. */
    keys: z.array(z.string()),
    /** Whether the owner gives the keys up and will not run them. */
    release: z.boolean().optional(),
});
type ClaimData = z.infer<typeof ClaimDataSchema>;

/** Names the key and the stream that it is claimed in. */
export interface ClaimKey {
    hash: string;
    stream: string;
    /** Time by the log's clock from which on the stream takes no claims, in milliseconds. */
    closesAt: number;
}

export const ClaimVerdict = {
    won: "won",
    /** Another process has claimed the key. */
    lost: "lost",
    /** The stream was closed, or the log no longer keeps all of it. */
    stale: "stale",
    /** The log did not take the claim, or did not show it. */
    failed: "failed",
} as const;
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

interface Batch {
    id: string;
    release: boolean;
    keys: string[];
    appended: boolean;
}

interface StreamState {
    closesAt: number;
    /** Offset to read from next. */
    next: number;
    /** Incarnation that owns a key, by hash. */
    owners: Map<string, string>;
    /** Claims and releases that wait for the next batch. */
    waiting: { key: string; release: boolean; }[];
    batch: Batch | undefined;
}

export interface ClaimState {
    incarnation: string;
    options: ClaimOptions;
    streams: Map<string, StreamState>;
    batches: number;
}

export type ClaimEvent =
    | { kind: "claim"; key: ClaimKey; }
    | { kind: "release"; key: ClaimKey; }
    | { kind: "flush"; stream: string; }
    | { kind: "appended"; stream: string; ok: boolean; }
    | { kind: "read"; stream: string; result: ReadResult | undefined; };

export type ClaimAction =
    | { kind: "schedule"; stream: string; delayMs: number; }
    | { kind: "append"; stream: string; record: AppendRecord; }
    | { kind: "read"; stream: string; from: number; }
    | { kind: "settle"; hash: string; verdict: ClaimVerdict; }
    /** Whether the release is in the log. */
    | { kind: "released"; hash: string; ok: boolean; };

export type KeyResult =
    | { success: true; key: ClaimKey; }
    | { success: false; reason: "unreadable" | "stale" | "ahead"; };

const keyPattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creates the state of a process that has claimed nothing. */
export function createClaims(incarnation: string, options = defaultClaimOptions): ClaimState {
    return { incarnation, options, streams: new Map(), batches: 0 };
}

/** Parses an idempotency key, which has to be a UUID of version 7, and checks its mint time. */
export function safeParseKey(workspace: string, text: string, now: number, options = defaultClaimOptions): KeyResult {
    const match = keyPattern.exec(text);
    if (!match) {
        return { success: false, reason: "unreadable" };
    }
    const mintedAt = parseInt(match[1] + match[2], 16);
    if (mintedAt > now + maxAheadMs) {
        return { success: false, reason: "ahead" };
    }
    const span = Math.floor(mintedAt / spanMs);
    const closesAt = span * spanMs + keyWindowMs;
    if (now >= closesAt) {
        return { success: false, reason: "stale" };
    }
    const digest = createHash("sha256").update(`${workspace}\n${text.toLowerCase()}`).digest();
    const partition = digest.readUInt32BE(16) % options.partitions;
    const hash = digest.subarray(0, 12).toString("base64url");
    return { success: true, key: { hash, stream: `claims-${span}-${partition}`, closesAt } };
}

type Handlers = {
    [K in ClaimEvent["kind"]]: (state: ClaimState, event: Extract<ClaimEvent, { kind: K; }>) => ClaimAction[];
};

const handlers: Handlers = {
    claim: (state, { key }) => {
        const stream = openStream(state, key);
        const owner = stream.owners.get(key.hash);
        return owner === undefined ?
            queueKey(state, key, false) :
            [{ kind: "settle", hash: key.hash, verdict: decideVerdict(state, owner) }];
    },
    release: (state, { key }) => {
        openStream(state, key);
        return queueKey(state, key, true);
    },
    flush: (state, { stream }) => beginBatch(state, stream),
    appended: (state, event) => {
        const stream = state.streams.get(event.stream)!;
        stream.batch!.appended = event.ok;
        return [{ kind: "read", stream: event.stream, from: stream.next }];
    },
    read: (state, event) => finishRead(state, event.stream, event.result),
};

/** Applies an event to the state and returns what to do, in order. */
export function advanceClaims(state: ClaimState, event: ClaimEvent): ClaimAction[] {
    return handlers[event.kind](state, event as never);
}

/** Finds the stream of a key; forgets quiet streams beyond a bound, which are read again when they are needed. */
function openStream(state: ClaimState, key: ClaimKey): StreamState {
    const known = state.streams.get(key.stream);
    if (known !== undefined) {
        return known;
    }
    for (const [name, { batch, waiting }] of state.streams) {
        if (state.streams.size >= maxStreams && batch === undefined && waiting.length === 0) {
            state.streams.delete(name);
        }
    }
    const stream: StreamState = {
        closesAt: key.closesAt,
        next: 0,
        owners: new Map(),
        waiting: [],
        batch: undefined,
    };
    state.streams.set(key.stream, stream);
    return stream;
}

function queueKey(state: ClaimState, key: ClaimKey, release: boolean): ClaimAction[] {
    const stream = state.streams.get(key.stream)!;
    stream.waiting.push({ key: key.hash, release });
    return stream.batch === undefined && stream.waiting.length === 1 ?
        [{ kind: "schedule", stream: key.stream, delayMs: state.options.flushMs }] :
        [];
}

/** Appends what waits as one record: claims alone, or releases alone. */
function beginBatch(state: ClaimState, name: string): ClaimAction[] {
    const stream = state.streams.get(name)!;
    const { release } = stream.waiting[0];
    const taken = stream.waiting.filter(item => item.release === release).slice(0, state.options.maxKeys);
    stream.waiting = stream.waiting.filter(item => !taken.includes(item));
    const keys = [...new Set(taken.map(item => item.key))];
    state.batches += 1;
    const id = `${state.incarnation}-${state.batches}`;
    stream.batch = { id, release, keys, appended: false };
    const data: ClaimData = { incarnation: state.incarnation, keys, ...(release ? { release } : {}) };
    return [{ kind: "append", stream: name, record: { id, data } }];
}

function finishRead(state: ClaimState, name: string, result: ReadResult | undefined): ClaimAction[] {
    const stream = state.streams.get(name)!;
    if (result === undefined) {
        return endBatch(state, name, () => ClaimVerdict.failed);
    }
    if (result.oldest > stream.next) {
        return endBatch(state, name, () => ClaimVerdict.stale);
    }
    const found = result.records.find(record => record.id === stream.batch!.id);
    result.records.forEach(record => foldClaim(stream, record));
    stream.next = result.next;
    if (found === undefined) {
        return result.records.length > 0 ?
            [{ kind: "read", stream: name, from: stream.next }] :
            endBatch(state, name, () => ClaimVerdict.failed);
    }
    return endBatch(state, name, hash => {
        const owner = stream.owners.get(hash);
        return owner === undefined ? ClaimVerdict.stale : decideVerdict(state, owner);
    }, true);
}

/** Applies a record of a stream: the first claim of a key owns it until that owner releases it. */
function foldClaim(stream: StreamState, record: LogRecord): void {
    const data = ClaimDataSchema.safeParse(record.data);
    if (!data.success) {
        return;
    }
    const { incarnation, keys, release } = data.data;
    for (const key of keys) {
        const owner = stream.owners.get(key);
        if (release === true && owner === incarnation) {
            stream.owners.delete(key);
        }
        else if (release !== true && owner === undefined && record.time < stream.closesAt) {
            stream.owners.set(key, incarnation);
        }
    }
}

function endBatch(
    state: ClaimState,
    name: string,
    judge: (hash: string) => ClaimVerdict,
    found = false,
): ClaimAction[] {
    const stream = state.streams.get(name)!;
    const { keys, release } = stream.batch!;
    stream.batch = undefined;
    const settled = keys.map((hash): ClaimAction =>
        release ? { kind: "released", hash, ok: found } : { kind: "settle", hash, verdict: judge(hash) }
    );
    const next: ClaimAction[] = stream.waiting.length > 0 ? [{ kind: "schedule", stream: name, delayMs: 0 }] : [];
    return [...settled, ...next];
}

function decideVerdict(state: ClaimState, owner: string): ClaimVerdict {
    return owner === state.incarnation ? ClaimVerdict.won : ClaimVerdict.lost;
}
