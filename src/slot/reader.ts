/** Streams the recorded response frames of a run (one execution of a request) to one reader, with backpressure. */
import type { ServerResponse } from "node:http";
import { encodeFrame } from "../wire/frames.js";
import type { Frame } from "../wire/messages.js";
import type { Runner } from "./runner.js";
import type { RunRecord } from "./runStore.js";

/** Time without frames after which a keepalive frame is sent, in milliseconds. */
const keepaliveIntervalMs = 500;
/** Length from which encoded frames are written without adding more, in characters. */
const maxWriteLength = 64 * 1024;

/**
 * Sends the frames from `firstSequence`, then new ones as they are recorded, with keepalive frames in between. Closes
 * the connection if the next frame is no longer buffered.
 */
export function streamFrames(runner: Runner, record: RunRecord, firstSequence: number, response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    let position = firstSequence;
    let needsDrain = false;
    let scheduledPump: NodeJS.Immediate | undefined;
    const close = () => {
        clearInterval(keepalive);
        clearImmediate(scheduledPump);
        unsubscribe();
    };
    /** Defers writing, so that the frames of one turn of the event loop share a write. */
    const schedulePump = () => {
        scheduledPump ??= setImmediate(() => {
            scheduledPump = undefined;
            pump();
        });
    };
    const writeFrames = () => {
        let text = "";
        let isFinished = false;
        while (position < record.next && position >= record.first && text.length < maxWriteLength) {
            const frame = record.frames[position - record.first];
            text += encodeFrame(frame);
            isFinished = isFinalFrame(frame);
            position += 1;
        }
        response.cork();
        needsDrain = !response.write(text);
        if (isFinished) {
            response.end(() => runner.acknowledgeFrames(record, position));
        }
        response.uncork();
        return isFinished;
    };
    const pump = () => {
        while (!needsDrain && position < record.next) {
            if (position < record.first) {
                close();
                response.destroy();
                return;
            }
            keepalive.refresh();
            if (writeFrames()) {
                close();
                return;
            }
        }
        if (!needsDrain) {
            runner.acknowledgeFrames(record, position);
        }
    };
    const keepalive = setInterval(() => {
        if (!needsDrain && position === record.next) {
            const { requestId, attempt } = record;
            response.write(encodeFrame({ requestId, attempt, sequence: position, kind: "keepalive" }));
        }
    }, keepaliveIntervalMs);
    const unsubscribe = runner.subscribe(record, schedulePump);
    response.on("drain", () => {
        needsDrain = false;
        pump();
    });
    response.on("close", close);
    pump();
}

/** Whether a frame is the last one of a response. */
export function isFinalFrame(frame: Frame): boolean {
    return frame.kind === "end" || frame.kind === "failed";
}
