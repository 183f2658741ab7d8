import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callChat, callPlain } from "../../src/standin/caller.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";
import { formatRequest, openRawConnection, parseRawResponse } from "../../src/standin/rawConnection.js";

let cluster: Cluster;
let url: string;

beforeEach(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a", balancerLagMs: 1000 }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine" },
        { instance: "slot-2", dataCentre: "dc-a", pool: "claims", kind: "plain", serviceMs: 300 },
    ]);
    await publishDocument(cluster, createDemoDocument());
    url = cluster.entries[0].url;
});

afterEach(() => cluster.stop());

const callOptions = { assistant: { key: demoKeys.reception }, claims: { key: demoKeys.caseworkers } };

function openChat(tokens: number, connection: string) {
    const chat = { model: "assistant", stream: true, max_tokens: tokens, messages: [{ role: "user", content: "p" }] };
    const headers = [`authorization: Bearer ${demoKeys.reception}`, `connection: ${connection}`];
    return openRawConnection(url, formatRequest("POST /v1/chat/completions HTTP/1.1", headers, JSON.stringify(chat)));
}

const hasData = (text: string) => text.includes("data: ");

it("finishes every answer after SIGTERM, and serves callers while the balancer lags", async () => {
    const { process } = cluster.entries[0];
    const claim = formatRequest(
        "POST /claims HTTP/1.1",
        [`authorization: Bearer ${demoKeys.caseworkers}`],
        "x".repeat(3_000_000),
    );
    const slowReader = openRawConnection(url, claim);
    slowReader.socket.pause();
    const keptAlive = openChat(200, "keep-alive");
    const streams = Array.from({ length: 8 }, (item, index) => callChat(url, `p${index}`, 150, callOptions.assistant));
    const calls = Array.from(
        { length: 8 },
        (item, index) => callPlain(url, "/claims/a", `c${index}`, callOptions.claims),
    );
    await keptAlive.waitForText(hasData);
    process.kill("SIGTERM");
    await process.waitForLine(line => line.msg.endsWith("The entry is leaving."));
    const ready = await openRawConnection(url, formatRequest("GET /healthz/ready HTTP/1.1", ["connection: close"]))
        .closed;
    const late = await openRawConnection(
        url,
        formatRequest("POST /claims HTTP/1.1", [`authorization: Bearer ${demoKeys.caseworkers}`], "late"),
    ).closed;
    expect([ready.status, late.status, late.isComplete, late.headers.connection]).toEqual([503, 200, true, "close"]);
    const results = await Promise.all([...streams, ...calls]);
    expect(results.filter(result => !result.isCorrect)).toEqual([]);
    await keptAlive.waitForText(text => parseRawResponse(text, false).isComplete);
    slowReader.socket.resume();
    expect([(await slowReader.closed).isComplete, (await keptAlive.closed).isComplete]).toEqual([true, true]);
    expect(await process.exited).toBe(0);
});

it("breaks answers visibly when the entry is killed", async () => {
    const streams = Array.from({ length: 5 }, () => openChat(200, "close"));
    await Promise.all(streams.map(stream => stream.waitForText(hasData)));
    cluster.entries[0].process.kill("SIGKILL");
    const responses = await Promise.all(streams.map(stream => stream.closed));
    expect(responses.map(response => [response.isComplete, response.body.includes("[DONE]")])).toEqual(
        responses.map(() => [false, false]),
    );
});

it("breaks a stream visibly, with a last event, when its slot is killed", async () => {
    const stream = openChat(500, "close");
    await stream.waitForText(hasData);
    cluster.slots[0].process.kill("SIGKILL");
    const { isComplete, body } = await stream.closed;
    const last = body.trimEnd().split("\n\n").pop() ?? "";
    const problem = JSON.parse(last.replace("event: error\ndata: ", "")) as { status: number; outcome: string; };
    expect([isComplete, last.startsWith("event: error\n"), problem.status, problem.outcome]).toEqual([
        false,
        true,
        502,
        "run",
    ]);
});

it("tells unknown when the slot is killed during a non-idempotent call, and runs nothing after it", async () => {
    const { runs } = cluster.slots[1].upstream;
    const before = runs.size;
    const call = callPlain(url, "/claims/a", "c", callOptions.claims);
    // Waits for the run instead of a fixed time, so that the kill hits a running call on a busy machine too.
    await vi.waitUntil(() => runs.size > before, { interval: 5, timeout: 10_000 });
    cluster.slots[1].process.kill("SIGKILL");
    const during = await call;
    const after = await callPlain(url, "/claims/a", "d", callOptions.claims);
    expect([during.status, during.outcome]).toEqual([502, "unknown"]);
    // The proxy before the dead slot may reset a connection before or after the request is written to it.
    const { title } = JSON.parse(after.text) as { title: string; };
    expect([[502, "unknown", "The slot was lost"], [503, "not-run", "No upstream is available"]]).toContainEqual([
        after.status,
        after.outcome,
        title,
    ]);
    expect(runs.get(after.requestId)).toBeUndefined();
});

it("answers an idempotent request whole through another slot when its slot is killed before the first byte", async () => {
    const plan = { instance: "slot-3", dataCentre: "dc-a", pool: "claims", kind: "plain", serviceMs: 300 } as const;
    await cluster.startSlot(plan);
    cluster.updateInstanceList();
    await cluster.entries[0].process.waitForLine(l =>
        l.msg.endsWith("An upstream is known.") && l.upstream === "slot-3"
    );
    const [, first] = cluster.slots;
    const calls = Array.from(
        { length: 10 },
        (item, index) => callPlain(url, "/lookups/a", `l${index}`, callOptions.claims),
    );
    await vi.waitFor(() => expect(first.upstream.runs.size).toBeGreaterThan(0), { interval: 5 });
    first.process.kill("SIGKILL");
    const results = await Promise.all(calls);
    expect(results.filter(result => !result.isCorrect)).toEqual([]);
});

it("reaches a restarted slot with the next request, before any probe has found it", async () => {
    const [, claims] = cluster.slots;
    const results = [];
    for (let i = 0; i < 4; i++) {
        claims.process.kill("SIGKILL");
        await claims.process.exited;
        await cluster.restartSlot(claims);
        results.push(await callPlain(url, "/claims/a", `restart ${i}`, callOptions.claims));
    }
    const problems = results.map(({ status, text }) => status === 200 ? "" : text);
    const runs = results.map(({ requestId }) => claims.upstream.runs.get(requestId));
    expect([problems, results.map(({ isCorrect }) => isCorrect), runs]).toEqual([
        results.map(() => ""),
        results.map(() => true),
        results.map(() => 1),
    ]);
});
