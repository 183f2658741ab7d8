/** With slots in the path requests stayed at a slot that had gone silent with its machine, until their callers left. */
import { afterEach, expect, test } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callPlain, type CallResult } from "../../src/standin/caller.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";

/** Time after which callers give up, in milliseconds. */
const patienceMs = 2000;
const silenceMs = 3500;
const intervalMs = 50;
const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

let cluster: Cluster;
afterEach(() => cluster.stop());

test("idempotent requests are answered within two seconds while one of three slots stands still", async () => {
    const dataCentre = "dc-a";
    const createSlot = (instance: string) =>
        ({ instance, dataCentre, pool: "claims", kind: "plain", serviceMs: 20, isSlotDirect: true }) as const;
    cluster = await startCluster(
        [{ instance: "entry-1", dataCentre }],
        ["slot-1", "slot-2", "slot-3"].map(createSlot),
    );
    await publishDocument(cluster, createDemoDocument());
    const calls: Promise<CallResult>[] = [];
    const call = () =>
        callPlain(cluster.entries[0].url, "/lookups/status", `${calls.length}`, { key: demoKeys.caseworkers });
    const callFor = async (ms: number) => {
        for (const endAt = performance.now() + ms; performance.now() < endAt; await wait(intervalMs)) {
            calls.push(call());
        }
    };
    await callFor(1000);
    const { process } = cluster.slots.reduce((a, b) => a.upstream.runs.size > b.upstream.runs.size ? a : b);
    process.kill("SIGSTOP");
    await callFor(silenceMs);
    process.kill("SIGCONT");
    await callFor(500);
    const results = await Promise.all(calls);
    const late = results.filter(({ isCorrect, totalMs }) => !isCorrect || totalMs > patienceMs);
    const found = late.map(({ status, totalMs, text }) => `${status} after ${Math.round(totalMs)} ms: ${text}`);
    expect({ count: results.length, found }).toEqual({ count: results.length, found: [] });
});
