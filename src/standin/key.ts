/** Idempotency keys for tests, benches and the demo. */
import { randomBytes } from "node:crypto";

/** Creates a UUID of version 7 that was minted at `time`, in milliseconds since 1970. */
export function createKey(time: number): string {
    const head = time.toString(16).padStart(12, "0");
    const rest = randomBytes(9).toString("hex");
    return `${head.slice(0, 8)}-${head.slice(8)}-7${rest.slice(0, 3)}-8${rest.slice(3, 6)}-${rest.slice(6)}`;
}
