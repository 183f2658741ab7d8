import type { ServerResponse } from "node:http";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createFrameDecoder } from "../../wire/frames.js";
import type { Frame } from "../../wire/messages.js";
import { streamFrames } from "../reader.js";
import type { Runner } from "../runner.js";
import type { RunRecord } from "../runStore.js";

beforeEach(() => vi.useFakeTimers({ toFake: ["setInterval", "clearInterval"] }));
afterEach(() => vi.useRealTimers());

it("sends no keepalive frame ahead of a frame that waits to be written", async () => {
    const base = { requestId: "r1", attempt: 1 };
    const frames: Frame[] = [{ ...base, sequence: 0, kind: "accepted", incarnation: "a" }];
    const record = { ...base, first: 0, next: 1, frames } as RunRecord;
    const decoder = createFrameDecoder();
    const written: Frame[] = [];
    const response = {
        writeHead: () => response,
        on: () => response,
        cork: () => undefined,
        uncork: () => undefined,
        write: (text: string) => written.push(...decoder.push(text)) > 0,
    };
    let notify = () => {};
    const runner = {
        noteDelivered: () => undefined,
        subscribe: (item: RunRecord, listener: () => void) => {
            notify = listener;
            return () => undefined;
        },
    };
    streamFrames(runner as unknown as Runner, record, 0, response as unknown as ServerResponse);
    frames.push({ ...base, sequence: 1, kind: "data", data: "x" });
    record.next = 2;
    notify();
    vi.advanceTimersByTime(500);
    await new Promise(resolve => setImmediate(resolve));
    vi.advanceTimersByTime(500);
    expect(written.map(frame => `${frame.kind} ${frame.sequence}`)).toEqual(["accepted 0", "data 1", "keepalive 2"]);
});
