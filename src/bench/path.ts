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
import { startFakeInstanceList } from "../standin/instanceList.js";
import { startFakeLog } from "../standin/log.js";
import { type ProgramProcess, startProgram } from "../standin/program.js";
import { publishDocument } from "../standin/publish.js";
import { getPercentile, measureCalls, measurePair, measureStreams, type Target } from "./pathLoad.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

interface Member {
    process: ProgramProcess;
    metricsUrl: string;
}

interface Path {
    entry: Member;
    slots: Member[];
    direct: Target;
    plain: Target;
    lookup: Target;
    chat: Target;
    stop: () => Promise<void>;
}

interface Usage {
    /** Processor time in seconds. */
    cpu: number;
    /** Resident memory in MB. */
    rss: number;
}

const plainSlots = 3;
const engineSlots = 3;
const pairRate = 200;
const callLoops = 64;
const streamLoops = 300;
const streamTokens = 100;
const bytesPerMb = 1024 * 1024;

/** Prints the cost of the path and returns its figures. */
export async function runBench(options: BenchOptions): Promise<object> {
    const seconds = Number(options.flags.seconds ?? 8);
    const path = await startPath();
    try {
        await measureCalls(path.plain, 16, 2);
        const parts = {
            latency: runClaimPair,
            lookupLatency: runLookupPair,
            calls: runClaims,
            lookups: runLookups,
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

function runClaimPair(path: Path, seconds: number) {
    return runPair(path, path.plain, "non-idempotent", seconds);
}

function runLookupPair(path: Path, seconds: number) {
    return runPair(path, path.lookup, "idempotent", seconds);
}

async function runPair(path: Path, target: Target, load: string, seconds: number) {
    const [direct, through] = await measurePair(path.direct, target, pairRate, seconds);
    const [directP50, directP99, p50, p99] = [direct, through].flatMap(
        h => [getPercentile(h, 50), getPercentile(h, 99)],
    );
    return {
        load,
        calls: through.totalCount,
        directP50,
        directP99,
        p50,
        p99,
        addedP50: p50 - directP50,
        addedP99: p99 - directP99,
    };
}

function runClaims(path: Path, seconds: number) {
    return runCalls(path, path.plain, "plain calls, non-idempotent", seconds);
}

function runLookups(path: Path, seconds: number) {
    return runCalls(path, path.lookup, "plain calls, idempotent", seconds);
}

async function runCalls(path: Path, target: Target, load: string, seconds: number) {
    const { result, usage } = await observeLoad(path, () => measureCalls(target, callLoops, seconds));
    const { histogram, calls, seconds: took } = result;
    return formatLoad(load, calls, took, usage, getPercentile(histogram, 50), getPercentile(histogram, 99));
}

async function runStreams(path: Path, seconds: number) {
    const { result, usage } = await observeLoad(
        path,
        () => measureStreams(path.chat, streamLoops, streamTokens, seconds),
    );
    const { firstToken, tokens, seconds: took } = result;
    return formatLoad("tokens", tokens, took, usage, getPercentile(firstToken, 50), getPercentile(firstToken, 99));
}

function formatLoad(load: string, units: number, seconds: number, usage: LoadUsage, p50: number, p99: number) {
    return {
        load,
        perSecond: units / seconds,
        p50Ms: p50,
        p99Ms: p99,
        entryCores: usage.entryCpu / seconds,
        entryCpuUs: usage.entryCpu * 1e6 / units,
        slotCpuUs: usage.slotCpu * 1e6 / units,
        entryRssStartMb: usage.rssStart,
        entryRssMidMb: usage.rssMid,
        entryRssEndMb: usage.rssEnd,
        generatorCores: usage.generatorCpu / seconds,
    };
}

interface LoadUsage {
    entryCpu: number;
    slotCpu: number;
    generatorCpu: number;
    rssStart: number;
    rssMid: number;
    rssEnd: number;
}

async function observeLoad<T extends { seconds: number; }>(path: Path, run: () => Promise<T>) {
    const before = await readAll(path);
    const generator = process.cpuUsage();
    const samples: number[] = [];
    const sampler = setInterval(() => void readUsage(path.entry).then(usage => samples.push(usage.rss)), 500);
    const result = await run();
    clearInterval(sampler);
    const { user, system } = process.cpuUsage(generator);
    const after = await readAll(path);
    const usage: LoadUsage = {
        entryCpu: after.entry.cpu - before.entry.cpu,
        slotCpu: after.slotCpu - before.slotCpu,
        generatorCpu: (user + system) / 1e6,
        rssStart: before.entry.rss,
        rssMid: samples[Math.floor(samples.length / 2)] ?? before.entry.rss,
        rssEnd: after.entry.rss,
    };
    return { result, usage };
}

async function readAll(path: Path) {
    const entry = await readUsage(path.entry);
    const slots = await Promise.all(path.slots.map(readUsage));
    return { entry, slotCpu: slots.reduce((sum, slot) => sum + slot.cpu, 0) };
}

async function readUsage(member: Member): Promise<Usage> {
    const response = await request(member.metricsUrl);
    const text = await response.body.text();
    const read = (name: string) => Number(new RegExp(`^${name} (\\S+)$`, "m").exec(text)?.[1]);
    return { cpu: read("process_cpu_seconds_total"), rss: read("process_resident_memory_bytes") / bytesPerMb };
}

async function startPath(): Promise<Path> {
    const log = await startFakeLog(0);
    const list = await startFakeInstanceList(0);
    const directory = mkdtempSync(join(tmpdir(), "beechdock-path-"));
    const processes: ProgramProcess[] = [];
    const writeFile = (name: string, content: unknown) => {
        const file = join(directory, name);
        writeFileSync(file, typeof content === "string" ? content : stringify(content));
        return file;
    };
    const launch = (name: string, args: string[]) => {
        const process = startProgram(name, args);
        processes.push(process);
        return process;
    };
    const common = {
        dataCentre: "dc-a",
        environment: "production",
        internal: { host: "127.0.0.1", port: 0 },
        platform: { log: log.url, list: list.url },
        internalKeys: ["standin-internal-key-1"],
        logLevel: "info",
    };
    const startSlot = async (pool: string, kind: string, index: number) => {
        const upstream = launch("standin", [kind]);
        const { url } = await upstream.waitForLine(line => "url" in line) as unknown as { url: string; };
        const instance = `${pool}-${index}`;
        const settings = { ...common, instance, pool, upstream: { url, kind } };
        const process = launch("slot", ["--settings", writeFile(`${instance}.yaml`, settings)]);
        const { port } = await process.waitForLine(line => line.msg?.endsWith("The slot listens."));
        return { process, instance, pool, upstreamUrl: url, metricsUrl: `http://127.0.0.1:${port}/metrics` };
    };
    const slots = await Promise.all([
        ...Array.from({ length: plainSlots }, (item, index) => startSlot("claims", "plain", index)),
        ...Array.from({ length: engineSlots }, (item, index) => startSlot("assistant", "engine", index)),
    ]);
    const settings = { ...common, instance: "entry-1", listen: { host: "127.0.0.1", port: 0 } };
    const process = launch("entry", ["--settings", writeFile("entry.yaml", settings)]);
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
        plain: createTarget("/claims/a", demoKeys.caseworkers),
        lookup: createTarget("/lookups/a", demoKeys.caseworkers),
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
