/**
 * Forwards claims of idempotency keys to the slot that appends to their stream of the log, so that few processes append
 * to and read each stream.
 */
import murmurhash from "murmurhash";
import { z } from "zod";
import type { InstanceRecord } from "../core/types.js";
import type { RpcIdentity, RpcMethods } from "../wire/rpc.js";
import { requestRpc } from "../wire/rpc.js";
import { ClaimVerdict, computeCloseTime } from "./claims.js";
import type { ClaimRelay, ClaimsDriver } from "./driverClaims.js";

const ClaimSchema = z.object({
    claimant: z.string().max(100),
    release: z.boolean(),
    hash: z.string().length(16),
    stream: z.string().regex(/^claims-\d+-\d+$/),
});
type ClaimMessage = z.infer<typeof ClaimSchema>;

/** A slot that may append claims. */
export type AppenderSlot = Pick<InstanceRecord, "instance" | "url">;

/**
 * Chooses the slot that appends to a stream, by rendezvous hashing of the stream's partition, so that a partition has
 * the same slot in every time bucket. Returns undefined if no slot is left.
 */
export function chooseAppenderSlot(
    stream: string,
    slots: AppenderSlot[],
    excludedUrls: ReadonlySet<string>,
): AppenderSlot | undefined {
    const partition = stream.slice(stream.lastIndexOf("-") + 1);
    let best: AppenderSlot | undefined;
    let bestScore = -1;
    for (const slot of slots) {
        const score = murmurhash.v3(`claims-${partition}/${slot.instance}`);
        if (score > bestScore && !excludedUrls.has(slot.url)) {
            best = slot;
            bestScore = score;
        }
    }
    return best;
}

/** Creates the relay of the slot `ownInstance`; `getLiveSlots` returns the live slots of its data centre. */
export function createClaimRelay(
    identity: RpcIdentity,
    ownInstance: string,
    getLiveSlots: () => AppenderSlot[],
): ClaimRelay {
    return {
        findAppenderUrl: (stream, excludedUrls) => {
            const chosen = chooseAppenderSlot(stream, getLiveSlots(), excludedUrls);
            return chosen === undefined || chosen.instance === ownInstance ? undefined : chosen.url;
        },
        send: async (url, { claimant, release, key: { hash, stream } }, timeoutMs) => {
            const message: ClaimMessage = { claimant, release, hash, stream };
            const { verdict } = await requestRpc<{ verdict: string; }>(identity, url, "claim", message, { timeoutMs });
            return z.enum(ClaimVerdict).parse(verdict);
        },
    };
}

/** Creates the JSON-RPC method that settles claims for other slots. */
export function createClaimMethods(claims: ClaimsDriver): RpcMethods {
    return {
        claim: async (params: unknown) => {
            const { claimant, release, hash, stream } = ClaimSchema.parse(params);
            const key = { hash, stream, closesAt: computeCloseTime(stream) };
            return { verdict: await claims.settle({ claimant, release, key }) };
        },
    };
}
