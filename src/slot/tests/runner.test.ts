import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createAdmission } from "../../routing/admission.js";
import { createRunParams } from "../../standin/runParams.js";
import type { RunParams } from "../../wire/messages.js";
import type { Claim, ClaimVerdict } from "../claims.js";
import { createRunner, type Runner } from "../runner.js";
import { beginRun, createRunStore, type RunRecord } from "../runStore.js";
import { computeShutdownDelayMs } from "../shutdown.js";

const now = 1_760_000_030_000;
const params = createRunParams({ body: "claim", deadlineMs: 60_000 });
const idempotencyKey = "0199c82c-c930-7abc-8abc-0123456789ab";
const chunks = Array.from({ length: 10 }, (chunk, index) => String(index).repeat(1000));

beforeEach(() => void vi.useFakeTimers({ now }));

afterEach(() => void vi.useRealTimers());

interface Fixture {
    runner: Runner;
    begin: (change?: Partial<RunParams>) => RunRecord;
    /** Counts the chunks that were read from the upstream, over all runs. */
    countChunks: () => number;
    /** Counts the requests to the upstream. */
    countRequests: () => number;
    claims: Claim[];
}

interface Behaviour {
    /** Called before each chunk of the upstream's response. */
    beforeChunk?: (index: number, signal: AbortSignal) => Promise<void> | void;
    /** Called before each request to the upstream. */
    connect?: () => void;
    verdict?: ClaimVerdict;
}

function createFixture({ beforeChunk, connect, verdict = "won" }: Behaviour): Fixture {
    const store = createRunStore("i1", { responseBytes: 4000, totalBytes: 100_000, records: 10 });
    const claims: Claim[] = [];
    let chunkCount = 0;
    let requestCount = 0;
    async function* streamChunks(signal: AbortSignal) {
        for (const [index, chunk] of chunks.entries()) {
            await beforeChunk?.(index, signal);
            chunkCount += 1;
            yield Buffer.from(chunk);
        }
    }
    const runner = createRunner(store, createAdmission({ concurrency: 9, tokens: 99, queue: 9 }), {
        timeouts: { headersTimeoutMs: 10_000, bodyTimeoutMs: 2000 },
        onTimeout: () => undefined,
        run: async (run, signal) => {
            connect?.();
            requestCount += 1;
            return {
                status: 200,
                headers: {},
                framing: "chunked",
                rateLimitValues: [],
                isLeaving: false,
                pauseValues: [],
                body: streamChunks(signal),
                discard: () => undefined,
            };
        },
    }, {
        settle: () => expect.unreachable(),
        submit: async claim => {
            claims.push(claim);
            return claim.release ? "won" : verdict;
        },
    });
    const begin = (change: Partial<RunParams> = {}) => {
        const run = { ...params, ...change };
        const result = beginRun(store, run, Date.now());
        const record = result.kind === "begin" ? result.record : expect.unreachable();
        runner.start(record, run, 1);
        return record;
    };
    return { runner, begin, countChunks: () => chunkCount, countRequests: () => requestCount, claims };
}

function describeEnd(record: RunRecord): string {
    const last = record.frames[record.frames.length - 1];
    return last.kind === "failed" ? `${last.outcome}: ${last.title}` : last.kind;
}

/** Acknowledges every new frame of a record, like a reader that never lags. */
function acknowledgeAll(runner: Runner, record: RunRecord): void {
    runner.subscribe(record, () => runner.acknowledgeFrames(record, record.next));
}

/** Never resolves; rejects when the run is aborted. */
function waitForAbort(signal: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => signal.addEventListener("abort", () => reject(signal.reason as Error)));
}

describe("runner", () => {
    it("stops reading from the upstream while its reader lags", async () => {
        const fixture = createFixture({});
        const record = fixture.begin();
        await vi.advanceTimersByTimeAsync(5000);
        const whileLagging = fixture.countChunks();
        fixture.runner.acknowledgeFrames(record, record.next);
        await vi.advanceTimersByTimeAsync(1);
        const afterDelivery = fixture.countChunks();
        acknowledgeAll(fixture.runner, record);
        fixture.runner.acknowledgeFrames(record, record.next);
        await vi.advanceTimersByTimeAsync(1);
        expect([whileLagging, afterDelivery, fixture.countChunks(), describeEnd(record)]).toMatchInlineSnapshot(`
          [
            3,
            7,
            10,
            "end",
          ]
        `);
    });

    it.each([
        { name: "is silent within an answer", behaviour: { beforeChunk: waitAt(3) }, end: "unknown" },
        { name: "can't be connected to", behaviour: { connect: refuseConnection }, end: "not-run" },
        { name: "breaks off", behaviour: { beforeChunk: failAt(3) }, end: "unknown" },
    ])("tells the truth when the upstream $name", async ({ behaviour, end }) => {
        const fixture = createFixture(behaviour);
        const record = fixture.begin();
        acknowledgeAll(fixture.runner, record);
        await vi.advanceTimersByTimeAsync(2000);
        expect(describeEnd(record)).toBe(`${end}: The upstream did not finish its answer`);
    });

    it("stays after the last answer until it was delivered and can't be resumed any more", async () => {
        const store = createRunStore("i1");
        const result = beginRun(store, params, now);
        const record = result.kind === "begin" ? result.record : expect.unreachable();
        const running = computeShutdownDelayMs(store, now);
        Object.assign(record, { state: "ended", next: 3, delivered: 2 });
        const undelivered = computeShutdownDelayMs(store, now);
        record.delivered = 3;
        expect([running, undelivered, computeShutdownDelayMs(store, now), computeShutdownDelayMs(store, now + 2500)])
            .toEqual([
                0,
                5000,
                2500,
                0,
            ]);
    });
});

describe("keyed runs", () => {
    it("repeat the recorded answer for the same key and request", async () => {
        const fixture = createFixture({});
        const records = ["r1", "r2"].map(requestId => fixture.begin({ requestId, idempotencyKey }));
        records.forEach(record => acknowledgeAll(fixture.runner, record));
        await vi.advanceTimersByTimeAsync(1);
        const other = fixture.begin({ requestId: "r3", idempotencyKey, body: "another" });
        await vi.advanceTimersByTimeAsync(1);
        expect([fixture.countRequests(), ...[...records, other].map(describeEnd)]).toMatchInlineSnapshot(`
          [
            1,
            "end",
            "end",
            "not-run: Idempotency-Key was used with another request",
          ]
        `);
    });

    it("go on when their caller has gone, so that a retry gets the answer", async () => {
        const fixture = createFixture({});
        const record = fixture.begin({ idempotencyKey });
        acknowledgeAll(fixture.runner, record);
        fixture.runner.cancel(record);
        await vi.advanceTimersByTimeAsync(1);
        expect(describeEnd(record)).toBe("end");
    });

    it.each(
        [
            { verdict: "lost", end: "unknown: Another process has claimed the Idempotency-Key" },
            { verdict: "stale", end: "unknown: Idempotency-Key is older than 15 minutes" },
            { verdict: "failed", end: "not-run: The Idempotency-Key could not be claimed in the log" },
        ] as const,
    )("don't reach the upstream when the claim is $verdict", async ({ verdict, end }) => {
        const fixture = createFixture({ verdict });
        const record = fixture.begin({ idempotencyKey });
        await vi.advanceTimersByTimeAsync(1);
        expect([fixture.countRequests(), describeEnd(record).startsWith(end)]).toEqual([0, true]);
    });

    it("give up the key of a run that never reached the upstream", async () => {
        const fixture = createFixture({ connect: refuseConnection });
        const record = fixture.begin({ idempotencyKey });
        await vi.advanceTimersByTimeAsync(1);
        expect([describeEnd(record), fixture.claims.map(claim => claim.release)]).toMatchInlineSnapshot(`
          [
            "not-run: The upstream did not finish its answer",
            [
              false,
              true,
            ],
          ]
        `);
    });
});

function refuseConnection(): void {
    throw Object.assign(new Error("refused"), { code: "ECONNREFUSED" });
}

function waitAt(chunkIndex: number) {
    return (index: number, signal: AbortSignal) => index === chunkIndex ? waitForAbort(signal) : undefined;
}

function failAt(chunkIndex: number) {
    return (index: number) => index === chunkIndex ? Promise.reject(new Error("reset")) : undefined;
}
