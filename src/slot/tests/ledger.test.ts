import { describe, expect, it } from "vitest";
import { createRunParams } from "../../standin/runParams.js";
import { maxClockSkewMs } from "../../wire/auth.js";
import type { FrameBody } from "../../wire/messages.js";
import {
    acknowledgeFrames,
    beginRun,
    createRunStore,
    deliveredResponseRetentionMs,
    expireRecords,
    isBufferFull,
    recordFrame,
    recordRetentionMs,
    resumeRun,
    revokeRun,
    type RunRecord,
    type RunStore,
} from "../runStore.js";

const run = createRunParams({ body: "", deadlineMs: 1000 });

describe("ledger", () => {
    it("refuses a copy that arrives after its revocation", () => {
        const store = createRunStore("i1");
        expect(revokeRun(store, run, 0)).toMatchInlineSnapshot(`"not-run"`);
        expect(beginRun(store, run, 1).kind).toMatchInlineSnapshot(`"refuse"`);
    });

    it("does not claim that a run of an earlier process did not happen", () => {
        const store = createRunStore("i2");
        expect(resumeRun(store, { ...run, nextSequence: 0 }, 0)).toMatchInlineSnapshot(`
          {
            "kind": "refuse",
            "outcome": "unknown",
            "title": "The slot does not know the run",
          }
        `);
    });

    it("keeps tombstones for the retention time and running records for ever", () => {
        const store = createRunStore("i1");
        revokeRun(store, run, 0);
        beginRun(store, { ...run, requestId: "r2" }, 0);
        expireRecords(store, recordRetentionMs);
        expect([...store.records.keys()]).toMatchInlineSnapshot(`
          [
            "r2/1",
          ]
        `);
    });

    it("keeps tombstones for longer than copies of a revoked call are accepted", () => {
        expect(recordRetentionMs).toBeGreaterThan(2 * maxClockSkewMs);
    });

    it.each([
        { name: "a known run", change: {}, before: (store: RunStore) => beginRun(store, run, 0), kind: "replay" },
        { name: "a run without an incarnation", change: { incarnation: undefined }, kind: "refuse" },
        { name: "a run for an earlier process", change: { incarnation: "i0" }, kind: "refuse" },
        {
            name: "a run at a leaving slot",
            change: {},
            before: (store: RunStore) => {
                store.leaving = true;
            },
            kind: "refuse",
        },
        {
            name: "a run beyond the bound of records",
            change: {},
            before: (store: RunStore) => {
                store.limits = { ...store.limits, records: 0 };
            },
            kind: "refuse",
        },
    ])("answers $name with $kind", ({ change, before, kind }) => {
        const store = createRunStore("i1");
        before?.(store);
        expect(beginRun(store, { ...run, ...change }, 1).kind).toBe(kind);
    });

    it("does not answer not-run when there is no room for a tombstone", () => {
        const store = createRunStore("i1", { responseBytes: 1, totalBytes: 1, records: 0 });
        expect(revokeRun(store, run, 0)).toBe("unknown");
    });
});

describe("answer buffers", () => {
    const limits = { responseBytes: 4000, totalBytes: 6000, records: 10 };

    function begin(store: RunStore, requestId: string): RunRecord {
        const result = beginRun(store, { ...run, requestId }, 0);
        return result.kind === "begin" ? result.record : expect.unreachable();
    }

    function record(store: RunStore, target: RunRecord, body: FrameBody): void {
        const { requestId, attempt, next: sequence } = target;
        recordFrame(store, target, { requestId, attempt, sequence, ...body }, 0);
    }

    const data: FrameBody = { kind: "data", data: "x".repeat(1000) };

    it("pause reading while a reader lags, and drop what was delivered", () => {
        const store = createRunStore("i1", limits);
        const target = begin(store, "r1");
        [data, data, data, data].forEach(body => record(store, target, body));
        const before = isBufferFull(store, target);
        acknowledgeFrames(store, target, 4);
        const resumed = [0, 4].map(nextSequence => resumeRun(store, { ...run, nextSequence }, 1).kind);
        expect([before, isBufferFull(store, target), store.bufferedBytes, ...resumed]).toMatchInlineSnapshot(`
          [
            true,
            false,
            1256,
            "refuse",
            "replay",
          ]
        `);
    });

    it.each([
        { name: "a delivered answer", delivered: 2, idempotencyKey: undefined, kept: 0 },
        { name: "an answer that nobody has taken", delivered: 1, idempotencyKey: undefined, kept: 2 },
        { name: "the answer of a keyed run", delivered: 2, idempotencyKey: "k", kept: 2 },
    ])("keep $kept frames of $name for longer than a resumption takes", ({ delivered, idempotencyKey, kept }) => {
        const store = createRunStore("i1", limits);
        const result = beginRun(store, { ...run, idempotencyKey }, 0);
        const target = result.kind === "begin" ? result.record : expect.unreachable();
        const load = { incarnation: "i1", tokensInFlight: 0, requestsInFlight: 0, queued: 0, serviceMs: 0 };
        record(store, target, data);
        record(store, target, { kind: "end", length: 1000, load: { ...load, state: "live" } });
        acknowledgeFrames(store, target, delivered);
        expireRecords(store, deliveredResponseRetentionMs);
        const before = target.frames.length;
        expireRecords(store, recordRetentionMs);
        expect([before, store.bufferedBytes, store.records.size]).toEqual([kept, 0, 0]);
    });

    it("drop answers of ended runs first, which can then not be resumed", () => {
        const store = createRunStore("i1", limits);
        const [ended, running] = [begin(store, "r1"), begin(store, "r2")];
        [data, data, { kind: "failed", outcome: "run", status: 502, title: "lost" } as const]
            .forEach(body => record(store, ended, body));
        [data, data, data].forEach(body => record(store, running, body));
        const resumed = [ended, running].map(({ requestId }) =>
            resumeRun(store, { ...run, requestId, nextSequence: 0 }, 1).kind
        );
        expect([store.bufferedBytes, running.frames.length, ...resumed]).toMatchInlineSnapshot(`
          [
            3768,
            3,
            "refuse",
            "replay",
          ]
        `);
    });
});
