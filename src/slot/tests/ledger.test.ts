import { describe, expect, it } from "vitest";
import type { RunParams } from "../../wire/messages.js";
import { beginRun, createLedger, expireRecords, resumeRun, retentionMs, revokeRun } from "../ledger.js";

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
        const ledger = createLedger("i1");
        expect(revokeRun(ledger, run, 0)).toMatchInlineSnapshot(`"not-run"`);
        expect(beginRun(ledger, run, 1).kind).toMatchInlineSnapshot(`"refuse"`);
    });

    it("does not claim that a run of an earlier process did not happen", () => {
        const ledger = createLedger("i2");
        expect(resumeRun(ledger, { ...run, nextSequence: 0 }, 0)).toMatchInlineSnapshot(`
          {
            "kind": "refuse",
            "outcome": "unknown",
          }
        `);
    });

    it("keeps tombstones for the retention time and running records for ever", () => {
        const ledger = createLedger("i1");
        revokeRun(ledger, run, 0);
        beginRun(ledger, { ...run, requestId: "r2" }, 0);
        expireRecords(ledger, retentionMs);
        expect([...ledger.records.keys()]).toMatchInlineSnapshot(`
          [
            "r2/1",
          ]
        `);
    });
});
