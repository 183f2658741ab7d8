/**
 * Prefers upstreams that have probably cached a prompt's prefix: prompts with the same leading block rank the
 * candidates alike, and the first of the few best that is not loaded beyond a bound is taken.
 */
import murmurhash from "murmurhash";

/** Bytes of a prompt that are hashed; shorter prompts have no preference. */
export const prefixBytes = 256;
/** Load of a preferred upstream, as a multiple of the mean, up to which it is taken. */
export const maxAffinityLoadFactor = 1;
/** Upstreams that a prefix prefers. */
const preferredUpstreams = 2;
const promptKey = /"(?:messages|prompt)"\s*:/;

/** Hashes the leading block of the prompt in a request's body; undefined when there is none. */
export function hashPromptPrefix(body: Buffer): number | undefined {
    const leadingText = body.subarray(0, 2 * prefixBytes).toString("latin1");
    const start = promptKey.exec(leadingText)?.index;
    if (start === undefined || body.length < start + prefixBytes) {
        return undefined;
    }
    return murmurhash.v3(body.subarray(start, start + prefixBytes).toString("latin1"));
}

/** Lists the upstreams that a prefix prefers, best first; the order changes little as upstreams come and go. */
export function listPreferred<T extends { instance: string; }>(candidates: T[], prefixHash: number): T[] {
    return candidates
        .map(candidate => ({ candidate, score: murmurhash.v3(candidate.instance, prefixHash) }))
        .sort((a, b) => a.score - b.score)
        .slice(0, preferredUpstreams)
        .map(scored => scored.candidate);
}
