/**
 * Clients that send many large, small-chunked or unfinished requests ended an entry with slots, or a slot. Each crowd meets
 * programs whose settings name less memory than a real machine has.
 */
import { connect } from "node:net";
import { afterEach, beforeEach, describe, expect, test } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { type Cluster, type ProgramMemory, startCluster } from "../../src/standin/cluster.js";
import {
    createOddHeaderLines,
    createShortHeaderLines,
    encodeChunks,
    openCrowd,
} from "../../src/standin/misbehavingClients.js";
import { callUntilAnswered } from "../../src/standin/ordinaryCaller.js";
import { listExcesses, startUsageSampler, type UsageSampler } from "../../src/standin/processUsage.js";
import type { ProgramProcess } from "../../src/standin/program.js";
import { publishDocument } from "../../src/standin/publish.js";
import type { Address } from "../../src/wire/listen.js";

const memory: ProgramMemory = { settingMb: 240, heapMb: 128 };
/** Limits of an entry for a request, in bytes. */
const maxBodyBytes = 4 * 1024 * 1024;
const maxHeaderBytes = 16_384;
/** Size of the header lines of a request that is inside the limits, in bytes. */
const headerSpace = maxHeaderBytes - 400;
/** Duration of a call to the upstream, in milliseconds. */
const serviceMs = 300;
const caseTimeoutMs = 120_000;

let cluster: Cluster;
const samplers: { program: ProgramProcess; sampler: UsageSampler; }[] = [];
const closers: (() => void)[] = [];

beforeEach(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a", memory }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine", memory },
        { instance: "slot-2", dataCentre: "dc-a", pool: "claims", kind: "plain", serviceMs, memory },
    ]);
    await publishDocument(cluster, createDemoDocument());
    for (const { process: program } of [...cluster.entries, ...cluster.slots]) {
        samplers.push({ program, sampler: startUsageSampler(program.child.pid!) });
    }
});

afterEach(async () => {
    closers.splice(0).forEach(close => close());
    samplers.splice(0).forEach(({ sampler }) => sampler.stop());
    await cluster.stop();
});

const pattern = (bytes: number) => Buffer.alloc(bytes, "0123456789abcdef-");

function formatHead(lines: string[], path = "/lookups/x"): Buffer {
    const fixed = [`POST ${path} HTTP/1.1`, "Host: entry", `Authorization: Bearer ${demoKeys.caseworkers}`];
    return Buffer.from([...fixed, ...lines, "", ""].join("\r\n"));
}

/** Calls the entry as an ordinary caller; resolves to whether the caller is answered in the end. */
async function isOrdinaryAnswered(): Promise<boolean> {
    const address = parseUrl(cluster.entries[0].url);
    const headers = { authorization: `Bearer ${demoKeys.caseworkers}` };
    const body = Buffer.from("ordinary");
    return await callUntilAnswered(() => ({ address, path: "/lookups/x", headers, body })) !== undefined;
}

/** Lists the bounds that the processes have broken. */
async function listFindings(): Promise<string[]> {
    const findings: string[] = [];
    for (const { program: { child, lines }, sampler } of samplers) {
        const isRunning = () => (child.exitCode ?? child.signalCode ?? undefined) === undefined;
        const bounds = { memoryMb: memory.settingMb, maxDescriptors: Infinity };
        const excesses = await listExcesses({ pid: child.pid!, sampler, isRunning }, bounds);
        findings.push(...excesses.map(excess => `${lines[0]?.instance ?? "a program"}: ${excess}`));
    }
    return findings;
}

interface CrowdCase {
    clients: number;
    createParts: () => Buffer[];
    getUrl?: () => string;
}

const rpcHead = () => Buffer.from(`POST /rpc HTTP/1.1\r\nHost: x\r\nContent-Length: ${2 * maxBodyBytes - 100}\r\n\r\n`);

const cases: Record<string, CrowdCase> = {
    "bodies of 60 kB in chunks of 1 byte, left open": {
        clients: 60,
        createParts: () => [formatHead(["Transfer-Encoding: chunked"]), encodeChunks(pattern(60_000), 1)],
    },
    "bodies that lack a byte, in one chunk": {
        clients: 80,
        createParts: () => [
            formatHead(["Transfer-Encoding: chunked"]),
            encodeChunks(pattern(maxBodyBytes - 1), maxBodyBytes),
        ],
    },
    "bodies that lack a byte of their Content-Length, without a route": {
        clients: 80,
        createParts: () => [formatHead([`Content-Length: ${maxBodyBytes}`], "/nowhere"), pattern(maxBodyBytes - 1)],
    },
    "whole bodies of control bytes": {
        clients: 40,
        createParts: () => [formatHead(["Content-Length: 1000000"]), Buffer.alloc(1_000_000, 1)],
    },
    "pipelined requests with short header lines": {
        clients: 30,
        createParts: () =>
            Array.from(
                { length: 300 },
                () => formatHead([...createShortHeaderLines(headerSpace), "Content-Length: 0"]),
            ),
    },
    "unfinished requests with odd header lines": {
        clients: 1760,
        createParts: () => [
            formatHead([...createOddHeaderLines(headerSpace), "Content-Length: 10"]),
            Buffer.from("12345"),
        ],
    },
    "half heads with short header lines": {
        clients: 1600,
        createParts: () => [formatHead(createShortHeaderLines(headerSpace)).subarray(0, -2)],
    },
    "half heads with short header lines behind an answered request": {
        clients: 800,
        createParts: () => [
            formatHead(["Content-Length: 0"]),
            formatHead(createShortHeaderLines(headerSpace)).subarray(0, -2),
        ],
    },
    "chunked bodies with trailers without end": {
        clients: 30,
        createParts: () => [
            formatHead(["Transfer-Encoding: chunked"]),
            encodeChunks(pattern(1000), 100),
            Buffer.from("0\r\n"),
            ...Array.from({ length: 200 }, () => Buffer.from(`${createOddHeaderLines(15_000).join("\r\n")}\r\n`)),
        ],
    },
    "chunks with extensions without end": {
        clients: 30,
        createParts: () => [
            formatHead(["Transfer-Encoding: chunked"]),
            Buffer.from("5;a="),
            Buffer.alloc(1_000_000, "b"),
        ],
    },
    "unfinished calls at the internal port of an entry": {
        clients: 60,
        createParts: () => [rpcHead(), pattern(maxBodyBytes)],
        getUrl: () => cluster.entries[0].internalUrl,
    },
    "unfinished calls at the port of a slot": {
        clients: 60,
        createParts: () => [rpcHead(), pattern(maxBodyBytes)],
        getUrl: () => `http://127.0.0.1:${cluster.slots[1].port}`,
    },
};

function parseUrl(url: string): Address {
    const { hostname, port } = new URL(url);
    return { host: hostname, port: Number(port) };
}

/** Sends one whole request; resolves to the status line, empty without a response. */
function sendWhole(parts: Buffer[]): Promise<string> {
    return new Promise(resolve => {
        const socket = connect({ ...parseUrl(cluster.entries[0].url) });
        closers.push(() => socket.destroy());
        socket.on("error", () => resolve(""));
        socket.on("close", () => resolve(""));
        socket.once("data", chunk => resolve(chunk.toString("latin1").split("\r\n")[0]));
        socket.write(Buffer.concat(parts));
    });
}

describe("an entry and its slots within their memory", () => {
    test("serve one whole body of 1 MB in chunks of 1 byte", async () => {
        const status = await sendWhole([
            formatHead(["Transfer-Encoding: chunked"]),
            encodeChunks(pattern(1_000_000), 1),
            Buffer.from("0\r\n\r\n"),
        ]);
        expect({ status, findings: await listFindings() }).toEqual({ status: "HTTP/1.1 200 OK", findings: [] });
    }, caseTimeoutMs);

    test.each(Object.entries(cases))("serve ordinary callers beside %s, and afterwards", async (name, crowdCase) => {
        const { clients, createParts, getUrl = () => cluster.entries[0].url } = crowdCase;
        const crowd = openCrowd({ address: parseUrl(getUrl()), clients, parts: createParts() });
        closers.push(crowd.close);
        await crowd.sent;
        const isAnsweredBeside = await isOrdinaryAnswered();
        crowd.close();
        const isAnsweredAfterwards = await isOrdinaryAnswered();
        expect({ isAnsweredBeside, isAnsweredAfterwards, findings: await listFindings() }).toEqual({
            isAnsweredBeside: true,
            isAnsweredAfterwards: true,
            findings: [],
        });
    }, caseTimeoutMs);
});
