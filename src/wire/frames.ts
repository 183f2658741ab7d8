/** Encodes frames as lines of JSON-RPC notifications and decodes them again. */
import type { Frame } from "./messages.js";
import { FrameSchema } from "./messages.js";

const linePrefix = "{\"jsonrpc\":\"2.0\",\"method\":\"frame\",\"params\":";
const maxLineBytes = 8 * 1024 * 1024;

export interface FrameDecoder {
    /** Decodes the frames that `chunk` completes; throws a SyntaxError on anything else. */
    push: (chunk: Buffer | string) => Frame[];
}

/** Encodes a frame as one line. */
export function encodeFrame(frame: Frame): string {
    return `${linePrefix}${JSON.stringify(frame)}}\n`;
}

/** Creates a decoder for one answer stream. */
export function createFrameDecoder(): FrameDecoder {
    let remainder = "";
    return {
        push: chunk => {
            const lines = (remainder + chunk.toString()).split("\n");
            remainder = lines.pop() ?? "";
            if (remainder.length > maxLineBytes) {
                throw new SyntaxError("frame line is too long");
            }
            return lines.filter(line => line.length > 0).map(decodeFrame);
        },
    };
}

function decodeFrame(line: string): Frame {
    const message = JSON.parse(line) as { method?: string; params?: unknown; };
    const result = FrameSchema.safeParse(message.params);
    if (message.method !== "frame" || !result.success) {
        throw new SyntaxError("line is not a frame notification");
    }
    return result.data;
}
