import { describe, expect, it } from "vitest";
import { createDemoDocument } from "../../demo/document.js";
import { computeDigest } from "../digest.js";
import { createRevisionState, handleRevisionEvent, planSnapshot, type RevisionEvent } from "../revision.js";

const good = createDemoDocument();
const laterVersion = { ...good, fieldOfALaterVersion: true };

function createLogEvent(offset: number, documents: unknown[], base: number, baseDigest: string): RevisionEvent {
    const data = documents.map((document, index) => ({
        kind: "promote",
        id: `p${offset + index}`,
        environment: "production",
        base: base + index,
        baseDigest: index === 0 ? baseDigest : computeDigest(documents[index - 1]),
        author: "a",
        digest: computeDigest(document),
        document,
    }));
    const records = data.map((item, index) => ({ offset: offset + index, id: item.id, time: 0, data: item }));
    return { kind: "log", batch: { records, oldest: 0, next: offset + data.length }, atEnd: false };
}

function createPeerEvent(revision: number, document: unknown = good): RevisionEvent {
    return { kind: "peer", candidate: { revision, digest: computeDigest(document), author: "a", document } };
}

const logEnd: RevisionEvent = { kind: "log", batch: { records: [], oldest: 0, next: 0 }, atEnd: true };
const polled = (responses: number, newest: number): RevisionEvent => ({ kind: "peersPolled", responses, newest });

function run(events: [number, RevisionEvent][]): string[] {
    const state = createRevisionState("production", 0);
    return events.map(([now, event]) => {
        const actions = handleRevisionEvent(state, event, now).map(action => action.kind).join(" ");
        return `${actions || "nothing"}, in force ${state.activeConfig.revision}, ready ${state.ready}`;
    });
}

describe("spread", () => {
    it.each<[string, [number, RevisionEvent][], string[]]>([
        ["the log's end makes ready", [[0, createLogEvent(0, [good], 0, "")], [1, logEnd]], [
            "inForce, in force 1, ready false",
            "ready, in force 1, ready true",
        ]],
        ["a lower revision of a peer changes nothing", [[0, createPeerEvent(5)], [1, createPeerEvent(4)]], [
            "inForce, in force 5, ready false",
            "nothing, in force 5, ready false",
        ]],
        ["the log behind a peer changes nothing", [[0, createPeerEvent(5)], [1, createLogEvent(0, [good], 0, "")]], [
            "inForce, in force 5, ready false",
            "nothing, in force 5, ready false",
        ]],
        ["a document of a later version is refused, the previous stays", [
            [0, createLogEvent(0, [good, laterVersion], 0, "")],
            [1, createLogEvent(2, [good], 2, computeDigest(laterVersion))],
        ], ["refused inForce, in force 1, ready false", "inForce, in force 3, ready false"]],
        ["the log down and peers answer", [
            [0, createPeerEvent(5)],
            [2999, polled(2, 5)],
            [3000, polled(0, 0)],
            [3000, polled(2, 6)],
            [3001, polled(2, 5)],
        ], [
            "inForce, in force 5, ready false",
            "nothing, in force 5, ready false",
            "nothing, in force 5, ready false",
            "nothing, in force 5, ready false",
            "ready, in force 5, ready true",
        ]],
        ["the log down and peers know nothing", [[9000, polled(3, 0)]], ["nothing, in force 0, ready false"]],
        [
            "two documents at one revision are reported",
            [[0, createPeerEvent(5)], [1, createPeerEvent(5, laterVersion)]],
            [
                "inForce, in force 5, ready false",
                "conflict, in force 5, ready false",
            ],
        ],
        ["a forged digest is ignored", [[0, {
            kind: "peer",
            candidate: { revision: 9, digest: "x", author: "a", document: good },
        }]], ["nothing, in force 0, ready false"]],
    ])("%s", (name, events, expected) => {
        expect(run(events)).toEqual(expected);
    });

    it("keeps folding revisions that it cannot use", () => {
        const state = createRevisionState("production", 0);
        handleRevisionEvent(state, createLogEvent(0, [good, laterVersion], 0, ""), 0);
        expect([state.activeConfig.revision, state.newest.revision, state.refused?.revision]).toEqual([1, 2, 2]);
    });

    it("plans snapshots by rank, and none without an anchored revision", () => {
        const state = createRevisionState("production", 0);
        expect(planSnapshot(state, 0, 0)).toBeUndefined();
        handleRevisionEvent(state, createLogEvent(0, [good], 0, ""), 0);
        expect([planSnapshot(state, 0, 0), planSnapshot(state, 2, 0.5)]).toEqual([600_000, 611_000]);
        state.fold.isComplete = false;
        expect(planSnapshot(state, 0, 0)).toBeUndefined();
    });
});
