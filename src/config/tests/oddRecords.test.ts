/** Records of the log and revisions of peers that no process of this project writes must be left out without an error. */
import fc from "fast-check";
import { expect, test } from "vitest";
import { computeDigest } from "../digest.js";
import { createFoldState, foldBatch } from "../fold.js";
import { parseRecord } from "../records.js";
import { createRevisionState, handleRevisionEvent } from "../revision.js";

const settings = { seed: 5, numRuns: 1000 };
/** Nesting of a document beyond what can be read by recursion. */
const depth = 50_000;
const nested = JSON.parse("[".repeat(depth) + "]".repeat(depth)) as unknown;
const document = { pools: [] };
const promotion = {
    ...{ kind: "promote", id: "i", environment: "production", author: "a", document, base: 0, baseDigest: "" },
    digest: computeDigest(document),
};
const createRecord = (offset: number, data: unknown) => ({ offset, id: `r${offset}`, time: offset, data });

test("a document that is nested too deeply is no record and no revision", () => {
    const record = parseRecord(createRecord(1, { ...promotion, document: nested }));
    const candidate = { revision: 1, digest: "x", author: "a", document: nested };
    const actions = handleRevisionEvent(createRevisionState("production", 0), { kind: "peer", candidate }, 0);
    expect({ record, actions }).toEqual({ record: undefined, actions: [] });
});

test("a sound promotion is accepted whatever records are beside it", () => {
    const oddField = fc.tuple(
        fc.constantFrom(...Object.keys(promotion)),
        fc.oneof(fc.jsonValue(), fc.constantFrom<unknown>(-1, 0.5, 1e300, "__proto__", nested)),
    ).map(([name, value]) => ({ ...promotion, id: "odd", digest: "none", [name]: value }));
    const odd = fc.oneof(fc.jsonValue(), oddField, fc.constant({ ...promotion, document: nested }));
    fc.assert(
        fc.property(fc.array(odd, { maxLength: 4 }), data => {
            const records = [...data, promotion].map((item, index) => createRecord(index, item));
            const batch = { from: 0, records, next: records.length, oldest: 0 };
            return foldBatch(createFoldState("production"), batch).revision === 1;
        }),
        settings,
    );
});
