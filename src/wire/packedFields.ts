/** Header fields as one buffer. */

/** Separates names and values, neither of which can contain it. */
const separator = "\n";

/** Packs alternating names and values. */
export function packFields(raw: readonly string[]): Buffer {
    return Buffer.from(raw.join(separator), "latin1");
}

/** Returns the names and values that were packed. */
export function unpackFields(packed: Buffer): string[] {
    return packed.length === 0 ? [] : packed.toString("latin1").split(separator);
}
