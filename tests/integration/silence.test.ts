import { afterAll, beforeAll, expect, it, vi } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import type { JournalRecord } from "../../src/entry/journal.js";
import { callPlain } from "../../src/standin/caller.js";
import { type Cluster, type ClusterSlot, startCluster } from "../../src/standin/cluster.js";
import { generateTokens } from "../../src/standin/engine.js";
import { publishDocument } from "../../src/standin/publish.js";
import { formatRequest, openRawConnection } from "../../src/standin/rawConnection.js";
import { requestRpc } from "../../src/wire/rpc.js";

let cluster: Cluster;
let engine: ClusterSlot;
let plain: ClusterSlot;

beforeAll(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a" }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine" },
        { instance: "slot-2", dataCentre: "dc-a", pool: "claims", kind: "plain", serviceMs: 150 },
    ]);
    [engine, plain] = cluster.slots;
    await publishDocument(cluster, createDemoDocument());
});

afterAll(() => cluster.stop());

const callClaim = (body: string) =>
    callPlain(cluster.entries[0].url, "/claims/submit", body, { key: demoKeys.caseworkers });

const callLookup = (body: string) =>
    callPlain(cluster.entries[0].url, "/lookups/status", body, { key: demoKeys.caseworkers });

async function explainRequest(requestId: string): Promise<JournalRecord> {
    const { process } = cluster.entries[0];
    const line = await process.waitForLine(l => l.msg.endsWith("The entry listens."));
    const { internalPort } = line as unknown as { internalPort: number; };
    const identity = { environment: "production", internalKeys: ["standin-internal-key-1"] };
    return requestRpc<JournalRecord>(identity, `http://127.0.0.1:${internalPort}`, "explain", { requestId });
}

function openChat(tokens: number) {
    const chat = { model: "assistant", stream: true, max_tokens: tokens, messages: [{ role: "user", content: "p" }] };
    const headers = [`authorization: Bearer ${demoKeys.reception}`, "connection: close"];
    const request = formatRequest("POST /v1/chat/completions HTTP/1.1", headers, JSON.stringify(chat));
    return { chat, caller: openRawConnection(cluster.entries[0].url, request) };
}

function formatEvents(words: string[]): string {
    const events = words.map((word, id) =>
        `id: ${id}\ndata: ${JSON.stringify({ choices: [{ delta: { content: word } }] })}`
    );
    return [...events, "data: [DONE]"].map(event => `${event}\n\n`).join("");
}

function expectSingleRuns(): void {
    expect([...plain.upstream.runs.values(), ...engine.upstream.runs.values()].filter(runs => runs > 1)).toEqual([]);
}

it.each([1, 2])(
    "resumes a stream whose connection goes silent for good %i times, in order and nothing twice",
    async times => {
        const { chat, caller } = openChat(100);
        for (let i = 0; i < times; i++) {
            const receivedLength = caller.getText().length;
            await caller.waitForText(text => text.length > receivedLength + 400);
            expect(engine.proxy.freeze()).toBeGreaterThan(0);
        }
        const { body, isComplete } = await caller.closed;
        expect([isComplete, body]).toEqual([true, formatEvents(generateTokens(chat))]);
        expectSingleRuns();
    },
);

it.each([
    ["non-idempotent", callClaim],
    ["idempotent", callLookup],
])("answers %s calls whole, once, when all idle connections went silent", async (name, call) => {
    const createBodies = (text: string) => Array.from({ length: 8 }, (item, index) => `${text} ${index}`);
    await Promise.all(createBodies("warm").map(callLookup));
    expect(plain.proxy.freeze()).toBeGreaterThanOrEqual(8);
    const results = await Promise.all(createBodies("after").map(call));
    expect(results.map(result => [result.isCorrect, result.status, result.outcome])).toEqual(
        results.map(() => [true, 200, "run"]),
    );
    expectSingleRuns();
});

it("fetches the answer of a non-idempotent call whose connection goes silent while it runs", async () => {
    const before = plain.upstream.runs.size;
    const call = callClaim("runs");
    await vi.waitFor(() => expect(plain.upstream.runs.size).toBe(before + 1), { interval: 5 });
    plain.proxy.freeze();
    expect((await call).isCorrect).toBe(true);
    expectSingleRuns();
});

it("runs a non-idempotent call once when its connection goes silent before the slot has read it", async () => {
    const before = plain.upstream.runs.size;
    plain.proxy.reset();
    await vi.waitFor(() => expect(plain.proxy.countConnections()).toBe(1), { interval: 5, timeout: 5000 });
    plain.proxy.setDelay(200);
    const call = callClaim("lost");
    await vi.waitFor(() => expect(plain.proxy.countConnections()).toBe(2), { interval: 5 });
    plain.proxy.freeze();
    plain.proxy.setDelay(0);
    const { isCorrect, requestId } = await call;
    expect([isCorrect, plain.upstream.runs.size]).toEqual([true, before + 1]);
    expectSingleRuns();
    const { outcome, route, attempts } = await explainRequest(requestId);
    const verdicts = attempts.map(({ attempt, instance, verdict }) => ({ attempt, instance, verdict }));
    expect({ outcome, route, verdicts }).toMatchInlineSnapshot(`
      {
        "outcome": "run",
        "route": "/claims",
        "verdicts": [
          {
            "attempt": 1,
            "instance": "slot-2",
            "verdict": "never-arrived",
          },
          {
            "attempt": 2,
            "instance": "slot-2",
            "verdict": "answered",
          },
        ],
      }
    `);
});

it("tells a truthful outcome at once when the slot cannot be reached any more", async () => {
    const before = plain.upstream.runs.size;
    const call = callClaim("cut");
    await vi.waitFor(() => expect(plain.upstream.runs.size).toBe(before + 1), { interval: 5 });
    plain.proxy.cut();
    const { status, outcome } = await call;
    plain.proxy.heal();
    expect([status, outcome]).toEqual([502, "unknown"]);
    expectSingleRuns();
});
