import type { ServerResponse } from "node:http";
import { Writable } from "node:stream";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createFrameDecoder } from "../../wire/frames.js";
import type { FrameBody } from "../../wire/messages.js";
import { streamFrames } from "../reader.js";
import type { Runner } from "../runner.js";
import { acknowledgeFrames, createRunStore, recordFrame, type RunRecord } from "../runStore.js";

beforeEach(() => void vi.useFakeTimers());

afterEach(() => void vi.useRealTimers());

/** Creates a response whose writes complete only when `completeWrites` is called. */
function createResponse() {
    const decoder = createFrameDecoder();
    const received: string[] = [];
    let completeWrite: (() => void) | undefined;
    const stream = new Writable({
        highWaterMark: 1000,
        decodeStrings: true,
        write: (chunk: Buffer, encoding, done) => {
            decoder.push(chunk).forEach(frame => received.push(`${frame.sequence} ${frame.kind}`));
            completeWrite = done;
        },
    });
    const completeWrites = async () => {
        for (let done = completeWrite; done !== undefined; done = completeWrite) {
            completeWrite = undefined;
            done();
            await vi.advanceTimersByTimeAsync(1);
        }
    };
    return {
        response: Object.assign(stream, { writeHead: () => undefined }) as unknown as ServerResponse,
        received,
        completeWrites,
    };
}

it("notes what its reader has taken, the end included, and skips keepalives while the reader lags", async () => {
    const store = createRunStore("i1");
    const record: RunRecord = {
        requestId: "r",
        attempt: 1,
        state: "running",
        frames: [],
        first: 0,
        next: 0,
        delivered: 0,
        bufferedBytes: 0,
        expiresAt: 0,
        hasIdempotencyKey: false,
    };
    const listeners = new Set<() => void>();
    const runner = {
        subscribe: (target: RunRecord, listener: () => void) => {
            listeners.add(listener);
            return () => listeners.delete(listener);
        },
        acknowledgeFrames: (target: RunRecord, sequence: number) => acknowledgeFrames(store, target, sequence),
    } as unknown as Runner;
    const emit = (body: FrameBody) => {
        recordFrame(store, record, { ...body, requestId: "r", attempt: 1, sequence: record.next }, 0);
        listeners.forEach(listener => listener());
    };
    const { response, received, completeWrites } = createResponse();

    streamFrames(runner, record, 0, response);
    emit({ kind: "data", data: "x".repeat(2000) });
    await vi.advanceTimersByTimeAsync(1600);
    const whileLagging = [record.delivered, [...received]];
    await completeWrites();
    const afterDrain = record.delivered;
    emit({ kind: "failed", outcome: "run", status: 502, title: "lost" });
    await vi.advanceTimersByTimeAsync(1);
    await completeWrites();
    expect([whileLagging, afterDrain, record.delivered, received, listeners.size]).toMatchInlineSnapshot(`
      [
        [
          0,
          [
            "0 data",
          ],
        ],
        1,
        2,
        [
          "0 data",
          "1 failed",
        ],
        0,
      ]
    `);
});
