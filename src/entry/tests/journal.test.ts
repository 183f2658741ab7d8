import { expect, it } from "vitest";
import { beginAttempt, beginRecord, createJournal, endAttempt, endRecord, findRecord } from "../journal.js";

const request = { workspace: "batch", route: "/claims", receivedAt: 10 };

it("tells every attempt of a request", () => {
    const journal = createJournal(2);
    const record = beginRecord(journal, { ...request, requestId: "r1" });
    beginAttempt(record, "slot-1", "lowest cost", 11);
    endAttempt(record, "refused", 12);
    endAttempt(record, "abandoned", 13);
    beginAttempt(record, "slot-2", "retry", 13);
    endAttempt(record, "answered", 20);
    endRecord(journal, record, "run", true);
    expect(findRecord(journal, "r1")).toMatchInlineSnapshot(`
      {
        "attempts": [
          {
            "attempt": 1,
            "endedAt": 12,
            "instance": "slot-1",
            "reason": "lowest cost",
            "startedAt": 11,
            "verdict": "refused",
          },
          {
            "attempt": 2,
            "endedAt": 20,
            "instance": "slot-2",
            "reason": "retry",
            "startedAt": 13,
            "verdict": "answered",
          },
        ],
        "outcome": "run",
        "receivedAt": 10,
        "requestId": "r1",
        "route": "/claims",
        "workspace": "batch",
      }
    `);
});

it("keeps requests that went wrong when many ordinary ones follow, within its capacity", () => {
    const journal = createJournal(2);
    for (let i = 0; i < 10; i++) {
        const record = beginRecord(journal, { ...request, requestId: `r${i}` });
        beginAttempt(record, "slot-1", "lowest cost", i);
        endRecord(journal, record, i < 3 ? "unknown" : "run", i >= 3);
    }
    expect([...journal.notable.keys(), ...journal.ordinary.keys()]).toEqual(["r1", "r2", "r8", "r9"]);
    expect(findRecord(journal, "r0")).toBeUndefined();
});
