/**
 * Measures the latency, throughput and processor time that requests cost on their path through one entry (ingress
 * proxy) and a slot (sidecar of the upstream), compared with calls straight to the upstream. All are separate processes
 * on one machine, so network latency is not included; this process is the load generator, and its processor time is
 * part of the figures.
 */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { stringify } from "yaml";
import type { InstanceRecord } from "../core/types.js";
import { createDemoDocument, demoKeys } from "../demo/document.js";
import { startFakeInstanceList } from "../standin/instanceList.js";
import { startFakeLog } from "../standin/log.js";
import { type ProgramProcess, startProgram } from "../standin/program.js";
import { publishDocument } from "../standin/publish.js";
import { getPercentileMs, measureCalls, measurePairedCalls, measureStreams, type Target } from "./pathLoad.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

interface MeasuredProcess {
    process: ProgramProcess;
    metricsUrl: string;
}

/** The processes, and the targets of calls: an upstream directly, or a route through the entry and a slot. */
interface PathTestbed {
    entry: MeasuredProcess;
    slots: MeasuredProcess[];
    direct: Target;
    nonIdempotent: Target;
    idempotent: Target;
    chat: Target;
    stop: () => Promise<void>;
}

/** Resource usage since the start of a process, from its metrics. */
interface MetricsUsage {
    cpuSeconds: number;
    rssMb: number;
}

const plainSlotCount = 3;
const engineSlotCount = 3;
const pairedCallsPerSecond = 200;
const callClients = 64;
const streamClients = 300;
const tokensPerStream = 100;
const bytesPerMb = 1024 * 1024;

/** Runs the measurements that `--only` selects, all by default; prints and returns the figures. */
export async function runBench(options: BenchOptions): Promise<object> {
    const seconds = Number(options.flags.seconds ?? 8);
    const testbed = await startPathTestbed();
    try {
        await measureCalls(testbed.nonIdempotent, 16, 2);
        const measurements = {
            latency: runNonIdempotentPair,
            lookupLatency: runIdempotentPair,
            calls: runNonIdempotentCalls,
            lookups: runIdempotentCalls,
            streams: runStreams,
        };
        const figures: Partial<Record<keyof typeof measurements, Row>> = {};
        for (const [name, run] of Object.entries(measurements)) {
            if (options.flags.only === undefined || options.flags.only === name) {
                figures[name as keyof typeof measurements] = await run(testbed, seconds);
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
        await testbed.stop();
    }
}

function runNonIdempotentPair(testbed: PathTestbed, seconds: number) {
    return runPair(testbed, testbed.nonIdempotent, "non-idempotent", seconds);
}

function runIdempotentPair(testbed: PathTestbed, seconds: number) {
    return runPair(testbed, testbed.idempotent, "idempotent", seconds);
}

async function runPair(testbed: PathTestbed, target: Target, load: string, seconds: number) {
    const [direct, proxied] = await measurePairedCalls(testbed.direct, target, pairedCallsPerSecond, seconds);
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

function runNonIdempotentCalls(testbed: PathTestbed, seconds: number) {
    return runCalls(testbed, testbed.nonIdempotent, "plain calls, non-idempotent", seconds);
}

function runIdempotentCalls(testbed: PathTestbed, seconds: number) {
    return runCalls(testbed, testbed.idempotent, "plain calls, idempotent", seconds);
}

async function runCalls(testbed: PathTestbed, target: Target, load: string, seconds: number) {
    const { result, usage } = await measureLoad(testbed, () => measureCalls(target, callClients, seconds));
    const { histogram, calls, seconds: elapsedSeconds } = result;
    return formatLoad(
        load,
        calls,
        elapsedSeconds,
        usage,
        getPercentileMs(histogram, 50),
        getPercentileMs(histogram, 99),
    );
}

async function runStreams(testbed: PathTestbed, seconds: number) {
    const { result, usage } = await measureLoad(
        testbed,
        () => measureStreams(testbed.chat, streamClients, tokensPerStream, seconds),
    );
    const { firstTokenLatency, tokens, seconds: elapsedSeconds } = result;
    return formatLoad(
        "tokens",
        tokens,
        elapsedSeconds,
        usage,
        getPercentileMs(firstTokenLatency, 50),
        getPercentileMs(firstTokenLatency, 99),
    );
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

/** Usage of the processes during a load; the memory is that of the entry. */
interface LoadUsage {
    entryCpuSeconds: number;
    slotCpuSeconds: number;
    generatorCpuSeconds: number;
    rssStartMb: number;
    rssMidMb: number;
    rssEndMb: number;
}

async function measureLoad<T extends { seconds: number; }>(testbed: PathTestbed, run: () => Promise<T>) {
    const before = await readTotalUsage(testbed);
    const generatorBefore = process.cpuUsage();
    const rssSamplesMb: number[] = [];
    const sampler = setInterval(
        () => void readUsageMetrics(testbed.entry).then(usage => rssSamplesMb.push(usage.rssMb)),
        500,
    );
    const result = await run();
    clearInterval(sampler);
    const { user, system } = process.cpuUsage(generatorBefore);
    const after = await readTotalUsage(testbed);
    const usage: LoadUsage = {
        entryCpuSeconds: after.entry.cpuSeconds - before.entry.cpuSeconds,
        slotCpuSeconds: after.slotCpuSeconds - before.slotCpuSeconds,
        generatorCpuSeconds: (user + system) / 1e6,
        rssStartMb: before.entry.rssMb,
        rssMidMb: rssSamplesMb[Math.floor(rssSamplesMb.length / 2)] ?? before.entry.rssMb,
        rssEndMb: after.entry.rssMb,
    };
    return { result, usage };
}

async function readTotalUsage(testbed: PathTestbed) {
    const entry = await readUsageMetrics(testbed.entry);
    const slots = await Promise.all(testbed.slots.map(readUsageMetrics));
    return { entry, slotCpuSeconds: slots.reduce((sum, slot) => sum + slot.cpuSeconds, 0) };
}

async function readUsageMetrics(target: MeasuredProcess): Promise<MetricsUsage> {
    const response = await request(target.metricsUrl);
    const text = await response.body.text();
    const read = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
    return { cpuSeconds: read("process_cpu_seconds_total"), rssMb: read("process_resident_memory_bytes") / bytesPerMb };
}

async function startPathTestbed(): Promise<PathTestbed> {
    const log = await startFakeLog(0);
    const list = await startFakeInstanceList(0);
    const directory = mkdtempSync(join(tmpdir(), "beechdock-path-"));
    const processes: ProgramProcess[] = [];
    const writeFile = (name: string, content: unknown) => {
        const file = join(directory, name);
        writeFileSync(file, typeof content === "string" ? content : stringify(content));
        return file;
    };
    const launchProcess = (name: string, args: string[]) => {
        const process = startProgram(name, args);
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
    list.setInstances(slots.map((slot): InstanceRecord => ({
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
            processes.forEach(child => child.kill("SIGKILL"));
            await Promise.all(processes.map(child => child.exited));
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
