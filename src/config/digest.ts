/** Digests of configuration documents. The order of object keys does not affect the digest. */
import { createHash } from "node:crypto";

/** Computes the SHA-256 digest, in base64url, of a document as stored in the log, before defaults are applied. */
export function computeDigest(document: unknown): string {
    return createHash("sha256").update(JSON.stringify(sortKeys(document)) ?? "").digest("base64url");
}

function sortKeys(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sortKeys);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const entries = Object.entries(value).sort(([a], [b]) => a < b ? -1 : 1);
    return Object.fromEntries(entries.map(([key, item]) => [key, sortKeys(item)]));
}
