import { afterAll, beforeAll, expect, it } from "vitest";
import { demoKeys } from "../../src/demo/document.js";
import { callChat, type CallResult } from "../../src/standin/caller.js";
import type { Cluster } from "../../src/standin/cluster.js";
import { type CrashingEngines, startCrashingEngines } from "../../src/standin/crashingEngine.js";
import { startEngineCluster } from "../../src/standin/engineCluster.js";

/** Bounds of the users' rule: the repeats that may reach upstreams from `settleMs` after the third crash on. */
const rule = { crashes: 3, settleMs: 3000, requests: 3 };
const engineCount = 6;
const restartMs = 1300;
const crashingPrompt = "a prompt that crashes engines";
const wait = (ms: number) => new Promise<void>(resolve => setTimeout(resolve, ms));

let cluster: Cluster;
let crashing: CrashingEngines;

beforeAll(async () => {
    crashing = await startCrashingEngines(engineCount, {
        isCrashing: (request, body) => body.includes(crashingPrompt),
        restartMs,
    });
    cluster = await startEngineCluster(crashing.engines);
});

afterAll(async () => {
    crashing.stop();
    await cluster.stop();
});

function call(entry: number, prompt: string): Promise<CallResult> {
    return callChat(cluster.entries[entry].url, prompt, 4, { key: demoKeys.reception });
}

it("a request without prompt parts that crashes its upstreams and comes again is kept from them, and others are served", async () => {
    for (let i = 0; i < 20; i++) {
        await call(i % 2, `hello ${i}`);
    }
    const repeats: Promise<CallResult>[] = [];
    const sound: Promise<CallResult>[] = [];
    for (let i = 0; i < 100; i++) {
        repeats.push(call(i % 2, crashingPrompt));
        sound.push(call(i % 2, i % 3 === 0 ? "hot" : `hello ${i}`));
        await wait(100);
    }
    const { crashTimes, arrivalTimes } = crashing;
    const log = `${crashTimes.length} crashes`;
    const settledAt = (crashTimes[rule.crashes - 1] ?? Infinity) + rule.settleMs;
    expect(arrivalTimes.filter(at => at > settledAt).length, log).toBeLessThanOrEqual(rule.requests);
    expect((await Promise.all(sound)).filter(({ isCorrect }) => isCorrect).length, log).toBeGreaterThan(90);
    const last = (await Promise.all(repeats)).at(-1)!;
    expect([last.status, last.outcome, JSON.parse(last.text).title]).toEqual([
        503,
        "not-run",
        expect.stringMatching(/^(\d+ upstreams crashed|An upstream has crashed) under the request$/),
    ]);
});
