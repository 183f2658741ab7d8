import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { startFakeLog } from "../../standin/log.js";
import { sendInPieces } from "../../standin/slowResponse.js";
import { type Appender, createAppender } from "../appender.js";
import { computeBackoffMs } from "../backoff.js";
import { createLogClient } from "../client.js";
import { type TailEvent, tailStream } from "../tail.js";
import type { AppendRecord, LogClient, ReadResult } from "../types.js";

describe("appender", () => {
    beforeEach(() => {
        vi.useFakeTimers();
    });
    afterEach(() => {
        vi.useRealTimers();
    });

    /** Creates a log whose responses follow `script`, then succeed. Lost appends take effect, refused ones do not. */
    function createScriptedLog(script: ("lost" | "refused" | "silent")[]) {
        const batches: string[][] = [];
        const storedIds: string[] = [];
        const append = async (stream: string, records: AppendRecord[]) => {
            const fault = script.shift();
            batches.push(records.map(record => record.id));
            if (fault === "silent") {
                return new Promise<number>(() => undefined);
            }
            if (fault !== "refused") {
                storedIds.push(...records.map(record => record.id));
            }
            if (fault !== undefined) {
                throw new Error(fault);
            }
            return 0;
        };
        return { log: { append } as unknown as LogClient, batches, storedIds };
    }

    function create(log: LogClient): Appender {
        const limits = { maxWaiting: 5, maxBatch: 3, delayMs: 100, jitterMs: 100 };
        return createAppender(log, "s", { ...limits, onError: () => undefined, getRandom: () => 0.5 });
    }

    it.each<[string, ("lost" | "refused" | "silent")[], string[][]]>([
        ["in health", [], [["1", "2", "3"], ["4", "5"]]],
        ["refused twice", ["refused", "refused"], [["1", "2", "3"], ["1", "2", "3"], ["1", "2", "3"], ["4", "5"]]],
        ["an answer lost", ["lost"], [["1", "2", "3"], ["1", "2", "3"], ["4", "5"]]],
    ])("appends in batches under the same ids: %s", async (name, script, expected) => {
        const { log, batches, storedIds } = createScriptedLog(script);
        const appender = create(log);
        const accepted = ["1", "2", "3", "4", "5", "6"].map(id => appender.push({ id, data: {} }));
        expect([accepted.at(-1), appender.dropped()]).toEqual([false, 1]);
        await vi.advanceTimersByTimeAsync(60_000);
        expect(batches).toEqual(expected);
        expect(new Set(storedIds).size).toBe(5);
        expect(appender.waiting()).toBe(0);
    });

    it.each<[string, ("refused" | "silent")[], number]>([
        ["in health", [], 0],
        ["the log refuses", ["refused"], 5],
        ["the log is silent", ["silent"], 5],
    ])("stops within its limit and tells what is left over: %s", async (name, script, left) => {
        const appender = create(createScriptedLog(script).log);
        ["1", "2", "3", "4", "5"].forEach(id => appender.push({ id, data: {} }));
        const stopped = appender.stop(2000);
        await vi.advanceTimersByTimeAsync(2000);
        expect(await stopped).toBe(left);
    });
});

describe("a stopped appender", () => {
    it("counts the records that come after its stop as dropped", async () => {
        const log = { append: async () => 0 } as unknown as LogClient;
        const limits = { maxWaiting: 5, maxBatch: 3, delayMs: 1, jitterMs: 0 };
        const appender = createAppender(log, "s", { ...limits, onError: () => undefined, getRandom: () => 0.5 });
        await appender.stop(100);
        expect([appender.push({ id: "late", data: {} }), appender.dropped(), appender.waiting()]).toEqual([
            false,
            1,
            0,
        ]);
    });
});

describe("tail", () => {
    it("backs off with growing, bounded and spread delays", () => {
        const ceilings = [1, 2, 3, 4, 5, 6, 100].map(failures => computeBackoffMs(failures, 1));
        expect(ceilings).toEqual([220, 420, 820, 1620, 3220, 5020, 5020]);
        expect(computeBackoffMs(100, 0)).toBe(20);
    });

    it("goes on after failures, tells of gaps and of records lost to retention", async () => {
        const record = (offset: number) => ({ offset, id: String(offset), time: 0, data: {} });
        const script: (ReadResult | Error)[] = [
            { records: [record(0), record(3)], next: 4, oldest: 0 },
            new Error("down"),
            { records: [record(9)], next: 10, oldest: 9 },
            { records: [], next: 10, oldest: 9 },
        ];
        const readOffsets: number[] = [];
        const events: TailEvent[] = [];
        const errors: string[] = [];
        await new Promise<void>(resolve => {
            const read = async (stream: string, from: number) => {
                readOffsets.push(from);
                const next = script.shift();
                if (next === undefined) {
                    resolve();
                    return new Promise<ReadResult>(() => undefined);
                }
                if (next instanceof Error) {
                    throw next;
                }
                return next;
            };
            const log = { read } as unknown as LogClient;
            void tailStream(log, "s", error => errors.push(error.message)).observe(event => events.push(event));
        });
        expect(readOffsets).toEqual([0, 4, 4, 10, 10]);
        expect(errors).toEqual(["down"]);
        expect(events.map(event => [event.from, event.oldest, event.atEnd])).toEqual([
            [0, 0, false],
            [4, 9, false],
            [10, 9, true],
        ]);
    });
});

describe("client", () => {
    let server: Server | undefined;
    afterEach(() => {
        server?.closeAllConnections();
        server?.close();
    });

    it("reads back what an append left although its answer was lost", async () => {
        const standin = await startFakeLog(0);
        standin.faults.lostAppendResponses = 1;
        const log = createLogClient(standin.url);
        await expect(log.append("s", [{ id: "a", data: 1 }])).rejects.toThrow();
        expect((await log.read("s", 0, 0)).records).toMatchObject([{ offset: 0, id: "a", data: 1 }]);
        standin.close();
    });

    /** Serves `body` in pieces, one a second, of which only the first `count` are sent. */
    async function startSlowLog(body: string, pieces: number, count = pieces): Promise<string> {
        const pieceBytes = Math.ceil(body.length / pieces);
        const link = { pieceBytes, intervalMs: 1000, limitBytes: count * pieceBytes };
        server = createServer((message, response) => sendInPieces(response, body, link)).listen(0, "127.0.0.1");
        await new Promise(resolve => server!.once("listening", resolve));
        return `http://127.0.0.1:${(server.address() as AddressInfo).port}`;
    }
    const records = [{ offset: 0, id: "a", time: 0, data: "x".repeat(1000) }];
    const slowBody = JSON.stringify({ records, next: 1, oldest: 0 });

    it("does not give up a read that makes progress for longer than its time limit", async () => {
        const log = createLogClient(await startSlowLog(slowBody, 7));
        expect((await log.read("s", 0, 0)).records).toEqual(records);
    }, 20_000);

    it("gives up a read that makes no progress", async () => {
        const log = createLogClient(await startSlowLog(slowBody, 7, 1));
        const startedAt = performance.now();
        await expect(log.read("s", 0, 0)).rejects.toThrow();
        expect(performance.now() - startedAt).toBeLessThan(8000);
    }, 20_000);

    it.each([
        ["throttling", 429, "{}"],
        ["an outage", 503, "{}"],
        ["an answer outside the protocol", 200, "{\"offset\":\"x\"}"],
        ["no JSON", 200, "<html>"],
    ])("fails on %s", async (name, status, body) => {
        server = createServer((message, response) => response.writeHead(status).end(body)).listen(0, "127.0.0.1");
        await new Promise(resolve => server!.once("listening", resolve));
        const log = createLogClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
        await expect(log.append("s", [])).rejects.toThrow();
    });
});
