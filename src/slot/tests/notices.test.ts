import { afterEach, beforeEach, describe, expect, it, test, vi } from "vitest";
import { createAdmission } from "../../routing/admission.js";
import type { RunParams } from "../../wire/messages.js";
import type { Claim } from "../claims.js";
import { createRunner } from "../runner.js";
import { beginRun, createRunStore, type RunRecord } from "../runStore.js";
import { watchUpstreamRestart } from "../upstreamRestart.js";

const startedAt = 1_760_000_000_000;
const serviceMs = 10;

beforeEach(() => void vi.useFakeTimers({ now: startedAt }));
afterEach(() => {
    vi.restoreAllMocks();
    vi.useRealTimers();
});

interface Head {
    status?: number;
    isLeaving?: boolean;
    pauseValues?: string[];
}

interface Outcome {
    /** Title of the failure, or the status of the response. */
    end: string | number;
    /** Time of the end, in milliseconds after the start of the test. */
    at: number;
}

/** Starts a runner whose upstream answers with the given heads in order, then with success. */
function startRunner(heads: Head[], concurrency = 9) {
    const arrivals: number[] = [];
    const logged: string[] = [];
    const store = createRunStore("i1");
    const admission = createAdmission({ concurrency, tokens: 1000, queue: 50 });
    async function* streamBody() {
        await Promise.resolve();
        yield Buffer.from("done");
    }
    const upstream = {
        timeouts: { headersTimeoutMs: 10_000, bodyTimeoutMs: 2000 },
        onTimeout: () => undefined,
        run: async () => {
            arrivals.push(Date.now() - startedAt);
            const { status = 200, isLeaving = false, pauseValues = [] } = heads[arrivals.length - 1] ?? {};
            await new Promise(resolve => setTimeout(resolve, serviceMs));
            const body = streamBody();
            return {
                ...{
                    status,
                    headers: {},
                    framing: "chunked" as const,
                    rateLimitValues: [],
                    isLeaving,
                    pauseValues,
                    body,
                },
                discard: () => undefined,
            };
        },
    };
    const claimed: string[] = [];
    const claims = {
        settle: () => expect.unreachable(),
        submit: ({ key }: Claim) => {
            claimed.push(key.hash);
            return Promise.resolve("won" as const);
        },
    };
    const runner = createRunner(store, admission, upstream, claims, {
        onRateLimit: () => undefined,
        onLeaving: () => void logged.push("leaving"),
        onPause: (id, pauseMs) => void logged.push(`pause of ${pauseMs} ms`),
        onOddPause: (id, values) => void logged.push(`odd pause: ${values.join(" ")}`),
        onObstacle: (id, { noticeRequestId, ageMs }) => void logged.push(`${id}: ${noticeRequestId}, ${ageMs} ms ago`),
    });
    const outcomes: Outcome[] = [];
    let runs = 0;
    const begin = (change: Partial<RunParams> = {}) => {
        const index = runs;
        runs += 1;
        const params: RunParams = {
            ...{ requestId: `r${index}`, attempt: 1, incarnation: "i1", workspace: "w", method: "POST", path: "/" },
            ...{ headers: {}, body: "", idempotent: true, urgency: 3, tokens: 1, deadlineMs: 60_000, ...change },
        };
        const result = beginRun(store, params, Date.now());
        const record = result.kind === "begin" ? result.record : expect.unreachable();
        runner.start(record, params, 1);
        const recordEnd = () => {
            outcomes[index] ??= { end: describeEnd(record) ?? "", at: Date.now() - startedAt };
        };
        if (describeEnd(record) !== undefined) {
            recordEnd();
        }
        runner.subscribe(record, () => describeEnd(record) !== undefined && recordEnd());
    };
    return { runner, admission, arrivals, logged, outcomes, begin, claimed };
}

function describeEnd({ frames }: RunRecord): string | number | undefined {
    const last = frames.at(-1);
    const head = frames.find(frame => frame.kind === "head");
    return last?.kind === "failed" ? last.title : last?.kind === "end" ? head?.status : undefined;
}

const pause = (...pauseValues: string[]) => ({ status: 503, pauseValues });

describe("an upstream that says that it leaves", () => {
    test.each([200, 404, 500, 503])("with status %d gets no further run, queued ones included", async status => {
        const { runner, arrivals, logged, outcomes, begin } = startRunner([{ status, isLeaving: true }], 1);
        begin();
        begin();
        await vi.advanceTimersByTimeAsync(50);
        begin({ canWaitForPause: true });
        await vi.advanceTimersByTimeAsync(1000);
        expect({ arrivals, logged, ends: outcomes.map(({ end }) => end), state: runner.report().state }).toEqual({
            arrivals: [0],
            logged: ["leaving", "r1: r0, 0 ms ago", "r2: r0, 40 ms ago"],
            ends: [status, "The upstream is leaving", "The upstream is leaving"],
            state: "leaving",
        });
    });

    it("gets runs again once another incarnation of it accepts connections", async () => {
        const { runner, arrivals, admission, begin } = startRunner([{ isLeaving: true }]);
        let isRefused = false;
        watchUpstreamRestart({
            isNoticed: () => runner.report().state === "leaving",
            isRefused: () => Promise.resolve(isRefused),
            onRestart: runner.recordUpstreamRestart,
        });
        const states: string[] = [];
        begin();
        for (isRefused of [false, true, false]) {
            await vi.advanceTimersByTimeAsync(500);
            begin();
            states.push(runner.report().state);
        }
        await vi.advanceTimersByTimeAsync(500);
        expect({ arrivals: arrivals.length, states, running: admission.running.size }).toEqual({
            arrivals: 2,
            states: ["leaving", "leaving", "live"],
            running: 0,
        });
    });
});

describe("an upstream that asks for a pause", () => {
    it("gets no run in it, and then those that may wait, one after another", async () => {
        const { runner, arrivals, outcomes, begin } = startRunner([pause("2")]);
        begin();
        await vi.advanceTimersByTimeAsync(100);
        begin();
        Array.from({ length: 4 }, () => begin({ canWaitForPause: true }));
        const { pauseWaitMs } = runner.report();
        await vi.advanceTimersByTimeAsync(3000);
        expect({ arrivals, pauseWaitMs, outcomes, after: runner.report().pauseWaitMs }).toMatchInlineSnapshot(`
          {
            "after": undefined,
            "arrivals": [
              0,
              2010,
              2050,
              2090,
              2130,
            ],
            "outcomes": [
              {
                "at": 10,
                "end": "The upstream asks for a pause",
              },
              {
                "at": 100,
                "end": "The upstream asks for a pause",
              },
              {
                "at": 2020,
                "end": 200,
              },
              {
                "at": 2060,
                "end": 200,
              },
              {
                "at": 2100,
                "end": 200,
              },
              {
                "at": 2140,
                "end": 200,
              },
            ],
            "pauseWaitMs": 1910,
          }
        `);
    });

    it("does not keep queued runs whose entry knows other slots", async () => {
        const { arrivals, outcomes, begin } = startRunner([pause("2")], 1);
        begin();
        begin();
        begin({ canWaitForPause: true });
        await vi.advanceTimersByTimeAsync(3000);
        expect({ arrivals, outcomes }).toMatchInlineSnapshot(`
          {
            "arrivals": [
              0,
              2010,
            ],
            "outcomes": [
              {
                "at": 10,
                "end": "The upstream asks for a pause",
              },
              {
                "at": 10,
                "end": "The upstream asks for a pause",
              },
              {
                "at": 2020,
                "end": 200,
              },
            ],
          }
        `);
    });

    it("refuses a run at once that could not be answered in time after it", async () => {
        const { outcomes, begin } = startRunner([pause("30")]);
        begin();
        await vi.advanceTimersByTimeAsync(100);
        begin({ canWaitForPause: true, deadlineMs: 10_000 });
        expect(outcomes[1]).toEqual({ end: "The upstream is at its limit", at: 100 });
    });

    it("gets no run with an idempotency key, whose key stays free for another slot", async () => {
        const { arrivals, claimed, outcomes, begin } = startRunner([pause("2")]);
        begin();
        await vi.advanceTimersByTimeAsync(100);
        begin({ idempotent: false, idempotencyKey: "0199c82c-c930-7abc-8abc-0123456789ab" });
        await vi.advanceTimersByTimeAsync(100);
        expect({ arrivals, claimed, end: outcomes[1].end }).toEqual({
            arrivals: [0],
            claimed: [],
            end: "The upstream asks for a pause",
        });
    });

    it("passes its response on if the request must not be repeated", async () => {
        const { outcomes, begin } = startRunner([pause("2")]);
        begin({ idempotent: false });
        await vi.advanceTimersByTimeAsync(100);
        expect(outcomes).toEqual([{ end: 503, at: serviceMs }]);
    });

    test.each<[string, Head[], number | undefined, string[]]>([
        ["a fraction", [pause("0.9")], 900, ["pause of 900 ms"]],
        ["zero", [pause("0")], undefined, []],
        ["a negative number", [pause("-1")], undefined, ["odd pause: -1"]],
        ["a date", [pause("Fri, 31 Dec 1999 23:59:59 GMT")], undefined, [
            "odd pause: Fri, 31 Dec 1999 23:59:59 GMT",
        ]],
        ["a huge number", [pause("1e9"), pause("1000000000")], 60_000, [
            "odd pause: 1e9",
            "odd pause: 1000000000",
            "pause of 1000000000000 ms",
        ]],
        ["two values", [pause("1", "3")], 3000, ["pause of 3000 ms"]],
        ["a value of a 429", [{ status: 429, pauseValues: ["3"] }], undefined, []],
        ["a shorter pause after a longer one", [pause("3"), pause("1")], 3000, ["pause of 3000 ms"]],
        ["a longer pause after a shorter one", [pause("1"), pause("3")], 3000, [
            "pause of 1000 ms",
            "pause of 3000 ms",
        ]],
    ])("takes %s as documented", async (name, heads, pauseWaitMs, expected) => {
        const { runner, logged, begin } = startRunner(heads);
        heads.forEach(() => begin());
        await vi.advanceTimersByTimeAsync(serviceMs);
        expect({ pauseWaitMs: runner.report().pauseWaitMs, logged }).toEqual({ pauseWaitMs, logged: expected });
    });

    it("gets the waiting runs although the clock advances while the slot computes its timer", async () => {
        const { outcomes, begin } = startRunner([pause("1")], 1);
        begin();
        await vi.advanceTimersByTimeAsync(100);
        const readClock = Date.now.bind(Date);
        let reads = 0;
        vi.spyOn(Date, "now").mockImplementation(() => {
            reads += 1;
            return readClock() + reads % 2;
        });
        Array.from({ length: 3 }, () => begin({ canWaitForPause: true }));
        await vi.advanceTimersByTimeAsync(5000);
        expect(outcomes.map(({ end }) => end)).toEqual(["The upstream asks for a pause", 200, 200, 200]);
    });
});
