/** Decides which requests with an idempotency key need a claim, which replay an earlier run and which are refused. */
import { createHash } from "node:crypto";
import { RunOutcome } from "../core/types.js";
import type { FrameBody, RunParams } from "../wire/messages.js";
import { type ClaimKey, ClaimVerdict, claimWindowMs, type ParseKeyResult, safeParseIdempotencyKey } from "./claims.js";
import type { RunRecord } from "./runStore.js";

/** Extra time for which a key is kept in case the clock is set back, in milliseconds. */
const clockRollbackMarginMs = 10 * 60_000;
/** Maximum number of keys that are kept; runs with further keys are refused. */
const maxTrackedKeys = 20_000;

type Refusal = Extract<FrameBody, { kind: "failed"; }>;

/** First run of a key at this slot. */
interface KeyedRun {
    record: RunRecord;
    /** Digest of the request, which must be the same for every request with the key. */
    fingerprint: string;
    expiresAt: number;
}

/** Runs with claimed idempotency keys at this slot. */
export interface KeyedRuns {
    /** Runs by hash of the key. */
    runs: Map<string, KeyedRun>;
}

/** How to handle a run with an idempotency key. */
export type RegisterKeyResult =
    | { kind: "claim"; key: ClaimKey; }
    /** Replays the response of `record`, an earlier run with the same key. */
    | { kind: "follow"; record: RunRecord; }
    | { kind: "refuse"; refusal: Refusal; };

/** Creates the state of a slot without keyed runs. */
export function createKeyedRuns(): KeyedRuns {
    return { runs: new Map() };
}

/** Whether a run must claim its idempotency key before it is sent to the upstream. */
export function isClaimRequired(params: RunParams): boolean {
    return params.idempotencyKey !== undefined && !params.idempotent;
}

/** Decides how to handle a run that needs a claim; registers it if it is the first run of its key at this slot. */
export function registerKey(
    keyedRuns: KeyedRuns,
    params: RunParams,
    record: RunRecord,
    now: number,
): RegisterKeyResult {
    const parsed = safeParseIdempotencyKey(params.workspace, params.idempotencyKey!, now);
    if (!parsed.success) {
        return { kind: "refuse", refusal: keyRefusals[parsed.reason] };
    }
    const { key } = parsed;
    const fingerprint = computeFingerprint(params);
    const earlierRun = keyedRuns.runs.get(key.hash);
    if (earlierRun !== undefined) {
        return earlierRun.fingerprint === fingerprint ?
            { kind: "follow", record: earlierRun.record } :
            { kind: "refuse", refusal: keyReuseRefusal };
    }
    if (keyedRuns.runs.size >= maxTrackedKeys) {
        return { kind: "refuse", refusal: tooManyKeysRefusal };
    }
    const expiresAt = key.closesAt + claimWindowMs + clockRollbackMarginMs;
    keyedRuns.runs.set(key.hash, { record, fingerprint, expiresAt });
    return { kind: "claim", key };
}

/** Removes a key whose claim was not won or was released, so that a retry can claim it again. */
export function removeKey(keyedRuns: KeyedRuns, key: ClaimKey): void {
    keyedRuns.runs.delete(key.hash);
}

/** Removes keys that have expired. */
export function expireKeys(keyedRuns: KeyedRuns, now: number): void {
    for (const [hash, run] of keyedRuns.runs) {
        if (run.expiresAt <= now) {
            keyedRuns.runs.delete(hash);
        }
    }
}

/** Refusals of keys that cannot be claimed, by reason. */
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

/** Refusals of runs whose claims were not won, by verdict. */
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

/** Refusal of a retried request if the recorded response has been dropped. */
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
