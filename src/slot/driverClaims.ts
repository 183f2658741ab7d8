/**
 * Executes claims of idempotency keys: through the slot that appends to the stream, or with this process's own appends.
 */
import type { LogClient } from "../log/types.js";
import { type Claim, type ClaimAction, type ClaimState, ClaimVerdict, handleClaimEvent } from "./claims.js";

/** Timeout of a claim, in milliseconds; the claim may still complete afterwards, so that a retry finds it. */
const claimTimeoutMs = 1000;
/**
 * Timeout of one call to the log, in milliseconds. After a timed-out append, a read on another connection finds out
 * whether it took effect.
 */
const logCallTimeoutMs = 400;
/** Time for which a slot is not used after a failed call, in milliseconds. */
const unresponsiveMs = 10_000;

/** Claims idempotency keys in the log. */
export interface ClaimsDriver {
    /** Settles a claim or a release of any process with an append by this process; never rejects. */
    settle: (claim: Claim) => Promise<ClaimVerdict>;
    /** Settles a claim or a release, through the slot that appends to its stream if there is one; never rejects. */
    submit: (claim: Claim) => Promise<ClaimVerdict>;
}

/** Forwards claims to other slots. */
export interface ClaimRelay {
    /** Returns the URL of the slot that appends to a stream; undefined if this process appends itself. */
    findAppenderUrl: (stream: string, excludedUrls: ReadonlySet<string>) => string | undefined;
    /** Asks the slot at `url` to settle a claim; rejects if the call fails or times out. */
    send: (url: string, claim: Claim, timeoutMs: number) => Promise<ClaimVerdict>;
}

/** Creates a driver on top of the log; the environment is a prefix of the stream names. */
export function createClaimsDriver(
    log: LogClient,
    environment: string,
    state: ClaimState,
    relay: ClaimRelay,
): ClaimsDriver {
    const settle = createLocalSettler(log, environment, state);
    const unresponsiveUrls = new Set<string>();
    const submit = async (claim: Claim): Promise<ClaimVerdict> => {
        const url = relay.findAppenderUrl(claim.key.stream, unresponsiveUrls);
        if (url === undefined) {
            return settle(claim);
        }
        try {
            return await relay.send(url, claim, claimTimeoutMs / 2);
        }
        catch {
            unresponsiveUrls.add(url);
            setTimeout(() => unresponsiveUrls.delete(url), unresponsiveMs).unref();
            return settle(claim);
        }
    };
    return { settle, submit: claim => withTimeout(submit(claim), claimTimeoutMs, ClaimVerdict.failed) };
}

/** Creates a function that settles claims and releases with appends and reads of this process. */
function createLocalSettler(
    log: LogClient,
    environment: string,
    state: ClaimState,
): (claim: Claim) => Promise<ClaimVerdict> {
    const pendingClaims = new Map<Claim, (verdict: ClaimVerdict) => void>();
    const executeActions = (actions: ClaimAction[]) => actions.forEach(execute);
    const execute = (action: ClaimAction): void => {
        switch (action.kind) {
            case "schedule":
                setTimeout(
                    () => executeActions(handleClaimEvent(state, { kind: "flush", stream: action.stream })),
                    action.delayMs,
                );
                return;
            case "append":
                void withTimeout(
                    log.append(`${environment}-${action.stream}`, [action.record]),
                    logCallTimeoutMs,
                    undefined,
                )
                    .then(() => executeActions(handleClaimEvent(state, { kind: "appended", stream: action.stream })));
                return;
            case "read":
                void withTimeout(
                    log.read(`${environment}-${action.stream}`, action.from, 0),
                    logCallTimeoutMs,
                    undefined,
                )
                    .then(result =>
                        executeActions(handleClaimEvent(state, { kind: "read", stream: action.stream, result }))
                    );
                return;
            case "settle":
                pendingClaims.get(action.claim)?.(action.verdict);
                pendingClaims.delete(action.claim);
                return;
        }
    };
    return claim =>
        new Promise(resolve => {
            pendingClaims.set(claim, resolve);
            executeActions(handleClaimEvent(state, { kind: "claim", claim }));
        });
}

/** Resolves with `fallback` when the promise rejects or takes longer than `limitMs`. */
function withTimeout<T, F>(promise: Promise<T>, limitMs: number, fallback: F): Promise<T | F> {
    return new Promise(resolve => {
        const timer = setTimeout(resolve, limitMs, fallback);
        const settle = (value: T | F) => {
            clearTimeout(timer);
            resolve(value);
        };
        promise.then(settle, () => settle(fallback));
    });
}
