/** Small cluster of real entry and slot processes with fakes of the platform and the upstreams. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import type { InstanceRecord } from "../core/types.js";
import { type FakeEngineOptions, type FakeUpstream, startFakeEngine } from "./engine.js";
import { type FakeInstanceList, startFakeInstanceList } from "./instanceList.js";
import { type FakeLog, startFakeLog } from "./log.js";
import { startFakePlainUpstream } from "./plainUpstream.js";
import { type ProgramProcess, startProgram } from "./program.js";
import { type FaultProxy, startFaultProxy } from "./proxy.js";
import { allocateStablePort } from "./stablePort.js";

/** Settings of an entry process. */
export interface EntryOptions {
    instance: string;
    dataCentre: string;
    /** Log address to use instead of `logProxy`. */
    logUrl?: string;
    /** Setting of the same name, in milliseconds; 0 by default. */
    balancerLagMs?: number;
    memory?: ProgramMemory;
}

/** Memory of a program; unlimited if it is absent. */
export interface ProgramMemory {
    /** Setting `memoryMb`. */
    settingMb: number;
    /** Largest heap of Node.js, in MiB. */
    heapMb: number;
}

/** Settings of a slot process and its upstream. */
export interface SlotOptions {
    instance: string;
    dataCentre: string;
    /** Log address to use instead of `logProxy`. */
    logUrl?: string;
    memory?: ProgramMemory;
    pool: string;
    kind: "engine" | "plain";
    /** Timing of the fake engine, for `kind: "engine"`. */
    engine?: FakeEngineOptions;
    /** Duration of each call to the fake plain service in milliseconds, for `kind: "plain"`. */
    serviceMs?: number;
    group?: { name: string; rank: number; };
    /** Running upstream to use; a fake is started when absent. */
    upstream?: FakeUpstream;
    /** Whether the slot calls its upstream without the proxy, which accepts connections also while the upstream is down. */
    isUpstreamDirect?: boolean;
    /** Whether the entries call the slot without the proxy, which takes any number of bytes ahead of its reader. */
    isSlotDirect?: boolean;
}

export interface ClusterEntry {
    options: EntryOptions;
    process: ProgramProcess;
    /** Address for callers. */
    url: string;
    /** Address for other processes of the cluster. */
    internalUrl: string;
}

export interface ClusterSlot {
    options: SlotOptions;
    process: ProgramProcess;
    /** Proxy between the entries and the slot. */
    proxy: FaultProxy;
    /** Proxy between the slot and its upstream. */
    upstreamProxy: FaultProxy;
    upstream: FakeUpstream;
    /** Port of the slot process itself, behind `proxy`. */
    port: number;
}

export interface Cluster {
    log: FakeLog;
    /** Proxy between the processes and the log. */
    logProxy: FaultProxy;
    list: FakeInstanceList;
    entries: ClusterEntry[];
    slots: ClusterSlot[];
    /** Temporary directory of the settings files; removed by `stop`. */
    directory: string;
    /** Writes a file into `directory` and returns its path; content other than a string is written as YAML. */
    writeFile: (name: string, content: unknown) => string;
    startEntry: (options: EntryOptions) => Promise<ClusterEntry>;
    startSlot: (options: SlotOptions) => Promise<ClusterSlot>;
    /** Starts a new process at the same address for a slot whose process has exited. */
    restartSlot: (slot: ClusterSlot) => Promise<void>;
    /** Publishes the current instances in the instance list; those named in `leaving` are listed as leaving. */
    updateInstanceList: (leaving?: string[]) => void;
    /** Kills all processes and closes the fakes and proxies. */
    stop: () => Promise<void>;
}

/** Environment and internal keys that all processes of the cluster share. */
export const environment = "production";
export const internalKeys = ["standin-internal-key-1", "standin-internal-key-2"];
const defaultEngineOptions: FakeEngineOptions = { firstTokenMs: 20, tokenMs: 10 };

/** Starts the fakes of the platform, then all slots and entries; resolves once they listen. */
export async function startCluster(entries: EntryOptions[], slots: SlotOptions[]): Promise<Cluster> {
    const log = await startFakeLog(0);
    const logProxy = await startFaultProxy(0, Number(new URL(log.url).port));
    const list = await startFakeInstanceList(0);
    const directory = mkdtempSync(join(tmpdir(), "beechdock-"));
    const cluster: Cluster = {
        log,
        logProxy,
        list,
        entries: [],
        slots: [],
        directory,
        writeFile: (name, content) => {
            const path = join(directory, name);
            writeFileSync(path, typeof content === "string" ? content : stringify(content));
            return path;
        },
        startEntry: options => startEntry(cluster, options),
        startSlot: options => startSlot(cluster, options),
        restartSlot: slot => restartSlot(cluster, slot),
        updateInstanceList: (leaving = []) => list.setInstances(createInstanceRecords(cluster, leaving)),
        stop: () => stopCluster(cluster),
    };
    await Promise.all(slots.map(options => startSlot(cluster, options)));
    cluster.slots.sort((a, b) => a.options.instance.localeCompare(b.options.instance));
    await Promise.all(entries.map(options => startEntry(cluster, options)));
    cluster.entries.sort((a, b) => a.options.instance.localeCompare(b.options.instance));
    cluster.updateInstanceList();
    return cluster;
}

function createCommonSettings(cluster: Cluster, options: EntryOptions | SlotOptions): Record<string, unknown> {
    return {
        instance: options.instance,
        dataCentre: options.dataCentre,
        environment,
        platform: { log: options.logUrl ?? cluster.logProxy.url, list: cluster.list.url },
        internalKeys,
        ...(options.memory === undefined ? {} : { memoryMb: options.memory.settingMb }),
    };
}

function createNodeArgs({ memory }: EntryOptions | SlotOptions): string[] {
    return memory === undefined ? [] : [`--max-old-space-size=${memory.heapMb}`, "--max-semi-space-size=2"];
}

async function startEntry(cluster: Cluster, options: EntryOptions): Promise<ClusterEntry> {
    const settings = cluster.writeFile(`${options.instance}.yaml`, {
        ...createCommonSettings(cluster, options),
        listen: { host: "127.0.0.1", port: 0 },
        internal: { host: "127.0.0.1", port: 0 },
        balancerLagMs: options.balancerLagMs ?? 0,
    });
    const process = startProgram("entry", ["--settings", settings], createNodeArgs(options));
    const line = await process.waitForLine(l => l.msg.endsWith("The entry listens."));
    const entry: ClusterEntry = {
        options,
        process,
        url: `http://127.0.0.1:${line.port}`,
        internalUrl: `http://127.0.0.1:${line.internalPort}`,
    };
    cluster.entries.push(entry);
    return entry;
}

async function startSlot(cluster: Cluster, options: SlotOptions): Promise<ClusterSlot> {
    const upstream = options.upstream ?? await startUpstream(options);
    const upstreamProxy = await startFaultProxy(0, Number(new URL(upstream.url).port));
    const { process, port } = await startSlotProcess(cluster, options, upstreamProxy, await allocateStablePort());
    const proxy = await startFaultProxy(0, port);
    const slot: ClusterSlot = { options, process, proxy, upstreamProxy, upstream, port };
    cluster.slots.push(slot);
    return slot;
}

function startUpstream(options: SlotOptions): Promise<FakeUpstream> {
    return options.kind === "engine" ?
        startFakeEngine(0, options.engine ?? defaultEngineOptions) :
        startFakePlainUpstream(0, options.serviceMs ?? 0);
}

async function startSlotProcess(cluster: Cluster, options: SlotOptions, upstreamProxy: FaultProxy, port: number) {
    const settings = cluster.writeFile(`${options.instance}.yaml`, {
        ...createCommonSettings(cluster, options),
        internal: { host: "127.0.0.1", port },
        pool: options.pool,
        upstream: {
            url: options.isUpstreamDirect === true ? options.upstream!.url : upstreamProxy.url,
            kind: options.kind,
            ...(options.group === undefined ? {} : { ordersUrl: upstreamProxy.url }),
        },
        ...(options.group === undefined ? {} : { group: options.group }),
    });
    const process = startProgram("slot", ["--settings", settings], createNodeArgs(options));
    const line = await process.waitForLine(l => l.msg.endsWith("The slot listens."));
    return { process, port: line.port! };
}

async function restartSlot(cluster: Cluster, slot: ClusterSlot): Promise<void> {
    const { process } = await startSlotProcess(cluster, slot.options, slot.upstreamProxy, slot.port);
    slot.process = process;
}

function createInstanceRecords(cluster: Cluster, leaving: string[]): InstanceRecord[] {
    const entries = cluster.entries.map((entry): InstanceRecord => ({
        instance: entry.options.instance,
        role: "entry",
        dataCentre: entry.options.dataCentre,
        url: entry.internalUrl,
        state: leaving.includes(entry.options.instance) ? "leaving" : "live",
    }));
    const slots = cluster.slots.map((slot): InstanceRecord => ({
        instance: slot.options.instance,
        role: "slot",
        dataCentre: slot.options.dataCentre,
        url: slot.options.isSlotDirect === true ? `http://127.0.0.1:${slot.port}` : slot.proxy.url,
        pool: slot.options.pool,
        group: slot.options.group?.name,
        rank: slot.options.group?.rank,
        state: leaving.includes(slot.options.instance) ? "leaving" : "live",
    }));
    return [...entries, ...slots];
}

async function stopCluster(cluster: Cluster): Promise<void> {
    const processes = [...cluster.entries, ...cluster.slots].map(member => member.process);
    processes.forEach(process => process.kill("SIGKILL"));
    await Promise.all(processes.map(process => process.exited));
    cluster.slots.forEach(slot => {
        slot.proxy.close();
        slot.upstreamProxy.close();
        slot.upstream.close();
    });
    cluster.logProxy.close();
    cluster.log.close();
    cluster.list.close();
    rmSync(cluster.directory, { recursive: true, force: true });
}
