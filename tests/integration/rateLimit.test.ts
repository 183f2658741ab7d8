import { afterAll, beforeAll, expect, it } from "vitest";
import { demoKeys } from "../../src/demo/document.js";
import { callChat, type CallResult } from "../../src/standin/caller.js";
import type { Cluster } from "../../src/standin/cluster.js";
import { type FakeUpstream, generateTokens, startFakeEngine } from "../../src/standin/engine.js";
import { startEngineCluster } from "../../src/standin/engineCluster.js";
import type { RequestHandler } from "../../src/standin/http.js";

/** Bounds of the users' rule, from `settleMs` after an upstream has first named its limit. */
const rule = { settleMs: 3000, windowMs: 4000, factor: 1.5, slack: 5 };
const engineCount = 4;
const limitedCount = 2;
const limit = 2;
const intervalMs = 25;
const loadMs = 11_000;
const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

const arrivals: { engine: number; at: number; }[] = [];
let limitedAt = Infinity;

/** Starts an engine that names a limit in its responses if it is one of the limited ones. */
async function startLimitedEngine(engine: number): Promise<FakeUpstream> {
    const respond: RequestHandler = async (request, body, response) => {
        arrivals.push({ engine, at: performance.now() });
        if (engine < limitedCount && performance.now() >= limitedAt) {
            response.setHeader("request-rate-limit", String(limit));
        }
        await wait(20);
        response.writeHead(200, { "content-type": "text/event-stream" });
        const tokens = generateTokens(JSON.parse(body) as Parameters<typeof generateTokens>[0]);
        const events = tokens.map(content => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
        response.end(`${events.join("")}data: [DONE]\n\n`);
    };
    return await startFakeEngine(0, { firstTokenMs: 20, tokenMs: 10 }, { "POST /v1": respond });
}

let cluster: Cluster;

beforeAll(async () => {
    const engines = await Promise.all(
        Array.from({ length: engineCount }, (ignored, engine) => startLimitedEngine(engine)),
    );
    cluster = await startEngineCluster(engines);
});

afterAll(async () => {
    await cluster.stop();
});

it("an upstream behind a slot gets no more requests than the limit that it names, and others take the load at once", async () => {
    const calls: Promise<CallResult>[] = [];
    const startedAt = performance.now();
    limitedAt = startedAt + 2000;
    while (performance.now() - startedAt < loadMs) {
        const { url } = cluster.entries[calls.length % 2];
        calls.push(callChat(url, `hello ${calls.length}`, 4, { key: demoKeys.reception }));
        await wait(intervalMs);
    }
    const results = await Promise.all(calls);
    const from = limitedAt + rule.settleMs;
    const until = startedAt + loadMs;
    for (let engine = 0; engine < limitedCount; engine++) {
        const times = arrivals.filter(arrival => arrival.engine === engine).map(({ at }) => at);
        for (let start = from; start + rule.windowMs <= until; start += 100) {
            const count = times.filter(at => at >= start && at < start + rule.windowMs).length;
            expect(count).toBeLessThanOrEqual(rule.factor * limit * rule.windowMs / 1000 + rule.slack);
        }
    }
    expect(results.filter(({ isCorrect }) => !isCorrect).map(({ status, text }) => ({ status, text }))).toEqual([]);
    const slowest = results.map(({ totalMs }) => totalMs).sort((a, b) => b - a)[Math.floor(results.length / 100)];
    expect(slowest).toBeLessThan(1500);
});
