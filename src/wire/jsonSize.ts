/** Size of bytes that are encoded as a Latin-1 string in a JSON message. */

const quote = 0x22;
const backslash = 0x5c;
/** Control characters that have an escape of two bytes. */
const shortEscapes = new Set([0x08, 0x09, 0x0a, 0x0c, 0x0d]);

/** Encoded length of each byte. */
const encodedLengths = Uint8Array.from({ length: 256 }, (ignored, byte) => {
    if (byte < 0x20) {
        return shortEscapes.has(byte) ? 2 : 6;
    }
    return byte === quote || byte === backslash || byte >= 0x80 ? 2 : 1;
});

/** Counts the bytes of `JSON.stringify(bytes.toString("latin1"))` in UTF-8, without the quotes around it. */
export function countJsonBytes(bytes: Buffer): number {
    let sum = 0;
    for (let i = 0; i < bytes.length; i++) {
        sum += encodedLengths[bytes[i]];
    }
    return sum;
}
