/** Sends the recorded frames of a run to one reader, as fast as the reader takes them. */
import type { ServerResponse } from "node:http";
import { encodeFrame } from "../wire/frames.js";
import type { Frame } from "../wire/messages.js";
import type { Runner } from "./runner.js";
import type { RunRecord } from "./runStore.js";

const keepaliveIntervalMs = 500;
/** Text that is written at once, in characters. */
const maxWriteLength = 64 * 1024;

/** Sends frames from `from` on, then new ones as they come, with keepalive frames in silence. */
export function streamFrames(runner: Runner, record: RunRecord, firstSequence: number, response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    let position = firstSequence;
    let blocked = false;
    let scheduled: NodeJS.Immediate | undefined;
    const close = () => {
        clearInterval(keepalive);
        clearImmediate(scheduled);
        unsubscribe();
    };
    /** Sends the frames that one turn of the event loop brings in one write. */
    const schedulePump = () => {
        scheduled ??= setImmediate(() => {
            scheduled = undefined;
            pump();
        });
    };
    const writeNext = () => {
        let text = "";
        let last = false;
        while (position < record.next && position >= record.first && text.length < maxWriteLength) {
            const frame = record.frames[position - record.first];
            text += encodeFrame(frame);
            last = isFinalFrame(frame);
            position += 1;
        }
        response.cork();
        blocked = !response.write(text);
        if (last) {
            response.end(() => runner.acknowledgeFrames(record, position));
        }
        response.uncork();
        return last;
    };
    const pump = () => {
        while (!blocked && position < record.next) {
            if (position < record.first) {
                close();
                response.destroy();
                return;
            }
            keepalive.refresh();
            if (writeNext()) {
                close();
                return;
            }
        }
        if (!blocked) {
            runner.acknowledgeFrames(record, position);
        }
    };
    const keepalive = setInterval(() => {
        if (!blocked && position === record.next) {
            const { requestId, attempt } = record;
            response.write(encodeFrame({ requestId, attempt, sequence: position, kind: "keepalive" }));
        }
    }, keepaliveIntervalMs);
    const unsubscribe = runner.subscribe(record, schedulePump);
    response.on("drain", () => {
        blocked = false;
        pump();
    });
    response.on("close", close);
    pump();
}

/** Whether a frame ends its answer. */
export function isFinalFrame(frame: Frame): boolean {
    return frame.kind === "end" || frame.kind === "failed";
}
