/**
 * Cost of the path through one entry and slots, with real processes on one machine: stand-ins of upstreams, slots and
 * the entry are processes of their own; the load generator is this process, whose processor share is shown.
 * Loopback only, so the network's own latency is left out.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { stringify } from "yaml";
import type { InstanceRecord } from "../core/types.js";
import { createDemoDocument, demoKeys } from "../demo/document.js";
import { startListStandin } from "../standin/list.js";
import { startLogStandin } from "../standin/log.js";
import { type StandinProcess, startProcess } from "../standin/process.js";
import { publishDocument } from "../standin/publish.js";
import { getPercentileMs, measureCalls, measurePairedCalls, measureStreams, type Target } from "./pathLoad.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

interface MeasuredProcess {
    process: StandinProcess;
    metricsUrl: string;
}

interface Testbed {
    entry: MeasuredProcess;
    slots: MeasuredProcess[];
    direct: Target;
    nonIdempotent: Target;
    idempotent: Target;
    chat: Target;
    stop: () => Promise<void>;
}

interface MetricsUsage {
    /** Processor time in seconds. */
    cpuSeconds: number;
    /** Resident memory in MB. */
    rssMb: number;
}

const plainSlotCount = 3;
const engineSlotCount = 3;
const pairedCallsPerSecond = 200;
const callClients = 64;
const streamClients = 300;
const tokensPerStream = 100;
const bytesPerMb = 1024 * 1024;

/** Prints the cost of the path and returns its figures. */
export async function runBench(options: BenchOptions): Promise<object> {
    const seconds = Number(options.flags.seconds ?? 8);
    const path = await startTestbed();
    try {
        await measureCalls(path.nonIdempotent, 16, 2);
        const parts = {
            latency: runNonIdempotentPair,
            lookupLatency: runIdempotentPair,
            calls: runNonIdempotentCalls,
            lookups: runIdempotentCalls,
            streams: runStreams,
        };
        const figures: Partial<Record<keyof typeof parts, Row>> = {};
        for (const [name, run] of Object.entries(parts)) {
            if (options.flags.only === undefined || options.flags.only === name) {
                figures[name as keyof typeof parts] = await run(path, seconds);
            }
        }
        const { latency, lookupLatency, calls, lookups, streams } = figures;
        const isRow = (row: Row | undefined) => row !== undefined;
        printTable(
            "Plain calls at a moderate rate, direct and through entry and slot, paired (ms)",
            [latency, lookupLatency].filter(isRow),
        );
        printTable("One entry under load", [calls, lookups, streams].filter(isRow));
        return figures;
    }
    finally {
        await path.stop();
    }
}

function runNonIdempotentPair(path: Testbed, seconds: number) {
    return runPair(path, path.nonIdempotent, "non-idempotent", seconds);
}

function runIdempotentPair(path: Testbed, seconds: number) {
    return runPair(path, path.idempotent, "idempotent", seconds);
}

async function runPair(path: Testbed, target: Target, load: string, seconds: number) {
    const [direct, proxied] = await measurePairedCalls(path.direct, target, pairedCallsPerSecond, seconds);
    const [directP50, directP99, p50, p99] = [direct, proxied].flatMap(
        h => [getPercentileMs(h, 50), getPercentileMs(h, 99)],
    );
    return {
        load,
        calls: proxied.totalCount,
        directP50,
        directP99,
        p50,
        p99,
        addedP50: p50 - directP50,
        addedP99: p99 - directP99,
    };
}

function runNonIdempotentCalls(path: Testbed, seconds: number) {
    return runCalls(path, path.nonIdempotent, "plain calls, non-idempotent", seconds);
}

function runIdempotentCalls(path: Testbed, seconds: number) {
    return runCalls(path, path.idempotent, "plain calls, idempotent", seconds);
}

async function runCalls(path: Testbed, target: Target, load: string, seconds: number) {
    const { result, usage } = await measureLoad(path, () => measureCalls(target, callClients, seconds));
    const { histogram, calls, seconds: took } = result;
    return formatLoad(load, calls, took, usage, getPercentileMs(histogram, 50), getPercentileMs(histogram, 99));
}

async function runStreams(path: Testbed, seconds: number) {
    const { result, usage } = await measureLoad(
        path,
        () => measureStreams(path.chat, streamClients, tokensPerStream, seconds),
    );
    const { firstTokenLatency: firstToken, tokens, seconds: took } = result;
    return formatLoad("tokens", tokens, took, usage, getPercentileMs(firstToken, 50), getPercentileMs(firstToken, 99));
}

function formatLoad(load: string, units: number, seconds: number, usage: LoadUsage, p50: number, p99: number) {
    return {
        load,
        perSecond: units / seconds,
        p50Ms: p50,
        p99Ms: p99,
        entryCores: usage.entryCpuSeconds / seconds,
        entryCpuUs: usage.entryCpuSeconds * 1e6 / units,
        slotCpuUs: usage.slotCpuSeconds * 1e6 / units,
        entryRssStartMb: usage.rssStartMb,
        entryRssMidMb: usage.rssMidMb,
        entryRssEndMb: usage.rssEndMb,
        generatorCores: usage.generatorCpuSeconds / seconds,
    };
}

interface LoadUsage {
    entryCpuSeconds: number;
    slotCpuSeconds: number;
    generatorCpuSeconds: number;
    rssStartMb: number;
    rssMidMb: number;
    rssEndMb: number;
}

async function measureLoad<T extends { seconds: number; }>(path: Testbed, run: () => Promise<T>) {
    const before = await readTotalUsage(path);
    const generator = process.cpuUsage();
    const samples: number[] = [];
    const sampler = setInterval(() => void readUsageMetrics(path.entry).then(usage => samples.push(usage.rssMb)), 500);
    const result = await run();
    clearInterval(sampler);
    const { user, system } = process.cpuUsage(generator);
    const after = await readTotalUsage(path);
    const usage: LoadUsage = {
        entryCpuSeconds: after.entry.cpuSeconds - before.entry.cpuSeconds,
        slotCpuSeconds: after.slotCpu - before.slotCpu,
        generatorCpuSeconds: (user + system) / 1e6,
        rssStartMb: before.entry.rssMb,
        rssMidMb: samples[Math.floor(samples.length / 2)] ?? before.entry.rssMb,
        rssEndMb: after.entry.rssMb,
    };
    return { result, usage };
}

async function readTotalUsage(path: Testbed) {
    const entry = await readUsageMetrics(path.entry);
    const slots = await Promise.all(path.slots.map(readUsageMetrics));
    return { entry, slotCpu: slots.reduce((sum, slot) => sum + slot.cpuSeconds, 0) };
}

async function readUsageMetrics(member: MeasuredProcess): Promise<MetricsUsage> {
    const response = await request(member.metricsUrl);
    const text = await response.body.text();
    const read = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
    return { cpuSeconds: read("process_cpu_seconds_total"), rssMb: read("process_resident_memory_bytes") / bytesPerMb };
}

async function startTestbed(): Promise<Testbed> {
    const log = await startLogStandin(0);
    const list = await startListStandin(0);
    const directory = mkdtempSync(join(tmpdir(), "beechdock-path-"));
    const processes: StandinProcess[] = [];
    const writeFile = (name: string, content: unknown) => {
        const file = join(directory, name);
        writeFileSync(file, typeof content === "string" ? content : stringify(content));
        return file;
    };
    const launchProcess = (name: string, args: string[]) => {
        const process = startProcess(name, args);
        processes.push(process);
        return process;
    };
    const commonSettings = {
        dataCentre: "dc-a",
        environment: "production",
        internal: { host: "127.0.0.1", port: 0 },
        platform: { log: log.url, list: list.url },
        internalKeys: ["standin-internal-key-1"],
        logLevel: "info",
    };
    const startSlot = async (pool: string, kind: string, index: number) => {
        const upstream = launchProcess("standin", [kind]);
        const { url } = await upstream.waitForLine(line => "url" in line) as unknown as { url: string; };
        const instance = `${pool}-${index}`;
        const settings = { ...commonSettings, instance, pool, upstream: { url, kind } };
        const process = launchProcess("slot", ["--settings", writeFile(`${instance}.yaml`, settings)]);
        const { port } = await process.waitForLine(line => line.msg?.endsWith("The slot listens."));
        return { process, instance, pool, upstreamUrl: url, metricsUrl: `http://127.0.0.1:${port}/metrics` };
    };
    const slots = await Promise.all([
        ...Array.from({ length: plainSlotCount }, (item, index) => startSlot("claims", "plain", index)),
        ...Array.from({ length: engineSlotCount }, (item, index) => startSlot("assistant", "engine", index)),
    ]);
    const settings = { ...commonSettings, instance: "entry-1", listen: { host: "127.0.0.1", port: 0 } };
    const process = launchProcess("entry", ["--settings", writeFile("entry.yaml", settings)]);
    const line = await process.waitForLine(l => l.msg?.endsWith("The entry listens."));
    const { port, internalPort } = line as unknown as { port: number; internalPort: number; };
    list.set(slots.map((slot): InstanceRecord => ({
        instance: slot.instance,
        role: "slot",
        dataCentre: "dc-a",
        url: slot.metricsUrl.replace("/metrics", ""),
        pool: slot.pool,
        state: "live",
    })));
    await publishDocument({ log, writeFile, entries: [{ process }], slots }, createBenchDocument());
    const createTarget = (path: string, key: string): Target => ({
        url: `http://127.0.0.1:${port}${path}`,
        headers: { authorization: `Bearer ${key}`, "content-type": "application/json" },
    });
    return {
        entry: { process, metricsUrl: `http://127.0.0.1:${internalPort}/metrics` },
        slots,
        direct: { url: `${slots[0].upstreamUrl}/claims/a`, headers: { "content-type": "application/json" } },
        nonIdempotent: createTarget("/claims/a", demoKeys.caseworkers),
        idempotent: createTarget("/lookups/a", demoKeys.caseworkers),
        chat: createTarget("/v1/chat/completions", demoKeys.reception),
        stop: async () => {
            processes.forEach(member => member.kill("SIGKILL"));
            await Promise.all(processes.map(member => member.exited));
            log.close();
            list.close();
            rmSync(directory, { recursive: true, force: true });
        },
    };
}

function createBenchDocument(): object {
    const document = createDemoDocument() as { pools: { concurrency: number; tokens?: number; queue: number; }[]; };
    document.pools.forEach(pool => Object.assign(pool, { concurrency: 512, tokens: 1_000_000, queue: 1024 }));
    return document;
}
