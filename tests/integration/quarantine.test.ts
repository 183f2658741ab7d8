import { afterAll, beforeAll, expect, it } from "vitest";
import { demoKeys } from "../../src/demo/document.js";
import { callChat, type CallResult } from "../../src/standin/caller.js";
import type { Cluster } from "../../src/standin/cluster.js";
import { type CrashingEngines, startCrashingEngines } from "../../src/standin/crashingEngine.js";
import { startEngineCluster } from "../../src/standin/engineCluster.js";

/** Bounds of the users' rule: the requests that may reach upstreams from `settleMs` after the fifth crash on. */
const rule = { crashes: 5, settleMs: 3000, requests: 3 };
const engineCount = 6;
const restartMs = 1300;
const crashingPart = "dead";
const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

let cluster: Cluster;
let crashing: CrashingEngines;
let lastRequest = 0;

beforeAll(async () => {
    crashing = await startCrashingEngines(engineCount, {
        isCrashing: ({ headers }) => String(headers["prompt-parts"]).split(",").slice(0, -1).includes(crashingPart),
        restartMs,
    });
    cluster = await startEngineCluster(crashing.engines);
});

afterAll(async () => {
    crashing.stop();
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
    const { crashTimes, arrivalTimes } = crashing;
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
