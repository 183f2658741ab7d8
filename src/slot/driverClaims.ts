/** Carries out the appends and reads of claims. */
import type { LogClient } from "../log/types.js";
import { advanceClaims, type ClaimAction, type ClaimKey, type ClaimState, ClaimVerdict } from "./claims.js";

/** Longest wait for a verdict; the claim itself goes on, for the benefit of a retry. */
const claimTimeoutMs = 1000;

export interface ClaimsDriver {
    /** Claims a key; never rejects. */
    claim: (key: ClaimKey) => Promise<ClaimVerdict>;
    /** Gives up an owned key that has not run; resolves with whether the log has recorded it. */
    release: (key: ClaimKey) => Promise<boolean>;
}

/** Creates a driver over the log. */
export function createClaimsDriver(log: LogClient, state: ClaimState): ClaimsDriver {
    const claims = new Map<string, (verdict: ClaimVerdict) => void>();
    const releases = new Map<string, (ok: boolean) => void>();
    const apply = (actions: ClaimAction[]) => actions.forEach(execute);
    const execute = (action: ClaimAction): void => {
        switch (action.kind) {
            case "schedule":
                setTimeout(
                    () => apply(advanceClaims(state, { kind: "flush", stream: action.stream })),
                    action.delayMs,
                );
                return;
            case "append":
                void append(action.stream, action.record);
                return;
            case "read":
                void read(action.stream, action.from);
                return;
            case "settle":
                claims.get(action.hash)?.(action.verdict);
                return;
            case "released":
                releases.get(action.hash)?.(action.ok);
                return;
        }
    };
    const append = async (stream: string, record: Extract<ClaimAction, { kind: "append"; }>["record"]) => {
        const ok = await log.append(stream, [record]).then(() => true, () => false);
        apply(advanceClaims(state, { kind: "appended", stream, ok }));
    };
    const read = async (stream: string, from: number) => {
        const result = await log.read(stream, from, 0).catch(() => undefined);
        apply(advanceClaims(state, { kind: "read", stream, result }));
    };
    return {
        claim: key =>
            new Promise(resolve => {
                const settle = (verdict: ClaimVerdict) => {
                    clearTimeout(timer);
                    claims.delete(key.hash);
                    resolve(verdict);
                };
                const timer = setTimeout(settle, claimTimeoutMs, ClaimVerdict.failed);
                claims.set(key.hash, settle);
                apply(advanceClaims(state, { kind: "claim", key }));
            }),
        release: key =>
            new Promise(resolve => {
                releases.set(key.hash, ok => {
                    releases.delete(key.hash);
                    resolve(ok);
                });
                apply(advanceClaims(state, { kind: "release", key }));
            }),
    };
}
