import { expect, test } from "vitest";
import { createFrameDecoder, encodeFrame } from "../frames.js";

test.each([1, 2, 3, 5, 1000])("decodes bytes beyond ASCII in chunks of %i bytes", size => {
    const body = Array.from({ length: 256 }, (ignored, byte) => String.fromCharCode(byte)).join("");
    const bytes = Buffer.from(encodeFrame({ requestId: "r", attempt: 1, sequence: 2, kind: "data", data: body }));
    const decoder = createFrameDecoder();
    const frames = Array.from(
        { length: Math.ceil(bytes.length / size) },
        (ignored, index) => decoder.push(bytes.subarray(index * size, (index + 1) * size)),
    ).flat();
    expect(frames.map(frame => frame.kind === "data" && frame.data)).toEqual([body]);
});
