import { afterEach, beforeEach, describe, expect, it, vi } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callChat, callPlain } from "../../src/standin/caller.js";
import { type Cluster, type ClusterSlot, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";

const engine = { firstTokenMs: 20, tokenMs: 25 };
let cluster: Cluster;

function startClusterOf(kinds: ("engine" | "plain")[], serviceMs = 0): Promise<Cluster> {
    return startCluster(
        [{ instance: "entry-1", dataCentre: "dc-a" }],
        kinds.map((kind, index) => ({
            instance: `slot-${index + 1}`,
            dataCentre: "dc-a",
            pool: kind === "engine" ? "assistant" : "claims",
            kind,
            engine,
            serviceMs,
        })),
    );
}

function sendChat(prompt: string, tokens: number) {
    return callChat(cluster.entries[0].url, prompt, tokens, { key: demoKeys.reception });
}

function sendClaim(body: string) {
    return callPlain(cluster.entries[0].url, "/claims/submit", body, { key: demoKeys.caseworkers });
}

function waitForRuns(slots: ClusterSlot[], count: number) {
    return vi.waitFor(() => {
        const runs = slots.reduce((sum, slot) => sum + slot.upstream.runs.size, 0);
        expect(runs).toBeGreaterThanOrEqual(count);
    }, { timeout: 10_000, interval: 5 });
}

afterEach(() => cluster.stop());

describe("a slot that is told to stop", () => {
    beforeEach(async () => {
        cluster = await startClusterOf(["engine", "engine"]);
        await publishDocument(cluster, createDemoDocument());
    });

    it("cuts no streamed answer and takes no new work", async () => {
        const calls = Array.from({ length: 12 }, (call, index) => sendChat(`early ${index}`, 40));
        await waitForRuns(cluster.slots, 12);
        const [leaving] = cluster.slots;
        leaving.process.kill("SIGTERM");
        await leaving.process.waitForLine(line => line.msg.includes("is leaving"));
        const before = leaving.upstream.runs.size;
        const later = await Promise.all(Array.from({ length: 8 }, (call, index) => sendChat(`late ${index}`, 4)));
        const early = await Promise.all(calls);
        const code = await leaving.process.exited;
        const whole = [...early, ...later].filter(result => result.isCorrect).length;
        expect({ whole, newRuns: leaving.upstream.runs.size - before, code }).toMatchInlineSnapshot(`
          {
            "code": 0,
            "newRuns": 0,
            "whole": 20,
          }
        `);
    });

    it("refuses work at once although the list shows it live for 5 s more", async () => {
        cluster.list.faults.lagMs = 5000;
        cluster.updateInstanceList([cluster.slots[0].options.instance]);
        const [leaving] = cluster.slots;
        const call = sendChat("early", 60);
        await waitForRuns(cluster.slots, 1);
        leaving.process.kill("SIGTERM");
        await leaving.process.waitForLine(line => line.msg.includes("is leaving"));
        const before = leaving.upstream.runs.size;
        const later = await Promise.all(Array.from({ length: 10 }, (item, index) => sendChat(`late ${index}`, 4)));
        const early = await call;
        const whole = [early, ...later].filter(result => result.isCorrect).length;
        expect({ whole, newRuns: leaving.upstream.runs.size - before }).toMatchInlineSnapshot(`
          {
            "newRuns": 0,
            "whole": 11,
          }
        `);
    });

    it("still gives an answer whole to an entry whose connection went silent", async () => {
        const calls = Array.from({ length: 6 }, (call, index) => sendChat(`prompt ${index}`, 20));
        await waitForRuns(cluster.slots, 6);
        cluster.slots.forEach(slot => slot.process.kill("SIGTERM"));
        cluster.slots.forEach(slot => slot.proxy.freeze());
        const results = await Promise.all(calls);
        expect(results.filter(result => result.isCorrect).length).toMatchInlineSnapshot(`6`);
    });
});

describe("a connection to the upstream that goes silent", () => {
    it("breaks a streamed answer visibly, and the next request is served", async () => {
        cluster = await startClusterOf(["engine"]);
        await publishDocument(cluster, createDemoDocument());
        const call = sendChat("prompt", 400);
        await waitForRuns(cluster.slots, 1);
        await vi.waitFor(async () => expect(await readMetric("beechdock_answer_buffer_bytes")).toBeGreaterThan(1500));
        cluster.slots[0].upstreamProxy.freeze();
        const broken = await call;
        const next = await sendChat("next", 4);
        expect({
            status: broken.status,
            whole: broken.isCorrect,
            wrong: broken.isMismatched,
            next: next.isCorrect,
            silences: await readMetric("beechdock_upstream_silences_total"),
        }).toMatchInlineSnapshot(`
          {
            "next": true,
            "silences": 1,
            "status": 200,
            "whole": false,
            "wrong": false,
          }
        `);
    });

    it("tells unknown for a request that can't be repeated, and does not repeat it", async () => {
        cluster = await startClusterOf(["plain", "plain"], 300);
        const document = createDemoDocument() as { routes: { path: string; deadlineSeconds?: number; }[]; };
        document.routes.forEach(route => route.deadlineSeconds = 3);
        await publishDocument(cluster, document);
        const call = sendClaim("claim");
        await waitForRuns(cluster.slots, 1);
        cluster.slots.forEach(slot => slot.upstreamProxy.freeze());
        const { outcome } = await call;
        const runs = cluster.slots.reduce((sum, slot) => sum + slot.upstream.runs.size, 0);
        expect({ outcome, runs }).toMatchInlineSnapshot(`
          {
            "outcome": "unknown",
            "runs": 1,
          }
        `);
    });
});

async function readMetric(name: string): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${cluster.slots[0].port}/metrics`);
    const line = (await response.text()).split("\n").find(text => text.startsWith(`${name} `));
    return Number(line?.split(" ")[1]);
}
