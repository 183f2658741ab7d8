/** Carries out claims: through the slot that appends for a stream, or by appends of this process's own. */
import type { LogClient } from "../log/types.js";
import { type Claim, type ClaimAction, type ClaimState, ClaimVerdict, handleClaimEvent } from "./claims.js";

/** Longest wait for a verdict; the claim itself may go on, for the benefit of a retry. */
const claimTimeoutMs = 1000;
/** Longest wait for one call of the log; an append is then settled by a read, which takes another connection. */
const logCallTimeoutMs = 400;
/** How long a slot that did not answer is passed over. */
const unresponsiveMs = 10_000;

export interface ClaimsDriver {
    /** Settles a claim or a release of any process by an append of this one. */
    settle: (claim: Claim) => Promise<ClaimVerdict>;
    /** Settles a claim or a release, through another slot where one appends for the stream; never rejects. */
    submit: (claim: Claim) => Promise<ClaimVerdict>;
}

export interface ClaimRelay {
    /** Finds the slot that appends for a stream; undefined for this one. */
    findAppenderUrl: (stream: string, avoided: ReadonlySet<string>) => string | undefined;
    /** Asks the slot at `url` to settle a claim. */
    send: (url: string, claim: Claim, timeoutMs: number) => Promise<ClaimVerdict>;
}

/** Creates a driver over the log; each environment has streams of its own. */
export function createClaimsDriver(
    log: LogClient,
    environment: string,
    state: ClaimState,
    relay: ClaimRelay,
): ClaimsDriver {
    const settle = createLocalSettler(log, environment, state);
    const unresponsiveUrls = new Set<string>();
    const claim = async (claim: Claim): Promise<ClaimVerdict> => {
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
    return { settle, submit: item => withTimeout(claim(item), claimTimeoutMs, ClaimVerdict.failed) };
}

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
