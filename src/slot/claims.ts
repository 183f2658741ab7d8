/**
 * Claims of idempotency keys in the platform's log: they decide which process may run the request of a key.
 * The first claim of a key in its stream wins permanently, unless its owner releases the key without having run the
 * request. Streams close by the log's clock, so that every reader comes to the same verdict on a late claim.
 */
import { createHash } from "node:crypto";
import { z } from "zod";
import type { AppendRecord, LogRecord, ReadResult } from "../log/types.js";

/** Time after its creation for which a key can be claimed, in milliseconds; the log must retain records for longer. */
export const claimWindowMs = 15 * 60_000;
/** How far the creation time of a key may be ahead of a slot's clock, in milliseconds. */
export const maxClockAheadMs = 60_000;
/** Length of a time bucket, in milliseconds; keys that were created in the same bucket share their streams. */
const bucketMs = 60_000;
/** Streams whose owners are kept in memory; streams with pending claims may exceed the bound. */
const maxCachedStreams = 256;

export interface ClaimOptions {
    /** Streams that the keys of one time bucket are spread over; must be the same at every slot. */
    partitions: number;
    /** Time for which a claim waits for others to share its append, in milliseconds. */
    batchDelayMs: number;
    /** Maximum number of keys in one append. */
    maxBatchKeys: number;
}

export const defaultClaimOptions: ClaimOptions = { partitions: 8, batchDelayMs: 10, maxBatchKeys: 500 };

const ClaimDataSchema = z.object({
    /** Hashes of the claimed keys, by the incarnation of the claiming process. */
    claims: z.record(z.string(), z.array(z.string())),
    /** Whether the owners release the keys because their requests did not run. */
    release: z.boolean().optional(),
});
type ClaimData = z.infer<typeof ClaimDataSchema>;

/** Hash of an idempotency key and the stream that it is claimed in. */
export interface ClaimKey {
    hash: string;
    stream: string;
    /** Time by the log's clock from which claims in the stream are ignored, Unix time in milliseconds. */
    closesAt: number;
}

export const ClaimVerdict = {
    won: "won",
    /** Another process owns the key. */
    lost: "lost",
    /** The stream is closed, or the log no longer retains all of it. */
    stale: "stale",
    /** Reading the stream failed, or the claim was not in it. */
    failed: "failed",
} as const;
export type ClaimVerdict = (typeof ClaimVerdict)[keyof typeof ClaimVerdict];

/** Claim or release of a key by one process. */
export interface Claim {
    /** Incarnation of the process that claims or releases the key. */
    claimant: string;
    key: ClaimKey;
    release: boolean;
}

/** Claims, or releases, that share one append. */
interface Batch {
    /** Id of the log record. */
    id: string;
    release: boolean;
    claims: Claim[];
}

/** Stream of claims as read so far. */
interface StreamState {
    closesAt: number;
    /** Offset of the next read. */
    next: number;
    /** Incarnation of the owner, by hash of the key. */
    owners: Map<string, string>;
    /** Claims and releases for the next batch. */
    waiting: Claim[];
    /** Batch that is being appended or read back. */
    batch: Batch | undefined;
}

/** Claims of one process. */
export interface ClaimState {
    incarnation: string;
    options: ClaimOptions;
    streams: Map<string, StreamState>;
    /** Number of batches so far; part of the ids of their log records. */
    batchCount: number;
}

/** Input of the claim decisions. */
export type ClaimEvent =
    | { kind: "claim"; claim: Claim; }
    /** The delay of a scheduled batch is over. */
    | { kind: "flush"; stream: string; }
    /** The append succeeded, failed or timed out; the following read shows whether it took effect. */
    | { kind: "appended"; stream: string; }
    /** `result` is undefined if the read failed or timed out. */
    | { kind: "read"; stream: string; result: ReadResult | undefined; };

/** I/O that the caller executes; the results come back as events. */
export type ClaimAction =
    /** Sends a `flush` event after `delayMs`. */
    | { kind: "schedule"; stream: string; delayMs: number; }
    | { kind: "append"; stream: string; record: AppendRecord; }
    | { kind: "read"; stream: string; from: number; }
    /** A release that is found in the log has the verdict `won`. */
    | { kind: "settle"; claim: Claim; verdict: ClaimVerdict; };

export type ParseKeyResult =
    | { success: true; key: ClaimKey; }
    | { success: false; reason: "unreadable" | "stale" | "ahead"; };

/** UUID of version 7; the two groups are its timestamp, Unix time in milliseconds. */
const keyPattern = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Creates the state of a process that has not claimed any key. */
export function createClaimState(incarnation: string, options = defaultClaimOptions): ClaimState {
    return { incarnation, options, streams: new Map(), batchCount: 0 };
}

/** Parses an idempotency key, which must be a UUID of version 7, and checks its creation time against `now`. */
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
    const createdAt = parseInt(match[1] + match[2], 16);
    if (createdAt > now + maxClockAheadMs) {
        return { success: false, reason: "ahead" };
    }
    const bucket = Math.floor(createdAt / bucketMs);
    const closesAt = computeBucketCloseTime(bucket);
    if (now >= closesAt) {
        return { success: false, reason: "stale" };
    }
    const digest = createHash("sha256").update(`${workspace}\n${text.toLowerCase()}`).digest();
    const partition = digest.readUInt32BE(16) % options.partitions;
    const hash = digest.subarray(0, 12).toString("base64url");
    return { success: true, key: { hash, stream: `claims-${bucket}-${partition}`, closesAt } };
}

/** Computes the time at which a stream closes from the name of the stream, Unix time in milliseconds. */
export function computeCloseTime(stream: string): number {
    return computeBucketCloseTime(Number(stream.split("-")[1]));
}

function computeBucketCloseTime(bucket: number): number {
    return bucket * bucketMs + claimWindowMs;
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

/** Applies an event to the state and returns the actions to execute, in order. */
export function handleClaimEvent(state: ClaimState, event: ClaimEvent): ClaimAction[] {
    return eventHandlers[event.kind](state, event as never);
}

/** Returns the state of a key's stream; evicts idle streams above the limit, which are read again when needed. */
function ensureStream(state: ClaimState, key: ClaimKey): StreamState {
    const cached = state.streams.get(key.stream);
    if (cached !== undefined) {
        return cached;
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

/** Appends waiting claims as one record, which contains either claims or releases but not both. */
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
    const ownRecord = result.records.find(record => record.id === stream.batch!.id);
    result.records.forEach(record => applyClaimRecord(stream, record));
    stream.next = result.next;
    if (ownRecord === undefined) {
        return result.records.length > 0 ?
            [{ kind: "read", stream: name, from: stream.next }] :
            settleBatch(state, name, () => ClaimVerdict.failed);
    }
    return settleBatch(state, name, claim => decideVerdict(stream, claim));
}

/** Applies a record of a stream: the first claimant of a key owns it until it releases the key. */
function applyClaimRecord(stream: StreamState, record: LogRecord): void {
    const parsed = ClaimDataSchema.safeParse(record.data);
    if (!parsed.success) {
        return;
    }
    const { claims, release } = parsed.data;
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
    const settlements = claims.map((claim): ClaimAction => ({ kind: "settle", claim, verdict: decide(claim) }));
    const followUp: ClaimAction[] = stream.waiting.length > 0 ? [{ kind: "schedule", stream: name, delayMs: 0 }] : [];
    return [...settlements, ...followUp];
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
