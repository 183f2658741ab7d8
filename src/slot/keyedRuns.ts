/** Keyed requests of a slot: which of them need a claim, which repeat a known run and which are refused. */
import { createHash } from "node:crypto";
import { RunOutcome } from "../core/types.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { type ClaimKey, ClaimVerdict, claimWindowMs, type ParseKeyResult, safeParseIdempotencyKey } from "./claims.js";
import type { RunRecord } from "./runStore.js";

/** How much longer a key is remembered than it can be claimed, against a clock that is set back, in milliseconds. */
const clockRollbackMarginMs = 10 * 60_000;
const maxTrackedKeys = 20_000;

type Refusal = Extract<FrameBody, { kind: "failed"; }>;

interface KeyedRun {
    record: RunRecord;
    /** Digest of the request, which a repetition has to share. */
    fingerprint: string;
    expiresAt: number;
}

export interface KeyedRuns {
    /** Runs by hash of the key. */
    runs: Map<string, KeyedRun>;
}

export type RegisterKeyResult =
    | { kind: "claim"; key: ClaimKey; }
    /** Answers like the run of `record`, which has the same key. */
    | { kind: "follow"; record: RunRecord; }
    | { kind: "refuse"; refusal: Refusal; };

/** Creates the state of a slot that knows no key. */
export function createKeyedRuns(): KeyedRuns {
    return { runs: new Map() };
}

/** Whether a run needs a claim before it may reach the upstream. */
export function isClaimRequired(params: RunParams): boolean {
    return params.idempotencyKey !== undefined && !params.idempotent;
}

/** Decides about a run that needs a claim; remembers it when it is the first of its key here. */
export function registerKey(keyed: KeyedRuns, params: RunParams, record: RunRecord, now: number): RegisterKeyResult {
    const parsed = safeParseIdempotencyKey(params.workspace, params.idempotencyKey!, now);
    if (!parsed.success) {
        return { kind: "refuse", refusal: keyRefusals[parsed.reason] };
    }
    const { key } = parsed;
    const fingerprint = computeFingerprint(params);
    const known = keyed.runs.get(key.hash);
    if (known !== undefined) {
        return known.fingerprint === fingerprint ?
            { kind: "follow", record: known.record } :
            { kind: "refuse", refusal: keyReuseRefusal };
    }
    if (keyed.runs.size >= maxTrackedKeys) {
        return { kind: "refuse", refusal: tooManyKeysRefusal };
    }
    const forgetAt = key.closesAt + claimWindowMs + clockRollbackMarginMs;
    keyed.runs.set(key.hash, { record, fingerprint, expiresAt: forgetAt });
    return { kind: "claim", key };
}

/** Forgets a key whose claim failed or was released, so that it can be claimed again. */
export function removeKey(keyed: KeyedRuns, key: ClaimKey): void {
    keyed.runs.delete(key.hash);
}

/** Drops keys that can't be claimed any more. */
export function expireKeys(keyed: KeyedRuns, now: number): void {
    for (const [hash, run] of keyed.runs) {
        if (run.expiresAt <= now) {
            keyed.runs.delete(hash);
        }
    }
}

/** Refusals of keys that can't be claimed. */
const keyRefusals: Record<Extract<ParseKeyResult, { success: false; }>["reason"], Refusal> = {
    unreadable: {
        kind: "failed",
        outcome: RunOutcome.notRun,
        status: 400,
        title: "Idempotency-Key is not a UUID of version 7, which carries the time of its mint",
    },
    ahead: {
        kind: "failed",
        outcome: RunOutcome.notRun,
        status: 400,
        title: "Idempotency-Key was minted in the future",
    },
    stale: {
        kind: "failed",
        outcome: RunOutcome.unknown,
        status: 409,
        title: "Idempotency-Key is older than 15 minutes; whether an earlier request ran is not known",
    },
};

/** Refusals of claims that were not won. */
export const claimRefusals: Record<Exclude<ClaimVerdict, "won">, Refusal> = {
    [ClaimVerdict.lost]: {
        kind: "failed",
        outcome: RunOutcome.unknown,
        status: 409,
        title: "Another process has claimed the Idempotency-Key; whether its request ran is not known",
    },
    [ClaimVerdict.stale]: keyRefusals.stale,
    [ClaimVerdict.failed]: {
        kind: "failed",
        outcome: RunOutcome.notRun,
        status: 503,
        title: "The Idempotency-Key could not be claimed in the log",
        retryAfterSeconds: 2,
    },
};

/** Answer to a repetition whose recorded answer is gone. */
export const droppedResponseRefusal: Refusal = {
    kind: "failed",
    outcome: RunOutcome.run,
    status: 409,
    title: "A request with this Idempotency-Key ran; its answer is no longer kept",
};

const keyReuseRefusal: Refusal = {
    kind: "failed",
    outcome: RunOutcome.notRun,
    status: 422,
    title: "Idempotency-Key was used with another request",
};

const tooManyKeysRefusal: Refusal = {
    kind: "failed",
    outcome: RunOutcome.notRun,
    status: 503,
    title: "The slot remembers too many Idempotency-Keys",
    retryAfterSeconds: 5,
};

function computeFingerprint({ method, path, body }: RunParams): string {
    return createHash("sha256").update(`${method} ${path}\n${body}`).digest("base64url");
}
