/**
 * Prefix affinity with bounded load: prompts with the same leading block prefer the same few upstreams, which probably
 * have the prefix in their cache. Preferred upstreams are chosen by rendezvous hashing and skipped when overloaded.
 */
import murmurhash from "murmurhash";

/** Length of the hashed prefix in bytes; shorter prompts have no preferred upstreams. */
export const prefixBytes = 256;
/** Load of a preferred upstream up to which it is chosen, as a multiple of the mean. */
export const maxAffinityLoadFactor = 1;
/** Number of upstreams that a prefix prefers. */
const preferredUpstreams = 2;
const promptKey = /"(?:messages|prompt)"\s*:/;

/** Hashes the prefix of the prompt in a request body; undefined when there is no prompt or it is too short. */
export function hashPromptPrefix(body: Buffer): number | undefined {
    const leadingText = body.subarray(0, 2 * prefixBytes).toString("latin1");
    const start = promptKey.exec(leadingText)?.index;
    if (start === undefined || body.length < start + prefixBytes) {
        return undefined;
    }
    return murmurhash.v3(body.subarray(start, start + prefixBytes).toString("latin1"));
}

/** Lists the preferred upstreams of a prefix, best first; joins and departures change the order of few prefixes. */
export function listPreferred<T extends { instance: string; }>(candidates: T[], prefixHash: number): T[] {
    return candidates
        .map(candidate => ({ candidate, score: murmurhash.v3(candidate.instance, prefixHash) }))
        .sort((a, b) => a.score - b.score)
        .slice(0, preferredUpstreams)
        .map(scored => scored.candidate);
}
