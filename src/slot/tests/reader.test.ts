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

/** A response that takes what is written only when `take` is called. */
function createResponse() {
    const decoder = createFrameDecoder();
    const taken: string[] = [];
    let waiting: (() => void) | undefined;
    const stream = new Writable({
        highWaterMark: 1000,
        decodeStrings: true,
        write: (chunk: Buffer, encoding, done) => {
            decoder.push(chunk).forEach(frame => taken.push(`${frame.sequence} ${frame.kind}`));
            waiting = done;
        },
    });
    const take = async () => {
        for (let done = waiting; done !== undefined; done = waiting) {
            waiting = undefined;
            done();
            await vi.advanceTimersByTimeAsync(1);
        }
    };
    return {
        response: Object.assign(stream, { writeHead: () => undefined }) as unknown as ServerResponse,
        taken,
        take,
    };
}

it("notes what its reader has taken, the end included, and skips keepalives while the reader lags", async () => {
    const ledger = createRunStore("i1");
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
        noteDelivered: (target: RunRecord, sequence: number) => acknowledgeFrames(ledger, target, sequence),
    } as unknown as Runner;
    const emit = (body: FrameBody) => {
        recordFrame(ledger, record, { ...body, requestId: "r", attempt: 1, sequence: record.next }, 0);
        listeners.forEach(listener => listener());
    };
    const { response, taken, take } = createResponse();

    streamFrames(runner, record, 0, response);
    emit({ kind: "data", data: "x".repeat(2000) });
    await vi.advanceTimersByTimeAsync(1600);
    const whileLagging = [record.delivered, [...taken]];
    await take();
    const afterTaking = record.delivered;
    emit({ kind: "failed", outcome: "run", status: 502, title: "lost" });
    await vi.advanceTimersByTimeAsync(1);
    await take();
    expect([whileLagging, afterTaking, record.delivered, taken, listeners.size]).toMatchInlineSnapshot(`
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
