/** Encodes and decodes frames as newline-delimited JSON-RPC notifications. */
import { StringDecoder } from "node:string_decoder";
import type { Frame } from "./messages.js";
import { FrameSchema } from "./messages.js";

const linePrefix = "{\"jsonrpc\":\"2.0\",\"method\":\"frame\",\"params\":";
const maxLineBytes = 8 * 1024 * 1024;

export interface FrameDecoder {
    /** Returns the frames that `chunk` completes; throws a `SyntaxError` if a line is too long or not a frame. */
    push: (chunk: Buffer | string) => Frame[];
}

/** Encodes a frame as one line, including the newline. */
export function encodeFrame(frame: Frame): string {
    return `${linePrefix}${JSON.stringify(frame)}}\n`;
}

/** Creates a decoder for one stream of frames. */
export function createFrameDecoder(): FrameDecoder {
    // A character may be split over two chunks.
    const utf8Decoder = new StringDecoder("utf8");
    let remainder = "";
    return {
        push: chunk => {
            const text = typeof chunk === "string" ? chunk : utf8Decoder.write(chunk);
            const lines = (remainder + text).split("\n");
            remainder = lines.pop() ?? "";
            if (remainder.length > maxLineBytes) {
                throw new SyntaxError("frame line exceeds the maximum length");
            }
            return lines.filter(line => line.length > 0).map(decodeFrame);
        },
    };
}

function decodeFrame(line: string): Frame {
    const message = JSON.parse(line) as { method?: string; params?: unknown; };
    const result = FrameSchema.safeParse(message.params);
    if (message.method !== "frame" || !result.success) {
        throw new SyntaxError("line is not a valid frame notification");
    }
    return result.data;
}
