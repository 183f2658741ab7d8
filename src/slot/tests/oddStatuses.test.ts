/** A status code that HTTP does not have was passed on as the head of a response, and told as a fault of the slot. */
import { afterEach, expect, test } from "vitest";
import { startBrokenUpstream } from "../../standin/brokenUpstream.js";
import { fakeLoadReport } from "../../standin/fakeSlot.js";
import { oddStatuses } from "../../standin/oddStatuses.js";
import { createRunParams } from "../../standin/runParams.js";
import type { FrameBody } from "../../wire/messages.js";
import { executeRun } from "../execute.js";
import { beginRun, createRunStore } from "../runStore.js";
import { createUpstreamClient, upstreamTimeouts } from "../upstream.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

const framings = ["Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "\r\nok"];
const params = createRunParams();

async function runOnce(response: string): Promise<string> {
    const upstream = await startBrokenUpstream(socket => socket.end(response));
    closers.push(upstream.close);
    const store = createRunStore("i1", { responseBytes: 1e6, totalBytes: 1e6, records: 10 });
    const begun = beginRun(store, params, Date.now());
    const record = begun.kind === "begin" ? begun.record : expect.unreachable();
    const frames: FrameBody[] = [];
    const url = `http://${upstream.host}:${upstream.port}`;
    await executeRun({
        store,
        upstream: createUpstreamClient(url, upstreamTimeouts.plain, () => undefined),
        emit: (run, frame) => frames.push(frame),
        report: () => fakeLoadReport,
        observeResponse: () => false,
        resumeCallbacks: new Set(),
    }, { record, params, abortController: new AbortController(), listeners: new Set() });
    return frames.map(frame => frame.kind === "failed" ? `failed ${frame.status}` : frame.kind).join(", ");
}

test("an odd status is a failure of the upstream", async () => {
    const outcomes = new Set<string>();
    for (const status of oddStatuses) {
        for (const framing of framings) {
            outcomes.add(await runOnce(`HTTP/1.1 ${status} Odd\r\nContent-Type: text/plain\r\n${framing}`));
        }
    }
    expect([...outcomes]).toEqual(["failed 502"]);
});
