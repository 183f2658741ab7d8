/** Idempotency keys for tests, benchmarks and the demo. */
import { randomBytes } from "node:crypto";

/** Creates a UUID of version 7 with the timestamp `unixMs`, in milliseconds since 1970. */
export function createIdempotencyKey(unixMs: number): string {
    const time = unixMs.toString(16).padStart(12, "0");
    const random = randomBytes(9).toString("hex");
    return `${time.slice(0, 8)}-${time.slice(8)}-7${random.slice(0, 3)}-8${random.slice(3, 6)}-${random.slice(6)}`;
}
