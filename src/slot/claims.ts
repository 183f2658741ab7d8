/**
 * Claims of idempotency keys in the platform's log: who may run the request of a key.
 * The first claim of a key in its stream wins for ever, unless its owner releases the key without having run it.
 * Streams close by the log's clock, so that every reader judges a late claim alike.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { AppendRecord, LogRecord, ReadResult } from "../log/types.js";

/** How long after its mint a key can be claimed, in milliseconds; the log has to keep records for longer. */
export const claimWindowMs = 15 * 60_000;
/** How far ahead of a slot's clock the mint time of a key may be, in milliseconds. */
export const maxClockAheadMs = 60_000;
/** Keys that were minted in the same span of this length share their streams, in milliseconds. */
const bucketMs = 60_000;
const maxCachedStreams = 256;

export interface ClaimOptions {
    /** Streams that the keys of one span are spread over; the same at every slot. */
    partitions: number;
    /** Time that a claim waits for others to share its append, in milliseconds. */
    batchDelayMs: number;
    /** Keys in one append. */
    maxBatchKeys: number;
}

export const defaultClaimOptions: ClaimOptions = { partitions: 8, batchDelayMs: 10, maxBatchKeys: 500 };

const ClaimDataSchema = z.object({
    /** Hashes of keys by the incarnation of the process that claims them. */
    claims: z.record(z.string(), z.array(z.string())),
    /** Whether the owners give the keys up and will not run them. */
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

/** A claim, or a release, of one process. */
export interface Claim {
    /** Incarnation of the process that wants to run the key, or gives it up. */
    claimant: string;
    key: ClaimKey;
    release: boolean;
}

interface Batch {
    id: string;
    release: boolean;
    claims: Claim[];
}

interface StreamState {
    closesAt: number;
    /** Offset to read from next. */
    next: number;
    /** Incarnation that owns a key, by hash. */
    owners: Map<string, string>;
    /** Claims and releases that wait for the next batch. */
    waiting: Claim[];
    batch: Batch | undefined;
}

export interface ClaimState {
    incarnation: string;
    options: ClaimOptions;
    streams: Map<string, StreamState>;
    batchCount: number;
}

export type ClaimEvent =
    | { kind: "claim"; claim: Claim; }
    | { kind: "flush"; stream: string; }
    /** The append has ended; whether it was answered makes no difference. */
    | { kind: "appended"; stream: string; }
    | { kind: "read"; stream: string; result: ReadResult | undefined; };

export type ClaimAction =
    | { kind: "schedule"; stream: string; delayMs: number; }
    | { kind: "append"; stream: string; record: AppendRecord; }
    | { kind: "read"; stream: string; from: number; }
    /** A release that the log shows is won. */
    | { kind: "settle"; claim: Claim; verdict: ClaimVerdict; };

export type ParseKeyResult =
    | { success: true; key: ClaimKey; }
    | { success: false; reason: "unreadable" | "stale" | "ahead"; };

const keyPattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creates the state of a process that has claimed nothing. */
export function createClaimState(incarnation: string, options = defaultClaimOptions): ClaimState {
    return { incarnation, options, streams: new Map(), batchCount: 0 };
}

/** Parses an idempotency key, which has to be a UUID of version 7, and checks its mint time. */
export function safeParseIdempotencyKey(
    workspace: string,
    text: string,
    now: number,
    options = defaultClaimOptions,
): ParseKeyResult {
    const match = keyPattern.exec(text);
    if (!match) {
        return { success: false, reason: "unreadable" };
    }
    const mintedAt = parseInt(match[1] + match[2], 16);
    if (mintedAt > now + maxClockAheadMs) {
        return { success: false, reason: "ahead" };
    }
    const span = Math.floor(mintedAt / bucketMs);
    const closesAt = computeBucketCloseTime(span);
    if (now >= closesAt) {
        return { success: false, reason: "stale" };
    }
    const digest = createHash("sha256").update(`${workspace}\n${text.toLowerCase()}`).digest();
    const partition = digest.readUInt32BE(16) % options.partitions;
    const hash = digest.subarray(0, 12).toString("base64url");
    return { success: true, key: { hash, stream: `claims-${span}-${partition}`, closesAt } };
}

/** Computes when a stream closes from its name, in milliseconds. */
export function computeCloseTime(stream: string): number {
    return computeBucketCloseTime(Number(stream.split("-")[1]));
}

function computeBucketCloseTime(span: number): number {
    return span * bucketMs + claimWindowMs;
}

type EventHandlers = {
    [K in ClaimEvent["kind"]]: (state: ClaimState, event: Extract<ClaimEvent, { kind: K; }>) => ClaimAction[];
};

const eventHandlers: EventHandlers = {
    claim: (state, { claim }) => {
        const stream = ensureStream(state, claim.key);
        const owner = stream.owners.get(claim.key.hash);
        return claim.release || owner === undefined || owner === claim.claimant ?
            enqueueClaim(state, stream, claim) :
            [{ kind: "settle", claim, verdict: ClaimVerdict.lost }];
    },
    flush: (state, { stream }) => beginBatch(state, stream),
    appended: (state, { stream }) => [{ kind: "read", stream, from: state.streams.get(stream)!.next }],
    read: (state, event) => handleReadResult(state, event.stream, event.result),
};

/** Applies an event to the state and returns what to do, in order. */
export function handleClaimEvent(state: ClaimState, event: ClaimEvent): ClaimAction[] {
    return eventHandlers[event.kind](state, event as never);
}

/** Finds the stream of a key; forgets quiet streams beyond a bound, which are read again when they are needed. */
function ensureStream(state: ClaimState, key: ClaimKey): StreamState {
    const known = state.streams.get(key.stream);
    if (known !== undefined) {
        return known;
    }
    for (const [name, { batch, waiting }] of state.streams) {
        if (state.streams.size >= maxCachedStreams && batch === undefined && waiting.length === 0) {
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

function enqueueClaim(state: ClaimState, stream: StreamState, claim: Claim): ClaimAction[] {
    stream.waiting.push(claim);
    return stream.batch === undefined && stream.waiting.length === 1 ?
        [{ kind: "schedule", stream: claim.key.stream, delayMs: state.options.batchDelayMs }] :
        [];
}

/** Appends what waits as one record: claims alone, or releases alone. */
function beginBatch(state: ClaimState, name: string): ClaimAction[] {
    const stream = state.streams.get(name)!;
    const { release } = stream.waiting[0];
    const claims = stream.waiting.filter(item => item.release === release).slice(0, state.options.maxBatchKeys);
    stream.waiting = stream.waiting.filter(item => !claims.includes(item));
    state.batchCount += 1;
    const id = `${state.incarnation}-${state.batchCount}`;
    stream.batch = { id, release, claims };
    const data: ClaimData = { claims: {}, ...(release ? { release } : {}) };
    for (const { claimant, key } of claims) {
        data.claims[claimant] = [...data.claims[claimant] ?? [], key.hash];
    }
    return [{ kind: "append", stream: name, record: { id, data } }];
}

function handleReadResult(state: ClaimState, name: string, result: ReadResult | undefined): ClaimAction[] {
    const stream = state.streams.get(name)!;
    if (result === undefined) {
        return settleBatch(state, name, () => ClaimVerdict.failed);
    }
    if (result.oldest > stream.next) {
        return settleBatch(state, name, () => ClaimVerdict.stale);
    }
    const found = result.records.find(record => record.id === stream.batch!.id);
    result.records.forEach(record => applyClaimRecord(stream, record));
    stream.next = result.next;
    if (found === undefined) {
        return result.records.length > 0 ?
            [{ kind: "read", stream: name, from: stream.next }] :
            settleBatch(state, name, () => ClaimVerdict.failed);
    }
    return settleBatch(state, name, claim => decideVerdict(stream, claim));
}

/** Applies a record of a stream: the first claim of a key owns it until that owner releases it. */
function applyClaimRecord(stream: StreamState, record: LogRecord): void {
    const data = ClaimDataSchema.safeParse(record.data);
    if (!data.success) {
        return;
    }
    const { claims, release } = data.data;
    for (const [claimant, keys] of Object.entries(claims)) {
        keys.forEach(key => applyClaim(stream, claimant, key, release === true, record.time));
    }
}

function applyClaim(stream: StreamState, claimant: string, key: string, release: boolean, time: number): void {
    const owner = stream.owners.get(key);
    if (release && owner === claimant) {
        stream.owners.delete(key);
    }
    else if (!release && owner === undefined && time < stream.closesAt) {
        stream.owners.set(key, claimant);
    }
}

function settleBatch(state: ClaimState, name: string, decide: (claim: Claim) => ClaimVerdict): ClaimAction[] {
    const stream = state.streams.get(name)!;
    const { claims } = stream.batch!;
    stream.batch = undefined;
    const settled = claims.map((claim): ClaimAction => ({ kind: "settle", claim, verdict: decide(claim) }));
    const next: ClaimAction[] = stream.waiting.length > 0 ? [{ kind: "schedule", stream: name, delayMs: 0 }] : [];
    return [...settled, ...next];
}

function decideVerdict(stream: StreamState, { claimant, key, release }: Claim): ClaimVerdict {
    const owner = stream.owners.get(key.hash);
    if (release) {
        return ClaimVerdict.won;
    }
    if (owner === undefined) {
        return ClaimVerdict.stale;
    }
    return owner === claimant ? ClaimVerdict.won : ClaimVerdict.lost;
}
