/**
 * Prefers upstreams that have probably cached a prompt's prefix: prompts with the same leading block rank the
 * candidates alike, and the first of the few best that is not loaded beyond a bound is taken.
 */
import murmurhash from "murmurhash";

/** Bytes of a prompt that are hashed; shorter prompts have no preference. */
export const blockBytes = 256;
/** Load of a preferred upstream, as a multiple of the mean, up to which it is taken. */
export const maxAffinityLoad = 1;
/** Upstreams that a prefix prefers. */
const preferredCount = 2;
const promptKey = /"(?:messages|prompt)"\s*:/;

/** Hashes the leading block of the prompt in a request's body; undefined when there is none. */
export function hashPrompt(body: Buffer): number | undefined {
    const head = body.subarray(0, 2 * blockBytes).toString("latin1");
    const start = promptKey.exec(head)?.index;
    if (start === undefined || body.length < start + blockBytes) {
        return undefined;
    }
    return murmurhash.v3(body.subarray(start, start + blockBytes).toString("latin1"));
}

/** Lists the upstreams that a prefix prefers, best first; the order changes little as upstreams come and go. */
export function rankPreferred<T extends { instance: string; }>(candidates: T[], prefix: number): T[] {
    return candidates
        .map(candidate => ({ candidate, score: murmurhash.v3(candidate.instance, prefix) }))
        .sort((a, b) => a.score - b.score)
        .slice(0, preferredCount)
        .map(ranked => ranked.candidate);
}
