import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    applyQuarantineRecords,
    createQuarantine,
    findQuarantinedParts,
    getRecordKey,
    isAnswerTelling,
    isWronglyReported,
    type KeyedRecord,
    type LostRequest,
    type QuarantineRecord,
    type QuarantineState,
} from "../quarantine.js";

const dead = "dead";
let ownParts = 0;

/** Creates a request that was lost with its upstream; its last part differs from that of all others. */
function createLost(parts: string[], knownCrashes: string[] = []): LostRequest {
    ownParts += 1;
    return { id: `r${ownParts}`, parts, ownPart: `own${ownParts}`, knownCrashes };
}

interface CrashOptions {
    answeredParts?: string[];
    isExperienced?: boolean;
}

function createCrash(upstream: string, requests: LostRequest[], options: CrashOptions = {}): QuarantineRecord {
    const { answeredParts = [], isExperienced = true } = options;
    return { kind: "crash", upstream, requests, answeredParts, isExperienced };
}

/** Applies records in the order of the log. */
function applyAll(records: QuarantineRecord[], state = createQuarantine(), now = 0): QuarantineState {
    const firstOffset = state.records.size;
    const keyed = records.map((record, index): KeyedRecord => ({
        key: getRecordKey(record, `entry-${index}`),
        offset: firstOffset + index,
        value: JSON.stringify(record),
    }));
    applyQuarantineRecords(state, keyed, now);
    return state;
}

const listQuarantined = ({ quarantined }: QuarantineState) => quarantined.map(({ parts }) => parts.join(" "));

describe("the quarantine of a part under which upstreams crash", () => {
    test.each<[string, QuarantineRecord[], string[]]>([
        [
            "three crashes under three requests",
            ["u1", "u2", "u3"].map(upstream =>
                createCrash(upstream, [createLost(["a", dead])], { answeredParts: ["a"] })
            ),
            [dead],
        ],
        [
            "the part is in first place, and the others vary",
            ["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost([dead, `m-${upstream}`])])),
            [dead],
        ],
        [
            "other requests are lost with the upstreams",
            ["u1", "u2", "u3"].map(upstream =>
                createCrash(upstream, [createLost(["a", dead]), createLost(["a", "s"]), createLost(["b"])], {
                    answeredParts: ["a", "b"],
                })
            ).concat(createCrash("u4", [createLost(["a", dead])])),
            [dead],
        ],
        [
            "two parts always come together: only requests with both are rejected",
            ["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost(["n", dead])])),
            ["dead n"],
        ],
        [
            "two crashes",
            ["u1", "u2"].map(upstream => createCrash(upstream, [createLost(["a", dead])])),
            [],
        ],
        [
            "two crashes under one request and its repeat",
            ["u1", "u2"].map(upstream => createCrash(upstream, [{ ...createLost(["a", dead]), ownPart: "same" }])),
            [],
        ],
        [
            "three crashes under one request and its repeats: only requests with all of its shared parts are rejected",
            ["u1", "u2", "u3"].map(upstream =>
                createCrash(upstream, [{ ...createLost(["a", dead]), ownPart: "same" }])
            ),
            ["a dead"],
        ],
        [
            "three crashes under requests with the same last part",
            ["u1", "u2", "u3"].map((upstream, index) =>
                createCrash(upstream, [{ ...createLost([`m${index}`, dead]), ownPart: "same" }])
            ),
            [dead],
        ],
        [
            "many crashes at once under requests with a usual part",
            ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"].map(upstream =>
                createCrash(upstream, [createLost(["a"])], { answeredParts: ["a"] })
            ),
            [],
        ],
        [
            "many crashes at once, reported by entries that have just started",
            ["u1", "u2", "u3", "u4"].map(upstream =>
                createCrash(upstream, [createLost(["a"])], { isExperienced: false })
            ),
            [],
        ],
        [
            "entries that have just started, and a crash under a request sent later",
            ["u1", "u2", "u3"].map((upstream, index) =>
                createCrash(upstream, [createLost(["a", dead], index === 2 ? ["u1"] : [])], {
                    answeredParts: ["a"],
                    isExperienced: false,
                })
            ),
            [dead],
        ],
        [
            "a part that was answered once, and then crashes one upstream after the other",
            ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"].map((upstream, index, all) =>
                createCrash(upstream, [createLost(["a", dead], all.slice(0, index))], { answeredParts: [dead] })
            ).concat({ kind: "answered", part: "a", request: "r" }),
            [dead],
        ],
        [
            "a part that was answered until it crashes, beside parts that are new in some of the crashes",
            ["u1", "u2", "u3", "u4"].map((upstream, index, all) =>
                createCrash(upstream, [
                    createLost([dead], all.slice(0, index)),
                    createLost([index < 2 ? "n0" : "n1"], all.slice(0, index)),
                    createLost(["n2"].slice(index % 2), all.slice(0, index)),
                ], { answeredParts: [dead] })
            ),
            [dead],
        ],
        [
            "a part that was answered before, in four crashes at once",
            ["u1", "u2", "u3", "u4"].map(upstream =>
                createCrash(upstream, ["s1", "s2", dead].map(part => createLost([part])), {
                    answeredParts: [dead, "s1", "s2"],
                })
            ),
            [],
        ],
        [
            "two parts in as many lost requests of the same crashes",
            ["u1", "u2", "u3", "u4"].map((upstream, index, all) =>
                createCrash(upstream, ["s1", "s2", dead].map(part => createLost([part], all.slice(0, index))))
            ),
            [],
        ],
        [
            "a usual part in the same crashes",
            ["u1", "u2", "u3", "u4"].map((upstream, index, all) =>
                createCrash(upstream, [
                    createLost([dead], all.slice(0, index)),
                    createLost(["usual"], all.slice(0, index)),
                    createLost(["usual"], all.slice(0, index)),
                ])
            ),
            [dead],
        ],
        [
            "crashes of other causes under a usual part, and then crashes under a part that comes with it",
            [
                createCrash("other1", [createLost(["a", "s1"])], { isExperienced: false }),
                createCrash("other2", [createLost(["a", "s2"])], { isExperienced: false, answeredParts: ["a", "s2"] }),
                ...["u1", "u2", "u3"].map((upstream, index) =>
                    createCrash(upstream, [
                        createLost(["a", dead], ["other1", "other2"]),
                        createLost(["a", `s${index + 3}`], ["other1", "other2"]),
                    ], { isExperienced: false, answeredParts: ["a", `s${index + 3}`] })
                ),
            ],
            [],
        ],
        [
            "the same, and one more crash under a request sent later",
            [
                createCrash("other1", [createLost(["a", "s1"])], { isExperienced: false }),
                createCrash("other2", [createLost(["a", "s2"])], { isExperienced: false, answeredParts: ["a", "s2"] }),
                ...["u1", "u2", "u3", "u4"].map((upstream, index) =>
                    createCrash(upstream, [createLost(["a", dead], index === 3 ? ["other1", "u1"] : ["other1"])], {
                        isExperienced: false,
                        answeredParts: ["a"],
                    })
                ),
            ],
            [dead],
        ],
        [
            "crashes of other causes before any request was answered",
            ["u1", "u2", "u3", "u4"].map((upstream, index, all) =>
                createCrash(upstream, [createLost(["a", `s${index}`], all.slice(0, index))], { isExperienced: false })
            ),
            [],
        ],
        [
            "a part that is answered between the crashes",
            ["u1", "u2", "u3", "u4", "u5", "u6"].flatMap((upstream, index, all): QuarantineRecord[] => [
                createCrash(upstream, [createLost(["a"], all.slice(0, index))]),
                { kind: "answered", part: "a", request: "r" },
            ]),
            [],
        ],
        [
            "upstreams that turn out to be alive",
            ["u1", "u2", "u3"].flatMap((upstream): QuarantineRecord[] => [
                createCrash(upstream, [createLost([dead])]),
                { kind: "alive", upstream, request: "r" },
            ]),
            [],
        ],
    ])("%s", (title, records, expected) => {
        expect(listQuarantined(applyAll(records))).toEqual(expected);
    });

    test("rejects a request whatever else its prompt holds, and no request without the part", () => {
        const state = applyAll(
            ["u1", "u2", "u3"].map(upstream =>
                createCrash(upstream, [{ ...createLost(["a", dead]), id: `under-${upstream}` }], {
                    answeredParts: ["a"],
                })
            ),
        );
        expect(findQuarantinedParts(state, ["x", dead, "y"])).toMatchInlineSnapshot(`
          {
            "parts": [
              "dead",
            ],
            "requests": [
              "under-u1",
              "under-u2",
              "under-u3",
            ],
            "upstreams": [
              "u1",
              "u2",
              "u3",
            ],
          }
        `);
        expect(findQuarantinedParts(state, ["a", "x"])).toBeUndefined();
    });

    test("ends once the part is answered", () => {
        const state = applyAll(["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost([dead])])));
        expect(listQuarantined(state)).toEqual([dead]);
        applyAll([{ kind: "answered", part: dead, request: "r" }], state);
        expect(listQuarantined(state)).toEqual([]);
    });

    test("survives hundreds of later crashes of other causes, within bounded records", () => {
        const state = applyAll(["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost([dead])])));
        for (let index = 0; index < 600; index++) {
            const record = createCrash(`other-${index}`, [createLost([`s${index}`])]);
            const keyed = { key: getRecordKey(record, "e"), offset: 100 + index, value: JSON.stringify(record) };
            applyQuarantineRecords(state, [keyed], 0);
        }
        expect(listQuarantined(state)).toEqual([dead]);
        expect(state.records.size).toBe(256);
    });

    test("is the same in any order and grouping in which the records arrive", () => {
        const parts = fc.constantFrom("a", "b", "c", dead);
        const request = fc.record({
            id: fc.string(),
            parts: fc.uniqueArray(parts, { minLength: 1, maxLength: 3 }),
            ownPart: fc.string({ minLength: 1 }),
            knownCrashes: fc.array(fc.constantFrom("u1", "u2"), { maxLength: 2 }),
        });
        const upstream = fc.constantFrom("u1", "u2", "u3", "u4", "u5", "u6");
        const record: fc.Arbitrary<QuarantineRecord> = fc.oneof(
            {
                weight: 6,
                arbitrary: fc.record({
                    kind: fc.constant("crash" as const),
                    upstream,
                    requests: fc.array(request, { minLength: 1, maxLength: 3 }),
                    answeredParts: fc.uniqueArray(parts, { maxLength: 1 }),
                    isExperienced: fc.boolean(),
                }),
            },
            {
                weight: 1,
                arbitrary: fc.record({ kind: fc.constant("answered" as const), part: parts, request: fc.string() }),
            },
            {
                weight: 1,
                arbitrary: fc.record({ kind: fc.constant("alive" as const), upstream, request: fc.string() }),
            },
        );
        const schedule = fc.array(record, { minLength: 3, maxLength: 14 }).chain(records => {
            const keyed = records.map((content, offset): KeyedRecord => ({
                key: getRecordKey(content, `e${offset % 3}`),
                offset,
                value: JSON.stringify(content),
            }));
            return fc.tuple(fc.constant(keyed), fc.shuffledSubarray(keyed, { minLength: keyed.length }));
        });
        fc.assert(
            fc.property(schedule, ([inOrder, shuffled]) => {
                const [whole, single] = [createQuarantine(), createQuarantine()];
                applyQuarantineRecords(whole, inOrder, 0);
                shuffled.forEach(keyed => applyQuarantineRecords(single, [keyed], 0));
                expect(listQuarantined(single)).toEqual(listQuarantined(whole));
                // A part that was answered after all crashes is never blamed.
                const last = inOrder.at(-1)!;
                if (last.key.startsWith("answered/")) {
                    expect(whole.quarantined.flatMap(entry => entry.parts)).not.toContain(last.key.split("/")[1]);
                }
            }),
            { seed: 25, numRuns: 2000 },
        );
    });
});

describe("responses that tell something", () => {
    const crashes = ["u1", "u2"].map(upstream => createCrash(upstream, [createLost(["a"])]));

    test("of a part with two crashes, begun after the last one was known", () => {
        const state = applyAll(crashes, createQuarantine(), 100);
        expect([100, 101].map(beganAt => isAnswerTelling(state, "a", beganAt))).toEqual([false, true]);
        expect(isAnswerTelling(state, "b", 101)).toBe(false);
        applyAll([{ kind: "answered", part: "a", request: "r" }], state, 110);
        expect(isAnswerTelling(state, "a", 120)).toBe(false);
    });

    test("of an upstream reported as crashed, on a connection from before the report", () => {
        const state = applyAll(crashes, createQuarantine(), 100);
        expect(isWronglyReported(state, "u1", 90, 120)).toBe(true);
        expect(isWronglyReported(state, "u1", 110, 120)).toBe(false);
        expect(isWronglyReported(state, "u3", 90, 120)).toBe(false);
    });
});
