/** Relays claims to the slot that appends for their stream, so that few processes append and read it. */
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

/** Address of a slot among those that may append. */
export type AppenderSlot = Pick<InstanceRecord, "instance" | "url">;

/** Chooses the appender of a stream by rendezvous hashing; the partitions of every span go to the same slots. */
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

/** Creates a relay for the slot `self`; `getSlots` yields the live slots of its data centre. */
export function createClaimRelay(
    identity: RpcIdentity,
    ownInstance: string,
    getLiveSlots: () => AppenderSlot[],
): ClaimRelay {
    return {
        findAppenderUrl: (stream, avoided) => {
            const chosen = chooseAppenderSlot(stream, getLiveSlots(), avoided);
            return chosen === undefined || chosen.instance === ownInstance ? undefined : chosen.url;
        },
        send: async (url, { claimant, release, key: { hash, stream } }, timeoutMs) => {
            const message: ClaimMessage = { claimant, release, hash, stream };
            const { verdict } = await requestRpc<{ verdict: string; }>(identity, url, "claim", message, { timeoutMs });
            return z.enum(ClaimVerdict).parse(verdict);
        },
    };
}

/** Creates the method by which other slots have their claims settled here. */
export function createClaimMethods(claims: ClaimsDriver): RpcMethods {
    return {
        claim: async (params: unknown) => {
            const { claimant, release, hash, stream } = ClaimSchema.parse(params);
            const key = { hash, stream, closesAt: computeCloseTime(stream) };
            return { verdict: await claims.settle({ claimant, release, key }) };
        },
    };
}
