import { randomUUID } from "node:crypto";
import { afterAll, beforeAll, expect, it } from "vitest";
import type { LoadReport } from "../../src/core/types.js";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callChat } from "../../src/standin/caller.js";
import { type Cluster, type ClusterSlot, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";
import { formatRequest, openRawConnection } from "../../src/standin/rawConnection.js";
import { authHeader, signCall } from "../../src/wire/auth.js";
import { requestRpc } from "../../src/wire/rpc.js";

let cluster: Cluster;
let plain: ClusterSlot;

beforeAll(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a" }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine" },
        { instance: "slot-2", dataCentre: "dc-a", pool: "claims", kind: "plain" },
    ]);
    plain = cluster.slots[1];
    await publishDocument(cluster, createDemoDocument());
});

afterAll(() => cluster.stop());

const key = `authorization: Bearer ${demoKeys.caseworkers}`;
const claim = "POST /claims HTTP/1.1";
const chat = "POST /v1/chat/completions HTTP/1.1";
const claimHeaders = `${claim}\r\nhost: entry\r\n${key}\r\n`;

interface BadRequestCase {
    name: string;
    text: string;
    status: number;
}

// dprint-ignore
const cases: BadRequestCase[] = [
    { name: "bytes that are no HTTP", text: "\x16\x03\x01 garbage\r\n\r\n", status: 400 },
    { name: "malformed JSON", text: formatRequest(chat, [key], "{\"model\":"), status: 400 },
    { name: "JSON that is no object", text: formatRequest(chat, [key], "7"), status: 404 },
    { name: "unknown model", text: formatRequest(chat, [key], "{\"model\":\"none\"}"), status: 404 },
    { name: "unknown route", text: formatRequest("POST /other HTTP/1.1", [key], "x"), status: 404 },
    { name: "route of another workspace", text: formatRequest(claim, [`authorization: Bearer ${demoKeys.reception}`], "x"), status: 403 },
    { name: "wrong key", text: formatRequest(claim, ["authorization: Bearer wrong"], "x"), status: 401 },
    { name: "no key", text: formatRequest(claim, [], "x"), status: 401 },
    { name: "wrong method", text: formatRequest("GET /v1/chat/completions HTTP/1.1", [key]), status: 405 },
    { name: "TRACE", text: formatRequest("TRACE /claims HTTP/1.1", [key]), status: 405 },
    { name: "path that leaves its route", text: formatRequest("POST /lookups/../claims HTTP/1.1", [key], "x"), status: 400 },
    { name: "path that leaves its route, encoded", text: formatRequest("POST /lookups/%2e%2E%2fclaims HTTP/1.1", [key], "x"), status: 400 },
    { name: "absolute URL", text: formatRequest("POST http://entry/claims HTTP/1.1", [key], "x"), status: 400 },
    { name: "no host", text: `${claim}\r\n${key}\r\ncontent-length: 1\r\n\r\nx`, status: 400 },
    { name: "repeated host", text: formatRequest(claim, [key, "host: other"], "x"), status: 400 },
    { name: "repeated authorization", text: formatRequest(claim, [key, key], "x"), status: 400 },
    { name: "repeated Idempotency-Key", text: formatRequest(claim, [key, "idempotency-key: a", "idempotency-key: b"], "x"), status: 400 },
    { name: "overlong Idempotency-Key", text: formatRequest(claim, [key, `idempotency-key: ${"k".repeat(201)}`], "x"), status: 400 },
    { name: "oversize headers", text: formatRequest(claim, [key, `x-big: ${"h".repeat(20_000)}`], "x"), status: 431 },
    { name: "oversize body", text: formatRequest(claim, [key], "x".repeat(4 * 1024 * 1024 + 1)), status: 413 },
    { name: "body that grows beyond a message when encoded", text: formatRequest(claim, [key], "\x01".repeat(2 * 1024 * 1024)), status: 413 },
    { name: "Content-Length with Transfer-Encoding", text: `${claimHeaders}content-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`, status: 400 },
    { name: "two Content-Lengths", text: `${claimHeaders}content-length: 1\r\ncontent-length: 2\r\n\r\nxy`, status: 400 },
    { name: "negative Content-Length", text: `${claimHeaders}content-length: -1\r\n\r\nx`, status: 400 },
    { name: "Transfer-Encoding that is not chunked", text: `${claimHeaders}transfer-encoding: xchunked\r\n\r\n0\r\n\r\n`, status: 400 },
    { name: "bad chunk size", text: `${claimHeaders}transfer-encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n`, status: 400 },
    { name: "chunk longer than its size", text: `${claimHeaders}transfer-encoding: chunked\r\n\r\n1\r\nxyz\r\n0\r\n\r\n`, status: 400 },
    { name: "folded header", text: `${claimHeaders}x-folded: a\r\n b\r\ncontent-length: 1\r\n\r\nx`, status: 400 },
    { name: "space before a colon", text: `${claimHeaders}content-length : 1\r\n\r\nx`, status: 400 },
    { name: "bare line feeds", text: `${claim}\nhost: entry\n${key}\ncontent-length: 1\n\nx`, status: 400 },
    { name: "NUL in a header", text: formatRequest(claim, [key, "x-nul: a\0b"], "x"), status: 400 },
];

it.each(cases)("refuses $name without running anything, beside a good request", async ({ text, status }) => {
    const runs = plain.upstream.runs.size;
    const { url } = cluster.entries[0];
    const good = callChat(url, "good", 3, { key: demoKeys.reception });
    const caller = openRawConnection(url, text);
    await caller.waitForText(received => /\r\n\r\n.*\}$/s.test(received));
    caller.socket.end();
    const response = await caller.closed;
    const { outcome } = JSON.parse(response.body || "{}") as { outcome?: string; };
    expect([response.status, response.headers["content-type"], outcome]).toEqual([
        status,
        "application/problem+json",
        "not-run",
    ]);
    expect([(await good).isCorrect, plain.upstream.runs.size]).toEqual([true, runs]);
});

it.each(["u=9", "nonsense", "u=", "\"u=1"])(
    "serves a request whose Priority is %s at the default urgency",
    async priority => {
        const text = formatRequest(claim, [key, "connection: close", `priority: ${priority}`], "x");
        const { status, isComplete } = await openRawConnection(cluster.entries[0].url, text).closed;
        expect([status, isComplete]).toEqual([200, true]);
    },
);

const identity = { environment: "production", internalKeys: ["standin-internal-key-1"] };

function formatSigned(path: string, body: string, signed = body): string {
    const signature = signCall(
        identity.internalKeys,
        { environment: identity.environment, path, body: signed },
        Date.now(),
    );
    return formatRequest(`POST ${path} HTTP/1.1`, ["connection: close", `${authHeader}: ${signature}`], body);
}

const createRunBody = (params: object) =>
    JSON.stringify({
        jsonrpc: "2.0",
        id: "1",
        method: "run",
        params: {
            requestId: randomUUID(),
            attempt: 1,
            workspace: "w",
            method: "POST",
            path: "/claims",
            headers: {},
            body: "x",
            idempotent: false,
            urgency: 3,
            tokens: 1,
            deadlineMs: 1000,
            ...params,
        },
    });

// dprint-ignore
it.each([
    { name: "an unsigned call", formatCall: () => formatRequest("POST /run HTTP/1.1", ["connection: close"], createRunBody({})), status: 401 },
    { name: "a call signed for another body", formatCall: () => formatSigned("/run", createRunBody({}), "other"), status: 401 },
    { name: "an unknown path", formatCall: () => formatSigned("/constructor", "{}"), status: 404 },
    { name: "a wrong method", formatCall: () => formatRequest("GET /run HTTP/1.1", ["connection: close"]), status: 404 },
    { name: "malformed JSON", formatCall: () => formatSigned("/run", "{"), status: 400 },
    { name: "a run without an attempt", formatCall: () => formatSigned("/run", createRunBody({ attempt: undefined })), status: 400 },
    { name: "a run of attempt 0", formatCall: () => formatSigned("/run", createRunBody({ attempt: 0 })), status: 400 },
    { name: "a resume with a negative sequence", formatCall: () => formatSigned("/resume", createRunBody({ nextSequence: -1 })), status: 400 },
    { name: "an oversize call", formatCall: () => formatSigned("/run", "x".repeat(8 * 1024 * 1024 + 1)), status: 413 },
    { name: "JSON-RPC that is no JSON", formatCall: () => formatSigned("/rpc", "{"), status: 200, error: -32700 },
    { name: "JSON-RPC of an unknown method", formatCall: () => formatSigned("/rpc", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"none\"}"), status: 200, error: -32601 },
    { name: "JSON-RPC with wrong parameters", formatCall: () => formatSigned("/rpc", "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"revoke\",\"params\":{}}"), status: 200, error: 0 },
])("a slot refuses $name and runs nothing", async ({ formatCall, status, error }) => {
    const runs = plain.upstream.runs.size;
    const response = await openRawConnection(`http://127.0.0.1:${plain.port}`, formatCall()).closed;
    const body = JSON.parse(response.body || "{}") as { error?: { code: number; }; };
    expect([response.status, body.error?.code, plain.upstream.runs.size]).toEqual([status, error, runs]);
});

it("a slot runs a replayed call once", async () => {
    const runs = plain.upstream.runs.size;
    const url = `http://127.0.0.1:${plain.port}`;
    const { incarnation } = await requestRpc<LoadReport>(identity, url, "report", {});
    const text = formatSigned("/run", createRunBody({ incarnation }));
    const first = await openRawConnection(url, text).closed;
    await openRawConnection(url, text).closed;
    expect([first.status, plain.upstream.runs.size]).toEqual([200, runs + 1]);
});
