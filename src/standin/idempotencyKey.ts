/** Idempotency keys for tests, benches and the demo. */
import { randomBytes } from "node:crypto";

/** Creates a UUID of version 7 that was minted at `time`, in milliseconds since 1970. */
export function createIdempotencyKey(unixMs: number): string {
    const timestampHex = unixMs.toString(16).padStart(12, "0");
    const randomHex = randomBytes(9).toString("hex");
    return `${timestampHex.slice(0, 8)}-${timestampHex.slice(8)}-7${randomHex.slice(0, 3)}-8${randomHex.slice(3, 6)}-${
        randomHex.slice(6)
    }`;
}
