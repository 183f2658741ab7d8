import { afterAll, beforeAll, expect, it } from "vitest";
import { demoKeys } from "../../src/demo/document.js";
import { callChat, type CallResult } from "../../src/standin/caller.js";
import type { Cluster } from "../../src/standin/cluster.js";
import { type FakeUpstream, generateTokens, startFakeEngine } from "../../src/standin/engine.js";
import { startEngineCluster } from "../../src/standin/engineCluster.js";
import type { RequestHandler } from "../../src/standin/http.js";
import { allocateStablePort } from "../../src/standin/stablePort.js";

/** Bounds of the users' rule: the requests that may reach upstreams from `settleMs` after the fifth crash on. */
const rule = { crashes: 5, settleMs: 3000, requests: 3 };
const engineCount = 6;
const restartMs = 1300;
const crashingPart = "dead";
const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

const crashTimes: number[] = [];
/** Arrivals of requests with the crashing part, in milliseconds. */
const arrivalTimes: number[] = [];
let isStopped = false;

/** Starts an engine that crashes when it begins to respond to a prompt with the part, and restarts at its address. */
async function startCrashingEngine(): Promise<FakeUpstream> {
    let engine: FakeUpstream;
    const port = await allocateStablePort();
    let isUp = true;
    const restart = async () => {
        engine = await startFakeEngine(port, options, handlers);
        isUp = true;
    };
    const respond: RequestHandler = async (request, body, response) => {
        const parts = String(request.headers["prompt-parts"]).split(",").slice(0, -1);
        if (parts.includes(crashingPart)) {
            arrivalTimes.push(performance.now());
        }
        await wait(20);
        if (parts.includes(crashingPart)) {
            // Of two such requests at once only the first one crashes the engine.
            if (isUp) {
                isUp = false;
                crashTimes.push(performance.now());
                engine.close();
                setTimeout(() => !isStopped && void restart(), restartMs);
            }
            return;
        }
        response.writeHead(200, { "content-type": "text/event-stream" });
        const tokens = generateTokens(JSON.parse(body) as Parameters<typeof generateTokens>[0]);
        const events = tokens.map(content => `data: ${JSON.stringify({ choices: [{ delta: { content } }] })}\n\n`);
        response.end(`${events.join("")}data: [DONE]\n\n`);
    };
    const options = { firstTokenMs: 20, tokenMs: 10 };
    const handlers = { "POST /v1": respond };
    engine = await startFakeEngine(port, options, handlers);
    const { url, runs, runsByKey } = engine;
    return { url, runs, runsByKey, close: () => engine.close() };
}

let cluster: Cluster;
let lastRequest = 0;

beforeAll(async () => {
    const engines = await Promise.all(Array.from({ length: engineCount }, startCrashingEngine));
    cluster = await startEngineCluster(engines);
});

afterAll(async () => {
    isStopped = true;
    await cluster.stop();
});

function call(entry: number, sharedParts: string[]): Promise<CallResult> {
    lastRequest += 1;
    const headers = { "prompt-parts": [...sharedParts, `own-${lastRequest}`].join(",") };
    return callChat(cluster.entries[entry].url, `hello ${lastRequest}`, 4, { key: demoKeys.reception, headers });
}

it("requests that share a part under which upstreams crash are rejected by all entries, and others served", async () => {
    for (let i = 0; i < 80; i++) {
        await call(i % 2, ["aa", `b${i % 6}`]);
    }
    const calls: Promise<CallResult>[] = [];
    for (let i = 0; i < 120; i++) {
        calls.push(call(i % 2, ["aa", crashingPart, `b${i % 6}`]));
        await wait(80);
    }
    const last = (await Promise.all(calls)).at(-1)!;
    expect([last.status, last.outcome, JSON.parse(last.text).title]).toEqual([
        503,
        "not-run",
        expect.stringMatching(/^The prompt contains parts under which \d+ upstreams crashed: dead$/),
    ]);
    const settledAt = (crashTimes[rule.crashes - 1] ?? Infinity) + rule.settleMs;
    expect(arrivalTimes.filter(at => at > settledAt).length).toBeLessThanOrEqual(rule.requests);
    await wait(restartMs);
    const crashesBefore = crashTimes.length;
    const sound = [];
    for (let i = 0; i < 40; i++) {
        sound.push((await call(i % 2, ["aa", `b${i % 6}`])).isCorrect);
    }
    expect(sound.filter(isCorrect => isCorrect).length).toBeGreaterThan(sound.length / 2);
    const restarted = await cluster.startEntry({ instance: "entry-3", dataCentre: "dc-a" });
    await restarted.process.waitForLine(line => line.msg.endsWith("The upstreams are known."));
    const { status } = await call(cluster.entries.indexOf(restarted), ["c", crashingPart]);
    expect([status, crashTimes.length]).toEqual([503, crashesBefore]);
});
