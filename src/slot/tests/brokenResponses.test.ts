import { afterEach, describe, expect, it } from "vitest";
import {
    type BodyFraming,
    ConnectionEnding,
    type PreparedResponse,
    sendPreparedResponse,
    startBrokenUpstream,
} from "../../standin/brokenUpstream.js";
import { fakeLoadReport } from "../../standin/fakeSlot.js";
import { createRunParams } from "../../standin/runParams.js";
import type { FrameBody } from "../../wire/messages.js";
import { executeRun } from "../execute.js";
import { beginRun, createRunStore } from "../runStore.js";
import { createUpstreamClient, upstreamTimeouts } from "../upstream.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

/** A reset may overtake the bytes before it, so each case runs several times. */
const runsPerCase = 5;
const framings: BodyFraming[] = ["length", "chunked", "connection"];
const endings = Object.values(ConnectionEnding);
const cases = framings.flatMap(framing =>
    endings.flatMap(ending => ["close", "keep-alive"].map(connection => ({ framing, ending, connection })))
);
const params = createRunParams();

/**
 * Runs one request with `headers` at an upstream that sends `response`; returns the body that was relayed and the last
 * frame's kind.
 */
async function runOnce(
    response: PreparedResponse,
    headers: Record<string, string> = {},
): Promise<{ body: string; end: string; }> {
    const upstream = await startBrokenUpstream(socket => sendPreparedResponse(socket, response));
    closers.push(upstream.close);
    const store = createRunStore("i1", { responseBytes: 1e6, totalBytes: 1e6, records: 10 });
    const runParams = { ...params, headers };
    const begun = beginRun(store, runParams, Date.now());
    const record = begun.kind === "begin" ? begun.record : expect.unreachable();
    const frames: FrameBody[] = [];
    const client = createUpstreamClient(
        `http://${upstream.host}:${upstream.port}`,
        upstreamTimeouts.plain,
        () => undefined,
    );
    await executeRun({
        store,
        upstream: client,
        emit: (run, frame) => frames.push(frame),
        report: () => fakeLoadReport,
        observeResponse: () => false,
        resumeCallbacks: new Set(),
    }, { record, params: runParams, abortController: new AbortController(), listeners: new Set() });
    return {
        body: frames.map(frame => frame.kind === "data" ? frame.data : "").join(""),
        end: frames.at(-1)!.kind,
    };
}

describe("slot", () => {
    it.each(cases)(
        "does not end a stream as complete that its upstream broke off: $framing, $ending, $connection",
        async ({ framing, ending, connection }) => {
            const headers = ["Content-Type: text/event-stream", `Connection: ${connection}`];
            const ends = new Set<string>();
            for (const lineEnd of ["\n", "\r\n"]) {
                const event = `id: 1${lineEnd}data: a${lineEnd}${lineEnd}`;
                const body = event.repeat(2);
                for (const sentBytes of [4, event.length - 1, event.length + 4, body.length - 1]) {
                    for (let i = 0; i < runsPerCase; i++) {
                        ends.add((await runOnce({ framing, ending, headers, body, sentBytes })).end);
                    }
                }
            }
            expect([...ends]).toEqual(["failed"]);
        },
    );

    // An orderly close behind part of a body without a length or chunks cannot be told from its end.
    it.each(cases.filter(({ framing, ending }) => framing !== "connection" || ending === "reset"))(
        "does not end a body as complete that its upstream broke off: $framing, $ending, $connection",
        async ({ framing, ending, connection }) => {
            const headers = ["Content-Type: application/json", `Connection: ${connection}`];
            const ends = new Set<string>();
            for (let i = 0; i < runsPerCase; i++) {
                ends.add((await runOnce({ framing, ending, headers, body: "x".repeat(100), sentBytes: 90 })).end);
            }
            expect([...ends]).toEqual(["failed"]);
        },
    );

    it.each(cases)(
        "ends a whole response as complete: $framing, $ending, $connection",
        async ({ framing, ending, connection }) => {
            const ends = new Set<string>();
            for (const type of ["application/json", "text/event-stream"]) {
                const headers = [`Content-Type: ${type}`, `Connection: ${connection}`];
                const body = "data: a\n\n";
                const result = await runOnce({ framing, ending, headers, body });
                ends.add(`${result.end} ${result.body === body}`);
            }
            // Without a length or chunks, a reset behind the last byte cannot be told from a break.
            const expected = framing === "connection" && ending === "reset" ? "failed true" : "end true";
            expect([...ends]).toEqual([expected]);
        },
    );

    it("does not end a stream as complete that ended with its connection before its first event", async () => {
        const headers = ["Content-Type: text/event-stream"];
        const response: PreparedResponse = { framing: "connection", ending: "close", headers, body: "" };
        expect((await runOnce(response)).end).toBe("failed");
    });

    it.each(["length", "chunked"] as const)(
        "does not end a stream as complete that holds no event, unless its caller has all events: %s",
        async framing => {
            const headers = ["Content-Type: text/event-stream"];
            const bodies = ["", ": ping\n\n"];
            const run = (body: string, requestHeaders?: Record<string, string>) =>
                runOnce({ framing, ending: "close", headers, body }, requestHeaders);
            const fresh = await Promise.all(bodies.map(body => run(body)));
            const unnamed = await Promise.all(bodies.map(body => run(body, { "last-event-id": "" })));
            const resumed = await Promise.all(bodies.map(body => run(body, { "last-event-id": "7" })));
            const ends = [fresh, unnamed, resumed].map(results => results.map(({ end }) => end));
            expect(ends).toEqual([["failed", "failed"], ["failed", "failed"], ["end", "end"]]);
        },
    );

    it("relays an error without a body as complete, whatever its type", async () => {
        const headers = ["Content-Type: text/event-stream"];
        const { end } = await runOnce({ status: 404, framing: "length", ending: "close", headers, body: "" });
        expect(end).toBe("end");
    });

    it("relays a stream whole whose event ids fall", async () => {
        const headers = ["Content-Type: text/event-stream"];
        const body = "id: 2\ndata: a\n\nid: 1\ndata: b\n\n";
        expect(await runOnce({ framing: "chunked", ending: "close", headers, body })).toEqual({ body, end: "end" });
    });

    it.each(["chunked, identity", "identity", "gzip", "gzip, chunked", "chunked, chunked"])(
        "relays no body in a transfer coding that cannot be decoded: %s",
        async coding => {
            const headers = [`Transfer-Encoding: ${coding}`];
            const body = "5\r\nhello\r\n0\r\n\r\n";
            const result = await runOnce({ framing: "connection", ending: "close", headers, body });
            expect(result).toEqual({ body: "", end: "failed" });
        },
    );
});
