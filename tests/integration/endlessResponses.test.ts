import { readFileSync } from "node:fs";
import { afterEach, describe, expect, it } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { deliveredResponseRetentionMs } from "../../src/slot/runStore.js";
import { callPlain } from "../../src/standin/caller.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import { type EndlessUpstream, soundPath, startEndlessUpstream } from "../../src/standin/endlessUpstream.js";
import type { ProgramProcess } from "../../src/standin/program.js";
import { publishDocument } from "../../src/standin/publish.js";
import { formatRequest, openRawConnection, type RawConnection } from "../../src/standin/rawConnection.js";

const callerCount = 40;
const soundCount = 12;
/** Time that the callers stay, in milliseconds. */
const stayMs = 4000;
/** Memory of a node, of which docs/CAPACITY.md says what a slot and an entry take, in megabytes. */
const maxMemoryMb = 256;
/** Time within which the connections to the upstream are closed when their callers have left, in milliseconds. */
const maxLeaveMs = 5000;

const head = (lines: string[]) => ["HTTP/1.1 200 OK", ...lines, "", ""].join("\r\n");
const events = [head(["Content-Type: text/event-stream"]), `data: ${"x".repeat(100)}\n\n`.repeat(100)] as const;

let cluster: Cluster;
let upstream: EndlessUpstream;
afterEach(() => cluster.stop());

async function startEndlessCluster(begin: string, piece: string, isSlotDirect: boolean): Promise<void> {
    upstream = await startEndlessUpstream(begin, piece);
    const slot = { instance: "slot-1", dataCentre: "dc-a", pool: "claims", kind: "plain" } as const;
    cluster = await startCluster(
        [{ instance: "entry-1", dataCentre: "dc-a" }],
        [{ ...slot, upstream, isUpstreamDirect: true, isSlotDirect }],
    );
    await publishDocument(cluster, createDemoDocument());
}

/** Opens connections that send a request and read nothing. */
function openCallers(httpVersion: string): RawConnection[] {
    return Array.from({ length: callerCount }, () => {
        const headers = [`authorization: Bearer ${demoKeys.caseworkers}`];
        const request = formatRequest(`POST /lookups/endless HTTP/${httpVersion}`, headers, "{}");
        const connection = openRawConnection(cluster.entries[0].url, request);
        connection.socket.pause();
        return connection;
    });
}

async function sendSoundRequests(): Promise<number> {
    const results = [];
    for (let index = 0; index < soundCount; index++) {
        results.push(
            await callPlain(cluster.entries[0].url, soundPath, `{"call":${index}}`, { key: demoKeys.caseworkers }),
        );
    }
    return results.filter(result => result.isCorrect).length;
}

async function countRuns(): Promise<number> {
    const response = await fetch(`http://127.0.0.1:${cluster.slots[0].port}/metrics`);
    return Number(/^beechdock_upstream_runs_total (\d+)$/m.exec(await response.text())?.[1]);
}

function readPeakMemoryMb({ child }: ProgramProcess): number {
    const peak = /VmHWM:\s+(\d+) kB/.exec(readFileSync(`/proc/${child.pid}/status`, "utf8"))![1];
    return Number(peak) / 1024;
}

const wait = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

describe("with slots in the path: 40 responses without end whose callers read nothing and leave", () => {
    it.each([
        ["events", ...events],
        ["chunks of one byte", head(["Transfer-Encoding: chunked"]), "1\r\nx\r\n".repeat(1000)],
        ["control bytes", head([]), "\0".repeat(16_384)],
        ["a line of an event", `${head(["Content-Type: text/event-stream"])}data: `, "x".repeat(10_000)],
    ])("%s: bounded memory, the upstream is left, and sound requests are served", async (title, begin, piece) => {
        await startEndlessCluster(begin, piece, true);
        const callers = openCallers("1.1");
        await wait(stayMs);
        expect(upstream.countOpen()).toBeGreaterThan(0);
        callers.forEach(caller => caller.socket.destroy());
        const closed = expect.poll(() => upstream.countOpen(), { timeout: maxLeaveMs }).toBe(0);
        const served = sendSoundRequests();
        await closed;
        expect(await served).toBe(soundCount);
        // A run that is cancelled while it connects leaves a connection without a request, but none connects twice.
        expect(upstream.countConnections()).toBe(await countRuns());
        expect(readPeakMemoryMb(cluster.slots[0].process)).toBeLessThan(maxMemoryMb);
        expect(readPeakMemoryMb(cluster.entries[0].process)).toBeLessThan(maxMemoryMb);
    });
});

describe("with slots in the path: 40 runs whose slot is not told that their callers have gone", () => {
    it("leaves the upstream when nobody resumes the streams of an entry that was killed", async () => {
        await startEndlessCluster(...events, true);
        openCallers("1.1").forEach(caller => caller.socket.on("error", () => undefined));
        await expect.poll(() => upstream.countOpen(), { timeout: 5000 }).toBeGreaterThan(20);
        cluster.entries[0].process.kill("SIGKILL");
        await expect.poll(() => upstream.countOpen(), { timeout: deliveredResponseRetentionMs + maxLeaveMs }).toBe(0);
    });

    it("leaves the upstream soon after the slot can be reached again", async () => {
        const engine = { firstTokenMs: 20, tokenMs: 20 };
        cluster = await startCluster(
            [{ instance: "entry-1", dataCentre: "dc-a" }],
            [{ instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine", engine }],
        );
        await publishDocument(cluster, createDemoDocument());
        const body = JSON.stringify({ model: "assistant", stream: true, max_tokens: 1200, messages: [] });
        const headers = [`authorization: Bearer ${demoKeys.reception}`];
        const callers = Array.from(
            { length: callerCount },
            () =>
                openRawConnection(
                    cluster.entries[0].url,
                    formatRequest("POST /v1/chat/completions HTTP/1.1", headers, body),
                ),
        );
        const { proxy, upstreamProxy } = cluster.slots[0];
        await expect.poll(() => upstreamProxy.countConnections(), { timeout: 5000 }).toBeGreaterThan(20);
        proxy.cut();
        callers.forEach(caller => caller.socket.destroy());
        await wait(1500);
        proxy.heal();
        await expect.poll(() => upstreamProxy.countConnections(), { timeout: maxLeaveMs }).toBe(0);
    });
});
