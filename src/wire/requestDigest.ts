/** Digest of a whole request, by which requests that come again are recognized at any entry. */
import { createHash, type Hash } from "node:crypto";

/** What makes two requests the same one. */
export interface RequestIdentity {
    /** API key or workspace (tenant) of the caller. */
    caller: string;
    method: string;
    host: string;
    /** Path and query. */
    target: string;
    /** Hash of the body; see `createBodyHash`. */
    bodyHash: string;
    /** Parts of the prompt in the body, as the caller describes them. */
    promptParts: string[];
}

/** Length of a digest, in base64url characters. */
const digestLength = 22;

const algorithm = "sha256";

/** Creates the hash of a body, to be updated as the body arrives. */
export function createBodyHash(): Hash {
    return createHash(algorithm);
}

/** Computes the digest, from which the request cannot be told. */
export function computeRequestDigest(identity: RequestIdentity): string {
    const { caller, method, host, target, bodyHash, promptParts } = identity;
    const text = JSON.stringify([caller, method, host.toLowerCase(), target, bodyHash, promptParts]);
    return createHash(algorithm).update(text).digest("base64url").slice(0, digestLength);
}
