import { afterEach, expect, it } from "vitest";
import { demoKeys } from "../../demo/document.js";
import { updateReport } from "../../routing/upstreamTable.js";
import { type EntryWithFakeSlot, fakeLoadReport, startEntryWithFakeSlot } from "../../standin/fakeSlot.js";
import { formatRequest, openRawConnection } from "../../standin/rawConnection.js";

let fake: EntryWithFakeSlot;
afterEach(() => fake.close());

const restarted = { ...fakeLoadReport, incarnation: "restarted" };
const refusal = {
    kind: "failed",
    sequence: 0,
    outcome: "not-run",
    status: 503,
    title: "The slot has restarted",
    incarnation: restarted.incarnation,
};
const answer = [
    { kind: "accepted", incarnation: restarted.incarnation },
    { kind: "head", status: 200, headers: { "content-type": "text/plain" } },
    { kind: "data", data: "ok" },
    { kind: "end", length: 2, load: restarted },
];

it.each([
    { name: "before any probe", isProbed: false },
    { name: "after a probe that overtook the refusal", isProbed: true },
])("sends a request again to the only slot, which refused it as restarted, $name", async ({ isProbed }) => {
    fake = await startEntryWithFakeSlot(call => {
        if (call.params.incarnation === restarted.incarnation) {
            answer.forEach((frame, sequence) => call.sendFrame({ sequence, ...frame }));
            return;
        }
        if (isProbed) {
            updateReport(fake.context.table, "slot-1", restarted, Date.now());
        }
        call.sendFrame(refusal);
    });
    const headers = [`authorization: Bearer ${demoKeys.caseworkers}`, "connection: close"];
    const { status, body } = await openRawConnection(fake.url, formatRequest("POST /claims HTTP/1.1", headers, "x"))
        .closed;
    expect([status, body, fake.calls.map(({ params }) => params.incarnation)]).toEqual([
        200,
        "ok",
        ["fake", "restarted"],
    ]);
});
