import { expect, it } from "vitest";
import type { InstanceRecord, LoadReport } from "../../core/types.js";
import { chooseUpstream } from "../choose.js";
import { createUpstreamTable, markUnreachable, updateInstances, updateReport } from "../upstreamTable.js";

const record: InstanceRecord = {
    instance: "slot-1",
    role: "slot",
    dataCentre: "dc-a",
    url: "http://10.0.0.1:80",
    state: "live",
    pool: "assistant",
};
const report: LoadReport = {
    incarnation: "i1",
    tokensInFlight: 7,
    requestsInFlight: 1,
    queued: 0,
    state: "live",
    serviceMs: 10,
};
const criteria = {
    pool: "assistant",
    dataCentre: "dc-a",
    spill: "never",
    tokens: 1,
    excluded: new Set<string>(),
} as const;

it.each([
    { name: "reachable", isUnreachable: false },
    { name: "unreachable at its earlier address", isUnreachable: true },
])("a slot that is $name gets requests as soon as the list names another address", ({ isUnreachable }) => {
    const table = createUpstreamTable();
    updateInstances(table, [record]);
    updateReport(table, "slot-1", report, 1000);
    if (isUnreachable) {
        markUnreachable(table, "slot-1", 2000);
    }
    updateInstances(table, [{ ...record, url: "http://10.0.0.2:80" }]);
    const chosen = chooseUpstream(table, criteria, 3000, () => 0);
    expect([chosen?.url, chosen?.report, chosen?.unreachableUntil]).toEqual(["http://10.0.0.2:80", report, 0]);
});
