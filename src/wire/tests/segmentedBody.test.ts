import { expect, test } from "vitest";
import { countJsonBytes } from "../jsonSize.js";
import { packFields, unpackFields } from "../packedFields.js";
import { joinBody, SegmentedBody } from "../segmentedBody.js";

const createBytes = (length: number) => Buffer.from(Uint8Array.from({ length }, (ignored, i) => i % 251));

/** Adds bytes in parts of the given lengths, in turn; returns the body and how much was allocated for it. */
function collect(bytes: Buffer, partLengths: number[], expectedBytes?: number) {
    const segments: Buffer[] = [];
    const parts = new SegmentedBody(expectedBytes, segment => segments.push(Buffer.from(segment)));
    let allocatedBytes = 0;
    for (let at = 0, i = 0; at < bytes.length; i++) {
        const length = partLengths[i % partLengths.length];
        allocatedBytes += parts.append(Buffer.from(bytes.subarray(at, at + length)));
        at += length;
    }
    return { body: parts.finish(), announced: Buffer.concat(segments), allocatedBytes };
}

test.each([
    ["of 1 byte", [1], 100_000],
    ["of 7 bytes", [7], 100_000],
    ["of 64 KiB", [65_536], 1_000_000],
    ["large and small in turn", [20_000, 3, 1, 70_000], 1_000_000],
    ["of 1 byte and 16 KiB in turn", [1, 16_384], 500_000],
])("parts %s are kept whole, in order and compactly", (title, partLengths, length) => {
    const bytes = createBytes(length);
    const { body, announced, allocatedBytes } = collect(bytes, partLengths);
    expect([body.length, joinBody(body).equals(bytes), announced.equals(bytes)]).toEqual([length, true, true]);
    expect(allocatedBytes / length).toBeLessThan(1.3);
});

test.each([1, 100, 5000])("a body of a known length of %d bytes takes little more", length => {
    const { body, allocatedBytes } = collect(createBytes(length), [1], length);
    expect([body.length, allocatedBytes - length]).toEqual([length, 256 * body.segments.length]);
});

test("an empty body has no segments", () => {
    expect(collect(Buffer.alloc(0), [1])).toMatchObject({ body: { segments: [], length: 0 }, allocatedBytes: 0 });
});

test.each([[[]], [["a", ""]], [["A", "b c", "a", "\xe9\t\"", "x-y", ""]]])("header fields survive packing: %j", raw => {
    expect(unpackFields(packFields(raw))).toEqual(raw);
});

test("the size of bytes in a JSON message is that of their encoding", () => {
    const bytes = Buffer.from(Uint8Array.from({ length: 512 }, (ignored, i) => i));
    expect(countJsonBytes(bytes)).toBe(Buffer.byteLength(JSON.stringify(bytes.toString("latin1"))) - 2);
});
