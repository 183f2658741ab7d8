import { describe, expect, it } from "vitest";
import { exploreSchedules, type FoldDecisions, runSchedule } from "../../bench/explore-config.js";
import { computeDigest } from "../digest.js";
import {
    createFoldState,
    createSnapshot,
    decidePromotion,
    foldBatch,
    type FoldState,
    type ReadBatch,
} from "../fold.js";
import type { PromoteRecord, SnapshotRecord } from "../records.js";

function createPromotion(id: string, base: number, baseDigest: string): PromoteRecord {
    const document = { name: id };
    const digest = computeDigest(document);
    return { kind: "promote", id, environment: "production", base, baseDigest, author: id, digest, document };
}

function read(state: FoldState, from: number, data: unknown[], oldest = 0): FoldState {
    const records = data.map((item, index) => ({ offset: from + index, id: `${index}`, time: index, data: item }));
    return foldBatch(state, { records, oldest, next: from + data.length });
}

const a = createPromotion("a", 0, "");
const b = createPromotion("b", 0, "");
const c = createPromotion("c", 1, a.digest);
const d = createPromotion("d", 1, a.digest);
const right: FoldDecisions = { fold: foldBatch, snapshot: createSnapshot, decide: decidePromotion };
const mapSnapshots = (batch: ReadBatch, change: (snapshot: SnapshotRecord, offset: number) => object): ReadBatch => ({
    ...batch,
    records: batch.records.map(record => {
        const data = record.data as SnapshotRecord;
        return data.kind === "snapshot" ? { ...record, data: { ...data, ...change(data, record.offset) } } : record;
    }),
});

describe("fold", () => {
    it("lets one of two racing promotions win and tells the other which revision beat it", () => {
        const state = read(createFoldState("production"), 0, [a, b, a]);
        expect([a, b, c].map(promotion => decidePromotion(state, promotion))).toMatchInlineSnapshot(`
          [
            {
              "accepted": true,
              "revision": 1,
            },
            {
              "accepted": false,
              "author": "a",
              "reason": "made from revision 0, which revision 1 by a has replaced",
              "revision": 1,
            },
            undefined,
          ]
        `);
    });

    const atOne = createSnapshot(read(createFoldState("production"), 0, [a]))!;
    const atTwo = createSnapshot(read(createFoldState("production"), 0, [a, c]))!;
    it.each([
        ["a snapshot without a later promotion", 1, [atOne], { anchored: true, revision: 1 }],
        ["a stale snapshot after the promotion that it missed", 1, [c, atOne], { anchored: false, revision: 1 }],
        ["a stale snapshot, then a loser", 2, [atOne, d], { anchored: false, revision: 1 }],
        ["a snapshot, then the next promotion", 1, [atOne, c], { anchored: true, revision: 2 }],
        ["a later snapshot, then a stale one", 2, [atTwo, atOne], { anchored: true, revision: 2 }],
        ["only promotions", 1, [c, d], { anchored: false, revision: 0 }],
    ])("reads a truncated stream: %s", (name, from, data, expected) => {
        const { isComplete: anchored, revision } = read(createFoldState("production"), from, data, from);
        expect({ anchored, revision }).toEqual(expected);
    });

    it.each([
        ["a digest that does not match", { ...a, digest: "x" }],
        ["a base of another digest", { ...a, baseDigest: "x" }],
        ["an unknown kind", { ...a, kind: "later" }],
        ["another environment", { ...a, environment: "trial" }],
        ["no record at all", "x"],
    ])("ignores a promotion with %s", (name, record) => {
        expect(read(createFoldState("production"), 0, [record]).revision).toBe(0);
    });

    it("keeps its revision and judges nothing after it missed records", () => {
        const state = read(createFoldState("production"), 0, [a]);
        read(state, 9, [c], 9);
        expect([state.revision, state.isComplete, decidePromotion(state, c)]).toEqual([1, false, undefined]);
    });

    it("keeps every invariant in 2,000 schedules", async () => {
        expect((await exploreSchedules(2000, 1)).failures).toEqual([]);
    });

    it.each<[string, Partial<FoldDecisions>]>([
        ["overtaken snapshots anchor", {
            fold: (state, batch) => foldBatch(state, mapSnapshots(batch, (s, through) => ({ through }))),
        }],
        ["a truncated reader judges", {
            fold: (state, batch) => Object.assign(foldBatch(state, batch), { anchored: true }),
        }],
        ["a reader that missed records writes snapshots", {
            snapshot: state => createSnapshot({ ...state, isComplete: true }),
        }],
        ["a snapshot replaces whatever is in force", {
            fold: (state, batch) => {
                const snapshot = batch.records.some(record => (record.data as SnapshotRecord).kind === "snapshot");
                return foldBatch(snapshot ? Object.assign(state, { anchored: false, revision: 0 }) : state, batch);
            },
        }],
        ["records missed before a snapshot do not count", {
            fold: (state, batch) => {
                foldBatch(state, { ...batch, records: [] });
                return foldBatch(Object.assign(state, { coveredFrom: 0 }), batch);
            },
        }],
        ["snapshots carry no history", {
            fold: (state, batch) => foldBatch(state, mapSnapshots(batch, s => ({ history: s.history.slice(0, 1) }))),
        }],
        ["a loser is told the newest revision", {
            decide: (state, promotion) => {
                const verdict = decidePromotion(state, promotion);
                return verdict?.accepted === false ? { ...verdict, revision: state.revision } : verdict;
            },
        }],
        ["a repeat is judged anew", {
            decide: (state, promotion) => decidePromotion(state, { ...promotion, id: "other" }),
        }],
    ])("catches the wrong variant: %s", (name, wrong) => {
        const seeds = Array.from({ length: 2000 }, (item, index) => index + 1);
        expect(seeds.some(seed => runSchedule(seed, { ...right, ...wrong }) !== undefined)).toBe(true);
    });
});
