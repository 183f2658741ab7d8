/** A small cluster of real entries and slots before stand-ins of the platform and the upstreams. */
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { stringify } from "yaml";
import type { InstanceRecord } from "../core/types.js";
import { type EngineOptions, startEngineStandin, type UpstreamStandin } from "./engine.js";
import { type ListStandin, startListStandin } from "./list.js";
import { type LogStandin, startLogStandin } from "./log.js";
import { startPlainStandin } from "./plain.js";
import { type StandinProcess, startProcess } from "./process.js";
import { type FaultProxy, startFaultProxy } from "./proxy.js";

export interface EntryPlan {
    instance: string;
    dataCentre: string;
    /** Address of the log in place of the proxy before it. */
    logUrl?: string;
    balancerLagMs?: number;
}

export interface SlotPlan {
    instance: string;
    dataCentre: string;
    /** Address of the log in place of the proxy before it. */
    logUrl?: string;
    pool: string;
    kind: "engine" | "plain";
    engine?: EngineOptions;
    serviceMs?: number;
    group?: { name: string; rank: number; };
    /** Upstream that is already running; one is started when absent. */
    upstream?: UpstreamStandin;
}

export interface ClusterEntry {
    plan: EntryPlan;
    process: StandinProcess;
    url: string;
    internalUrl: string;
}

export interface ClusterSlot {
    plan: SlotPlan;
    process: StandinProcess;
    /** Proxy between entries and the slot. */
    proxy: FaultProxy;
    /** Proxy between the slot and its upstream. */
    upstreamProxy: FaultProxy;
    upstream: UpstreamStandin;
    port: number;
}

export interface Cluster {
    log: LogStandin;
    logProxy: FaultProxy;
    list: ListStandin;
    entries: ClusterEntry[];
    slots: ClusterSlot[];
    directory: string;
    /** Writes a file into the cluster's directory and returns its path. */
    writeFile: (name: string, content: unknown) => string;
    startEntry: (plan: EntryPlan) => Promise<ClusterEntry>;
    startSlot: (plan: SlotPlan) => Promise<ClusterSlot>;
    /** Starts a new process for a slot whose process has ended, at the same address. */
    restartSlot: (slot: ClusterSlot) => Promise<void>;
    /** Puts the true instances into the list, with `leaving` ones marked. */
    listInstances: (leaving?: string[]) => void;
    stop: () => Promise<void>;
}

export const environment = "production";
export const internalKeys = ["standin-internal-key-1", "standin-internal-key-2"];
const defaultEngine: EngineOptions = { firstTokenMs: 20, tokenMs: 10 };

/** Starts the platform's stand-ins, then all slots and entries; resolves once they listen. */
export async function startCluster(entries: EntryPlan[], slots: SlotPlan[]): Promise<Cluster> {
    const log = await startLogStandin(0);
    const logProxy = await startFaultProxy(0, Number(new URL(log.url).port));
    const list = await startListStandin(0);
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
        startEntry: plan => startEntry(cluster, plan),
        startSlot: plan => startSlot(cluster, plan),
        restartSlot: slot => restartSlot(cluster, slot),
        listInstances: (leaving = []) => list.set(createInstances(cluster, leaving)),
        stop: () => stopCluster(cluster),
    };
    await Promise.all(slots.map(plan => startSlot(cluster, plan)));
    cluster.slots.sort((a, b) => a.plan.instance.localeCompare(b.plan.instance));
    await Promise.all(entries.map(plan => startEntry(cluster, plan)));
    cluster.entries.sort((a, b) => a.plan.instance.localeCompare(b.plan.instance));
    cluster.listInstances();
    return cluster;
}

function createCommonSettings(cluster: Cluster, plan: EntryPlan | SlotPlan): Record<string, unknown> {
    return {
        instance: plan.instance,
        dataCentre: plan.dataCentre,
        environment,
        platform: { log: plan.logUrl ?? cluster.logProxy.url, list: cluster.list.url },
        internalKeys,
    };
}

async function startEntry(cluster: Cluster, plan: EntryPlan): Promise<ClusterEntry> {
    const settings = cluster.writeFile(`${plan.instance}.yaml`, {
        ...createCommonSettings(cluster, plan),
        listen: { host: "127.0.0.1", port: 0 },
        internal: { host: "127.0.0.1", port: 0 },
        balancerLagMs: plan.balancerLagMs ?? 0,
    });
    const process = startProcess("entry", ["--settings", settings]);
    const line = await process.waitForLine(l => l.msg.endsWith("The entry listens."));
    const entry: ClusterEntry = {
        plan,
        process,
        url: `http://127.0.0.1:${line.port}`,
        internalUrl: `http://127.0.0.1:${line.internalPort}`,
    };
    cluster.entries.push(entry);
    return entry;
}

async function startSlot(cluster: Cluster, plan: SlotPlan): Promise<ClusterSlot> {
    const upstream = plan.upstream ?? await startUpstream(plan);
    const upstreamProxy = await startFaultProxy(0, Number(new URL(upstream.url).port));
    const { process, port } = await startSlotProcess(cluster, plan, upstreamProxy, 0);
    const proxy = await startFaultProxy(0, port);
    const slot: ClusterSlot = { plan, process, proxy, upstreamProxy, upstream, port };
    cluster.slots.push(slot);
    return slot;
}

function startUpstream(plan: SlotPlan): Promise<UpstreamStandin> {
    return plan.kind === "engine" ?
        startEngineStandin(0, plan.engine ?? defaultEngine) :
        startPlainStandin(0, plan.serviceMs ?? 0);
}

async function startSlotProcess(cluster: Cluster, plan: SlotPlan, upstreamProxy: FaultProxy, port: number) {
    const settings = cluster.writeFile(`${plan.instance}.yaml`, {
        ...createCommonSettings(cluster, plan),
        internal: { host: "127.0.0.1", port },
        pool: plan.pool,
        upstream: {
            url: upstreamProxy.url,
            kind: plan.kind,
            ...(plan.group === undefined ? {} : { ordersUrl: upstreamProxy.url }),
        },
        ...(plan.group === undefined ? {} : { group: plan.group }),
    });
    const process = startProcess("slot", ["--settings", settings]);
    const line = await process.waitForLine(l => l.msg.endsWith("The slot listens."));
    return { process, port: line.port! };
}

async function restartSlot(cluster: Cluster, slot: ClusterSlot): Promise<void> {
    const { process } = await startSlotProcess(cluster, slot.plan, slot.upstreamProxy, slot.port);
    slot.process = process;
}

function createInstances(cluster: Cluster, leaving: string[]): InstanceRecord[] {
    const entries = cluster.entries.map((entry): InstanceRecord => ({
        instance: entry.plan.instance,
        role: "entry",
        dataCentre: entry.plan.dataCentre,
        url: entry.internalUrl,
        state: leaving.includes(entry.plan.instance) ? "leaving" : "live",
    }));
    const slots = cluster.slots.map((slot): InstanceRecord => ({
        instance: slot.plan.instance,
        role: "slot",
        dataCentre: slot.plan.dataCentre,
        url: slot.proxy.url,
        pool: slot.plan.pool,
        group: slot.plan.group?.name,
        rank: slot.plan.group?.rank,
        state: leaving.includes(slot.plan.instance) ? "leaving" : "live",
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
