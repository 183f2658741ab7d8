import { describe, expect, test } from "vitest";
import { createLogPosition } from "../logPosition.js";
import {
    applyDocumentRecords,
    applyListRecords,
    applyQuarantineBatch,
    createMirror,
    expiryGraceMs,
    listRecordsSince,
    listUpstreams,
    type MirrorDecoders,
    type MirrorRecord,
    recordLogFailure,
    removeExpiredUpstreams,
    replaceList,
} from "../mirror.js";

interface Document {
    revision: number;
}

const decoders: MirrorDecoders<Document> = {
    decodeDocument: text => text.startsWith("{") ? JSON.parse(text) as Document : undefined,
    getRevision: ({ revision }) => revision,
    decodeUpstream: (id, text) => {
        const [host, state, startedAt] = text.split(" ");
        return host === "?" ? undefined : {
            id,
            pool: "p",
            host,
            port: 1,
            dataCentre: "a",
            isLeaving: state === "leaving",
            startedAt: startedAt === undefined ? undefined : Number(startedAt),
        };
    },
};

const record = (key: string, offset: number, value?: string): MirrorRecord => ({ key, offset, value });

function playList(steps: ((mirror: ReturnType<typeof createMirror<Document>>) => void)[]): string[] {
    const mirror = createMirror<Document>();
    return steps.map(step => {
        step(mirror);
        return listUpstreams(mirror).map(({ id, isLeaving }) => `${id}${isLeaving ? " leaving" : ""}`).join(", ");
    });
}

describe("the list", () => {
    test("takes the newest record of each key, in any order and more than once", () => {
        const seen = playList([
            m => applyListRecords(m, [record("a", 3, "h1 leaving"), record("b", 2, "h2 live")], 4, decoders, 0),
            m => applyListRecords(m, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 3, decoders, 0),
            m => applyListRecords(m, [record("a", 4)], 5, decoders, 0),
            m => applyListRecords(m, [record("c", 5, "? live")], 6, decoders, 0),
        ]);
        expect(seen).toMatchInlineSnapshot(`
          [
            "a leaving, b",
            "a leaving, b",
            "b",
            "b",
          ]
        `);
    });

    test("keeps what lapses while the log is away until its grace has passed", () => {
        const seen = playList([
            m => applyListRecords(m, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 3, decoders, 0),
            m => recordLogFailure(m, 1000),
            m => applyListRecords(m, [record("a", 3), record("b", 4)], 5, decoders, 1100),
            m => applyListRecords(m, [record("a", 5, "h1 live")], 6, decoders, 2000),
            m => removeExpiredUpstreams(m, 1000 + expiryGraceMs - 1),
            m => removeExpiredUpstreams(m, 1000 + expiryGraceMs),
        ]);
        expect(seen).toMatchInlineSnapshot(`
          [
            "a, b",
            "a, b",
            "a, b",
            "a, b",
            "a, b",
            "a",
          ]
        `);
    });

    test("lets go at once of what lapses in calm, or was leaving before", () => {
        const seen = playList([
            m => applyListRecords(m, [record("a", 1, "h1 live"), record("b", 2, "h2 leaving")], 3, decoders, 0),
            m => recordLogFailure(m, 1000),
            m => applyListRecords(m, [record("b", 3)], 4, decoders, 1100),
            m => applyListRecords(m, [record("a", 4)], 5, decoders, 1000 + expiryGraceMs),
        ]);
        expect(seen).toMatchInlineSnapshot(`
          [
            "a, b leaving",
            "a, b leaving",
            "a",
            "",
          ]
        `);
    });

    test("drops the keys that a full listing lacks, but not newer ones", () => {
        const seen = playList([
            m => applyListRecords(
                m,
                [record("a", 1, "h1 live"), record("b", 2, "h2 live"), record("c", 9, "h3 live")],
                10,
                decoders,
                0,
            ),
            m => replaceList(m, [record("b", 2, "h2 live")], 5, decoders, 0),
        ]);
        expect(seen).toEqual(["a, b, c", "b, c"]);
    });

    test("names one upstream an address: the one that was started last", () => {
        const seen = playList([
            m => applyListRecords(
                m,
                [record("old", 9, "h1 live 100"), record("new", 5, "h1 live 200")],
                10,
                decoders,
                0,
            ),
            m => applyListRecords(m, [record("x", 11, "h2 live"), record("y", 12, "h2 live")], 13, decoders, 0),
        ]);
        expect(seen).toEqual(["new", "new, y"]);
    });
});

test("the grace period of an upstream ends with that of the peer that hands over its tombstone", () => {
    const sender = createMirror<Document>();
    const receiver = createMirror<Document>();
    const live = [record("a", 1, "h1 live"), record("b", 2, "h2 live")];
    [sender, receiver].forEach(mirror => applyListRecords(mirror, live, 3, decoders, 0));
    recordLogFailure(sender, 1000);
    applyListRecords(sender, [record("a", 4)], 5, decoders, 1100);
    const [tombstone] = listRecordsSince(sender, 0, 4, 1200).list;
    applyListRecords(receiver, [tombstone], 5, decoders, 1250);
    recordLogFailure(receiver, 3000);
    const listAt = (now: number) => {
        removeExpiredUpstreams(receiver, now);
        return listUpstreams(receiver).map(({ id }) => id);
    };
    expect(tombstone.graceMs).toBe(2100);
    expect([3349, 3350].map(listAt)).toEqual([["a", "b"], ["b"]]);
    // The same record from the log is not newer.
    applyListRecords(receiver, [record("a", 4)], 5, decoders, 3400);
    expect(listAt(3400)).toEqual(["b"]);
});

test("a peer that began with a snapshot hands over that an upstream has gone before it", () => {
    const restarted = createMirror<Document>();
    const receiver = createMirror<Document>();
    applyListRecords(receiver, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 3, decoders, 0);
    // The log continues with a tombstone of "a" at offset 3, which a snapshot does not show.
    replaceList(restarted, [record("b", 2, "h2 live")], 4, decoders, 0);
    const { list, isListComplete } = listRecordsSince(restarted, 0, 3, 0);
    const apply = isListComplete ? replaceList : applyListRecords;
    apply(receiver, list, restarted.listEnd, decoders, 0);
    expect(listUpstreams(receiver).map(({ id }) => id)).toEqual(["b"]);
});

// Guards against requests to an upstream that is gone (DRAIN): the peer's tombstone is older than the record it deletes.
test("a peer that began with a snapshot hands over that an upstream which it knew before has gone", () => {
    const cutOff = createMirror<Document>();
    const receiver = createMirror<Document>();
    const live = [record("a", 1, "h1 live"), record("b", 2, "h2 live")];
    [cutOff, receiver].forEach(mirror => applyListRecords(mirror, live, 3, decoders, 0));
    // The log continues with "a" written again at 3 and its tombstone at 4; the peer reads a snapshot behind them.
    replaceList(cutOff, [record("b", 2, "h2 live")], 5, decoders, 0);
    applyListRecords(receiver, [record("a", 3, "h1 live")], 4, decoders, 0);
    const { list, isListComplete } = listRecordsSince(cutOff, 0, 4, 0);
    replaceList(receiver, list, cutOff.listEnd, decoders, 0);
    expect([isListComplete, listUpstreams(receiver).map(({ id }) => id)]).toEqual([true, ["b"]]);
});

// Guards against requests to an upstream that is gone (DRAIN): a read that began before a hand-over ends after it.
test.each([
    ["snapshot", replaceList],
    ["records", applyListRecords],
])("%s of the log that arrive late do not bring back what a newer snapshot lacked", (name, apply) => {
    const mirror = createMirror<Document>();
    replaceList(mirror, [record("b", 2, "h2 live")], 6, decoders, 0);
    apply(mirror, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 4, decoders, 0);
    expect(listUpstreams(mirror).map(({ id }) => id)).toEqual(["b"]);
});

test("a snapshot of the log that is newer than the last one is taken as it is", () => {
    const mirror = createMirror<Document>();
    replaceList(mirror, [record("b", 2, "h2 live")], 4, decoders, 0);
    replaceList(mirror, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 6, decoders, 0);
    expect(listUpstreams(mirror).map(({ id }) => id)).toEqual(["b", "a"]);
});

describe("records of a peer that has not read the end of an upstream", () => {
    const live = [record("a", 1, "h1 live"), record("b", 2, "h2 live")];

    test.each([
        ["which is not known", []],
        ["which was known before", live],
        ["which was written again meanwhile", [record("a", 0, "h1 live")]],
    ])("do not bring back what a snapshot lacked, %s", (name, known) => {
        const mirror = createMirror<Document>();
        applyListRecords(mirror, known, 3, decoders, 0);
        replaceList(mirror, [record("b", 2, "h2 live")], 4, decoders, expiryGraceMs);
        applyListRecords(mirror, live, 3, decoders, expiryGraceMs);
        expect(listUpstreams(mirror).map(({ id }) => id)).toEqual(["b"]);
    });

    test("keep what the snapshot held, also as a whole list", () => {
        const mirror = createMirror<Document>();
        replaceList(mirror, live, 4, decoders, 0);
        const handedOver = [...live, record("c", 5, "h3 live")];
        replaceList(mirror, handedOver, 6, decoders, 0);
        expect(listUpstreams(mirror).map(({ id }) => id)).toEqual(["a", "b", "c"]);
    });
});

describe("the quarantine", () => {
    const createMirrorAt = (end: number, records: MirrorRecord[]) => {
        const mirror = createMirror<Document>();
        applyQuarantineBatch(mirror, records, end, true);
        return mirror;
    };
    const getKeys = ({ quarantineRecords }: ReturnType<typeof createMirror>) =>
        [...quarantineRecords.values()].filter(({ value }) => value !== undefined).map(({ key }) => key).sort();
    const reports = [record("a", 1, "report"), record("b", 2, "report")];

    // Guards against sound requests that are rejected for good: a peer has not read that the operators lifted a quarantine.
    test.each<[string, MirrorRecord[], boolean]>([
        ["records of a peer", reports, false],
        ["a late snapshot", reports, true],
        ["a record that was written again meanwhile", [record("a", 3, "report")], false],
    ])("does not take back what a snapshot lacked, %s", (name, records, isComplete) => {
        const mirror = createMirrorAt(3, reports);
        // The log continues with "a" written again at 3 and its tombstone at 4.
        applyQuarantineBatch(mirror, [record("b", 2, "report")], 5, true);
        const late = applyQuarantineBatch(mirror, records, 4, isComplete);
        const empty = createMirrorAt(5, [record("b", 2, "report")]);
        applyQuarantineBatch(empty, records, 4, isComplete);
        expect([getKeys(mirror), late.changes, getKeys(empty)]).toEqual([["b"], [], ["b"]]);
    });

    test("does not take back what it has dropped beyond its maximum", () => {
        const mirror = createMirror<Document>();
        applyQuarantineBatch(mirror, [record("a", 0, "report"), record("a", 1)], 2, false);
        const others = Array.from({ length: 1024 }, (ignored, index) => record(`b${index}`, 2 + index, "report"));
        applyQuarantineBatch(mirror, others, 1026, false);
        expect(applyQuarantineBatch(mirror, [record("a", 0, "report")], 1, false).changes).toEqual([]);
    });

    test("takes what a newer snapshot holds", () => {
        const mirror = createMirrorAt(3, [record("b", 2, "report")]);
        applyQuarantineBatch(mirror, reports, 5, true);
        expect(getKeys(mirror)).toEqual(["a", "b"]);
    });
});

test("an upstream that left takes the position at which the log of a new era says so too", () => {
    const mirror = createMirror<Document>();
    const position = createLogPosition(1, 1);
    applyListRecords(mirror, [record("a", 2, "h1 leaving")], 3, decoders, 0);
    replaceList(mirror, [record("a", position, "h1 leaving")], position + 1, decoders, 0);
    expect(listRecordsSince(mirror, 0, createLogPosition(1, 0), 0).list.map(({ offset }) => offset)).toEqual([
        position,
    ]);
});

test("an upstream that one copy of the log lacked is back once the log of the next era has it again", () => {
    const mirror = createMirror<Document>();
    const getIds = () => listUpstreams(mirror).map(({ id }) => id);
    const ends = [1, 2].map(era => createLogPosition(era, 2));
    applyListRecords(mirror, [record("a", 1, "h1 live"), record("b", 2, "h2 live")], 3, decoders, 0);
    replaceList(mirror, [record("b", ends[0] - 1, "h2 live")], ends[0], decoders, 0);
    removeExpiredUpstreams(mirror, expiryGraceMs);
    const idsBefore = getIds();
    replaceList(
        mirror,
        [record("b", ends[1] - 2, "h2 live"), record("a", ends[1] - 1, "h1 live")],
        ends[1],
        decoders,
        5000,
    );
    expect([idsBefore, getIds()]).toEqual([["b"], ["a", "b"]]);
});

test("a tombstone stays older than the next record however often snapshots lack its key", () => {
    const mirror = createMirror<Document>();
    applyListRecords(mirror, [record("a", 1, "h1 live")], 2, decoders, 0);
    [3, 4, 5].forEach(end => replaceList(mirror, [], end, decoders, 0));
    const [{ offset }] = listRecordsSince(mirror, 0, 0, 0).list;
    applyListRecords(mirror, [record("a", 5, "h1 leaving")], 6, decoders, 0);
    expect([offset, listUpstreams(mirror).map(({ id }) => id)]).toEqual([1.5, ["a"]]);
});

describe("the document", () => {
    test("never goes back", () => {
        const mirror = createMirror<Document>();
        const apply = (offset: number, value: string) => {
            applyDocumentRecords(mirror, [record("config", offset, value)], offset + 1, decoders);
            return mirror.document?.revision;
        };
        expect([
            apply(5, "{\"revision\":7}"),
            apply(4, "{\"revision\":9}"),
            apply(6, "unreadable"),
            apply(7, "{\"revision\":3}"),
            apply(8, "{\"revision\":8}"),
        ]).toEqual([7, 7, 7, 7, 8]);
    });

    test("is handed over to peers that lack it", () => {
        const mirror = createMirror<Document>();
        applyDocumentRecords(mirror, [record("config", 5, "{\"revision\":7}")], 6, decoders);
        applyListRecords(mirror, [record("a", 1, "h1 live"), record("b", 4)], 5, decoders, 0);
        expect([listRecordsSince(mirror, 0, 2, 0), listRecordsSince(mirror, 6, 5, 0)]).toMatchInlineSnapshot(`
          [
            {
              "documents": [
                {
                  "key": "config",
                  "offset": 5,
                  "value": "{"revision":7}",
                },
              ],
              "isListComplete": false,
              "list": [
                {
                  "graceMs": 0,
                  "key": "b",
                  "offset": 4,
                  "value": undefined,
                },
              ],
            },
            {
              "documents": [],
              "isListComplete": false,
              "list": [],
            },
          ]
        `);
    });
});
