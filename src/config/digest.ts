/** Digests of documents; equal documents have equal digests, whatever the order of their keys. */
import { createHash } from "node:crypto";

/** Computes the digest of a document as it stands in the log, before defaults are filled in. */
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
