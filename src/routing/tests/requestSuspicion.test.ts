import { describe, expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import {
    applyQuarantineRecords,
    computeRequestDeferralMs,
    createQuarantine,
    formatRequestPart,
    getRecordKey,
    isRequestAnswerTelling,
    type LostRequest,
    type QuarantineRecord,
    type QuarantineState,
} from "../quarantine.js";

const dead = "dead";
let lastId = 0;

function createLost(digest: string, knownCrashes: string[] = [], parts: string[] = []): LostRequest {
    lastId += 1;
    return { id: `r${lastId}`, digest, parts, ownPart: "own", knownCrashes };
}

function createCrash(upstream: string, requests: LostRequest[], answeredDigests: string[] = []): QuarantineRecord {
    return { kind: "crash", upstream, requests, answeredParts: [], answeredDigests, isExperienced: true };
}

/** Applies records in the order of the log, all learned of at time 0. */
function applyAll(records: QuarantineRecord[]): QuarantineState {
    const state = createQuarantine();
    const keyed = records.map((record, index) => ({
        key: getRecordKey(record, `entry-${index}`),
        offset: index,
        value: JSON.stringify(record),
    }));
    applyQuarantineRecords(state, keyed, 0);
    return state;
}

/** Describes what is quarantined, and for how long a request is deferred before and after it has run once. */
function describeState(state: QuarantineState, digest = dead): string {
    const requests = state.quarantinedRequests.map(known => known.digest);
    const parts = state.quarantined.map(known => known.parts.join("+"));
    const [first, second] = [false, true].map(hasRun => computeRequestDeferralMs(state, digest, hasRun, 0));
    return `requests [${requests.join()}], parts [${parts.join()}], deferred ${first} ms, ${second} ms after a run`;
}

describe("a request that was lost with crashed upstreams", () => {
    test.each<[string, QuarantineRecord[]]>([
        ["in one crash", [createCrash("u1", [createLost(dead), createLost("a")])]],
        ["in two crashes at once, under one caller's request", [
            createCrash("u1", [{ ...createLost(dead), id: "same" }]),
            createCrash("u2", [{ ...createLost(dead), id: "same" }]),
        ]],
        ["in two crashes at once, under two copies", [
            createCrash("u1", [createLost(dead)]),
            createCrash("u2", [createLost(dead)]),
        ]],
        ["in two crashes, the second one under a run after the first one was known", [
            createCrash("u1", [createLost(dead), createLost("a")]),
            createCrash("u2", [createLost(dead, ["u1"]), createLost("b")]),
        ]],
        ["in two crashes, as another one", [
            createCrash("u1", [createLost(dead), createLost("a")]),
            createCrash("u2", [createLost(dead, ["u1"]), createLost("a", ["u1"])]),
        ]],
        ["in three crashes", ["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost(dead)]))],
        ["in three crashes, as another one", [
            ...["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost(dead), createLost("a")])),
        ]],
        ["in three crashes, and another one in two of them", [
            ...["u1", "u2"].map(upstream => createCrash(upstream, [createLost(dead), createLost("a")])),
            createCrash("u3", [createLost(dead)]),
        ]],
        ["in three crashes with a usual part, which is no cause", [
            ...["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost(dead, [], ["usual"])])),
        ]],
        ["in three crashes, after an answer that a reporter has seen", [
            createCrash("u1", [createLost(dead)], [dead]),
            ...["u2", "u3"].map(upstream => createCrash(upstream, [createLost(dead)])),
        ]],
        ["in three crashes, after an answer that another entry has seen", [
            ...["u1", "u2", "u3"].map(upstream => createCrash(upstream, [createLost(dead)])),
            { kind: "answered-before", digest: dead },
        ]],
        ["in three crashes, and answered after the second one", [
            ...["u1", "u2"].map(upstream => createCrash(upstream, [createLost(dead)])),
            { kind: "answered", part: formatRequestPart(dead), request: "r" },
            createCrash("u3", [createLost(dead)]),
        ]],
        ["in four crashes of two rounds, after an answer", [
            createCrash("u1", [createLost(dead)], [dead]),
            ...["u2", "u3", "u4"].map(upstream => createCrash(upstream, [createLost(dead, ["u1"])])),
        ]],
        ["in four crashes that another one explains, after an answer", [
            createCrash("u1", [createLost(dead), createLost("bad")], [dead]),
            ...["u2", "u3", "u4"].map(upstream =>
                createCrash(upstream, [createLost(dead, ["u1"]), createLost("bad", ["u1"])])
            ),
        ]],
    ])("%s", (title, records) => {
        expect(describeState(applyAll(records))).toMatchSnapshot();
    });

    test("is deferred until the time after its latest crash has passed", () => {
        const state = applyAll([createCrash("u1", [createLost(dead)])]);
        const deferrals = [0, 5999, 6000].map(now => computeRequestDeferralMs(state, dead, false, now));
        expect(deferrals).toEqual([6000, 1, 0]);
    });

    test("is cleared by a response that began after its crashes were known", () => {
        const state = applyAll([createCrash("u1", [createLost(dead)])]);
        expect([0, 1].map(beganAt => isRequestAnswerTelling(state, dead, beganAt))).toEqual([false, true]);
    });
});

const ranks = 16;
const requestsPerRank = 5;
/** Share of the rounds in which some rank answers the hot request before the group breaks. */
const answeredShare = 0.7;

/**
 * Plays rounds of a group: copies of the crashing request run at random ranks unless it is deferred, each crashes its rank, and
 * lost sound requests run a second time. Returns the digests that are quarantined at the end, and those that were lost in three crashes.
 */
function playGroup(seed: number, hotShare: number, copies: number): { quarantined: string[]; lostThrice: string[]; } {
    const random = createRandom(seed);
    const state = createQuarantine();
    let offset = 0;
    const lossCounts = new Map<string, number>();
    let second: string[] = [];
    const roundMs = 4400;
    for (let round = 0; round < 12; round++) {
        const now = round * roundMs;
        const digests = [
            ...Array.from(
                { length: ranks * requestsPerRank },
                (ignored, index) => random.next() < hotShare ? "hot" : `s${round}-${index}`,
            ),
            ...second,
            ...Array.from({ length: copies }, () => dead),
        ];
        const isSent = (digest: string) =>
            !state.quarantinedRequests.some(known => known.digest === digest) &&
            computeRequestDeferralMs(state, digest, second.includes(digest), now) === 0;
        const { latestCrashes } = state;
        if (random.next() < answeredShare && digests.includes("hot") && isRequestAnswerTelling(state, "hot", now)) {
            offset += 1;
            const record: QuarantineRecord = { kind: "answered", part: formatRequestPart("hot"), request: "r" };
            const key = getRecordKey(record, "e");
            applyQuarantineRecords(state, [{ key, offset, value: JSON.stringify(record) }], now);
        }
        const running = Array.from({ length: ranks }, (): LostRequest[] => []);
        digests.filter(isSent).forEach(digest =>
            running[random.pickIndex(ranks)].push(createLost(digest, latestCrashes))
        );
        second = [];
        running.forEach((requests, rank) => {
            const isOtherCause = rank === 0 && random.next() < 0.2;
            if (isOtherCause || requests.some(({ digest }) => digest === dead)) {
                offset += 1;
                new Set(requests.map(({ digest = "" }) => digest)).forEach(digest =>
                    lossCounts.set(digest, (lossCounts.get(digest) ?? 0) + 1)
                );
                const answered = round > 0 && hotShare > 0 ? ["hot"] : [];
                const record = createCrash(`u${round}-${rank}`, requests, answered);
                const key = getRecordKey(record, "e");
                applyQuarantineRecords(state, [{ key, offset, value: JSON.stringify(record) }], now + roundMs / 2);
                second.push(...requests.flatMap(({ digest }) => digest ?? []).filter(digest => digest !== dead));
            }
        });
    }
    return {
        quarantined: state.quarantinedRequests.map(({ digest }) => digest),
        lostThrice: [...lossCounts].filter(([, count]) => count >= 3).map(([digest]) => digest),
    };
}

describe("in the traffic of a group, with crashes of other causes and lost requests that run again", () => {
    test.each<[string, number, number]>([
        ["a crashing request that comes once a round", 0, 1],
        ["three copies a round", 0, 3],
        ["a crashing request beside a hot sound one", 0.3, 2],
        ["a hot sound request without a crashing one", 0.3, 0],
    ])("no sound request is quarantined in 300 schedules: %s", (title, hotShare, copies) => {
        const plays = Array.from({ length: 300 }, (ignored, seed) => ({ seed, ...playGroup(seed, hotShare, copies) }));
        const wrong = plays.filter(({ quarantined }) => quarantined.some(digest => digest !== dead));
        expect(wrong.map(({ seed, quarantined }) => `seed ${seed}: ${quarantined.join()}`)).toEqual([]);
    });

    test("a verdict by the number of crashes alone quarantines sound requests", () => {
        const plays = Array.from({ length: 300 }, (ignored, seed) => playGroup(seed, 0.3, 0));
        expect(plays.filter(({ lostThrice }) => lostThrice.includes("hot"))).not.toEqual([]);
    });
});
