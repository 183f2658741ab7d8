import { describe, expect, it } from "vitest";
import { maxClockSkewMs } from "../../wire/auth.js";
import type { RunParams } from "../../wire/messages.js";
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

const run: RunParams = {
    requestId: "r1",
    attempt: 1,
    incarnation: "i1",
    workspace: "w",
    method: "POST",
    path: "/",
    headers: {},
    body: "",
    idempotent: false,
    urgency: 3,
    tokens: 1,
    deadlineMs: 1000,
};

describe("ledger", () => {
    it("refuses a copy that arrives after its revocation", () => {
        const ledger = createRunStore("i1");
        expect(revokeRun(ledger, run, 0)).toMatchInlineSnapshot(`"not-run"`);
        expect(beginRun(ledger, run, 1).kind).toMatchInlineSnapshot(`"refuse"`);
    });

    it("does not claim that a run of an earlier process did not happen", () => {
        const ledger = createRunStore("i2");
        expect(resumeRun(ledger, { ...run, nextSequence: 0 }, 0)).toMatchInlineSnapshot(`
          {
            "kind": "refuse",
            "outcome": "unknown",
            "title": "The slot does not know the run",
          }
        `);
    });

    it("keeps tombstones for the retention time and running records for ever", () => {
        const ledger = createRunStore("i1");
        revokeRun(ledger, run, 0);
        beginRun(ledger, { ...run, requestId: "r2" }, 0);
        expireRecords(ledger, recordRetentionMs);
        expect([...ledger.records.keys()]).toMatchInlineSnapshot(`
          [
            "r2/1",
          ]
        `);
    });

    it("keeps tombstones for longer than copies of a revoked call are accepted", () => {
        expect(recordRetentionMs).toBeGreaterThan(2 * maxClockSkewMs);
    });

    it.each([
        { name: "a known run", change: {}, before: (ledger: RunStore) => beginRun(ledger, run, 0), kind: "replay" },
        { name: "a run without an incarnation", change: { incarnation: undefined }, kind: "refuse" },
        { name: "a run for an earlier process", change: { incarnation: "i0" }, kind: "refuse" },
        {
            name: "a run at a leaving slot",
            change: {},
            before: (ledger: RunStore) => {
                ledger.leaving = true;
            },
            kind: "refuse",
        },
        {
            name: "a run beyond the bound of records",
            change: {},
            before: (ledger: RunStore) => {
                ledger.limits = { ...ledger.limits, records: 0 };
            },
            kind: "refuse",
        },
    ])("answers $name with $kind", ({ change, before, kind }) => {
        const ledger = createRunStore("i1");
        before?.(ledger);
        expect(beginRun(ledger, { ...run, ...change }, 1).kind).toBe(kind);
    });

    it("does not answer not-run when there is no room for a tombstone", () => {
        const ledger = createRunStore("i1", { responseBytes: 1, totalBytes: 1, records: 0 });
        expect(revokeRun(ledger, run, 0)).toBe("unknown");
    });
});

describe("answer buffers", () => {
    const limits = { answerBytes: 4000, totalBytes: 6000, records: 10 };

    function begin(ledger: RunStore, requestId: string): RunRecord {
        const result = beginRun(ledger, { ...run, requestId }, 0);
        return result.kind === "begin" ? result.record : expect.unreachable();
    }

    function record(ledger: RunStore, target: RunRecord, body: FrameBody): void {
        const { requestId, attempt, next: sequence } = target;
        recordFrame(ledger, target, { requestId, attempt, sequence, ...body }, 0);
    }

    const data: FrameBody = { kind: "data", data: "x".repeat(1000) };

    it("pause reading while a reader lags, and drop what was delivered", () => {
        const ledger = createRunStore("i1", limits);
        const target = begin(ledger, "r1");
        [data, data, data, data].forEach(body => record(ledger, target, body));
        const before = isBufferFull(ledger, target);
        acknowledgeFrames(ledger, target, 4);
        const resumed = [0, 4].map(nextSequence => resumeRun(ledger, { ...run, nextSequence }, 1).kind);
        expect([before, isBufferFull(ledger, target), ledger.bufferedBytes, ...resumed]).toMatchInlineSnapshot(`
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
        const ledger = createRunStore("i1", limits);
        const result = beginRun(ledger, { ...run, idempotencyKey }, 0);
        const target = result.kind === "begin" ? result.record : expect.unreachable();
        const load = { incarnation: "i1", tokensInFlight: 0, requestsInFlight: 0, queued: 0, serviceMs: 0 };
        record(ledger, target, data);
        record(ledger, target, { kind: "end", length: 1000, load: { ...load, state: "live" } });
        acknowledgeFrames(ledger, target, delivered);
        expireRecords(ledger, deliveredResponseRetentionMs);
        const before = target.frames.length;
        expireRecords(ledger, recordRetentionMs);
        expect([before, ledger.bufferedBytes, ledger.records.size]).toEqual([kept, 0, 0]);
    });

    it("drop answers of ended runs first, which can then not be resumed", () => {
        const ledger = createRunStore("i1", limits);
        const [ended, running] = [begin(ledger, "r1"), begin(ledger, "r2")];
        [data, data, { kind: "failed", outcome: "run", status: 502, title: "lost" } as const]
            .forEach(body => record(ledger, ended, body));
        [data, data, data].forEach(body => record(ledger, running, body));
        const resumed = [ended, running].map(({ requestId }) =>
            resumeRun(ledger, { ...run, requestId, nextSequence: 0 }, 1).kind
        );
        expect([ledger.bufferedBytes, running.frames.length, ...resumed]).toMatchInlineSnapshot(`
          [
            3768,
            3,
            "refuse",
            "replay",
          ]
        `);
    });
});
