import { afterAll, beforeAll, expect, it } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callChat, callPlain } from "../../src/standin/caller.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";

let cluster: Cluster;

beforeAll(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a" }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine" },
        { instance: "slot-2", dataCentre: "dc-a", pool: "claims", kind: "plain" },
    ]);
    await publishDocument(cluster, createDemoDocument());
});

afterAll(() => cluster.stop());

it("serves a streamed completion and a plain call end to end", async () => {
    const { url } = cluster.entries[0];
    const chat = await callChat(url, "hello", 12, { key: demoKeys.reception });
    const plain = await callPlain(url, "/claims/submit", "claim 1", { key: demoKeys.caseworkers });
    expect([chat.isCorrect, plain.isCorrect]).toMatchInlineSnapshot(`
      [
        true,
        true,
      ]
    `);
});

it("tells a caller with a wrong key that nothing ran", async () => {
    const { status, outcome } = await callPlain(cluster.entries[0].url, "/claims/submit", "x", { key: "wrong" });
    expect({ status, outcome, runs: cluster.slots[1].upstream.runs.size }).toMatchInlineSnapshot(`
      {
        "outcome": "not-run",
        "runs": 1,
        "status": 401,
      }
    `);
});
