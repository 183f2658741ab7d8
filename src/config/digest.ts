/** Digests of configuration documents. The order of object keys does not affect the digest. */
import { createHash } from "node:crypto";

/** Computes the SHA-256 digest, in base64url, of a document as stored in the log, before defaults are applied. */
export function computeDigest(document: unknown): string {
    return createHash("sha256").update(JSON.stringify(sortKeys(document)) ?? "").digest("base64url");
}

/** Whether a document has the digest; false if it is nested too deeply to be read. */
export function hasDigest(document: unknown, digest: string): boolean {
    try {
        return computeDigest(document) === digest;
    }
    catch (error) {
        if (error instanceof RangeError) {
            return false;
        }
        throw error;
    }
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
