/** A small cluster of real entries and slots before stand-ins of the platform and the upstreams. */
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

export interface EntryOptions {
    instance: string;
    dataCentre: string;
    /** Address of the log in place of the proxy before it. */
    logUrl?: string;
    balancerLagMs?: number;
}

export interface SlotOptions {
    instance: string;
    dataCentre: string;
    /** Address of the log in place of the proxy before it. */
    logUrl?: string;
    pool: string;
    kind: "engine" | "plain";
    engine?: FakeEngineOptions;
    serviceMs?: number;
    group?: { name: string; rank: number; };
    /** Upstream that is already running; one is started when absent. */
    upstream?: FakeUpstream;
}

export interface ClusterEntry {
    options: EntryOptions;
    process: ProgramProcess;
    url: string;
    internalUrl: string;
}

export interface ClusterSlot {
    options: SlotOptions;
    process: ProgramProcess;
    /** Proxy between entries and the slot. */
    proxy: FaultProxy;
    /** Proxy between the slot and its upstream. */
    upstreamProxy: FaultProxy;
    upstream: FakeUpstream;
    port: number;
}

export interface Cluster {
    log: FakeLog;
    logProxy: FaultProxy;
    list: FakeInstanceList;
    entries: ClusterEntry[];
    slots: ClusterSlot[];
    directory: string;
    /** Writes a file into the cluster's directory and returns its path. */
    writeFile: (name: string, content: unknown) => string;
    startEntry: (options: EntryOptions) => Promise<ClusterEntry>;
    startSlot: (options: SlotOptions) => Promise<ClusterSlot>;
    /** Starts a new process for a slot whose process has ended, at the same address. */
    restartSlot: (slot: ClusterSlot) => Promise<void>;
    /** Puts the true instances into the list, with `leaving` ones marked. */
    updateInstanceList: (leaving?: string[]) => void;
    stop: () => Promise<void>;
}

export const environment = "production";
export const internalKeys = ["standin-internal-key-1", "standin-internal-key-2"];
const defaultEngineOptions: FakeEngineOptions = { firstTokenMs: 20, tokenMs: 10 };

/** Starts the platform's stand-ins, then all slots and entries; resolves once they listen. */
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
    };
}

async function startEntry(cluster: Cluster, options: EntryOptions): Promise<ClusterEntry> {
    const settings = cluster.writeFile(`${options.instance}.yaml`, {
        ...createCommonSettings(cluster, options),
        listen: { host: "127.0.0.1", port: 0 },
        internal: { host: "127.0.0.1", port: 0 },
        balancerLagMs: options.balancerLagMs ?? 0,
    });
    const process = startProgram("entry", ["--settings", settings]);
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
    const { process, port } = await startSlotProcess(cluster, options, upstreamProxy, 0);
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
            url: upstreamProxy.url,
            kind: options.kind,
            ...(options.group === undefined ? {} : { ordersUrl: upstreamProxy.url }),
        },
        ...(options.group === undefined ? {} : { group: options.group }),
    });
    const process = startProgram("slot", ["--settings", settings]);
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
        url: slot.proxy.url,
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
