/**
 * Measures processor time, memory and I/O of real processes for the capacity benchmark (capacity.ts): an entry (ingress
 * proxy) and two slots (sidecars of upstreams) on the loopback interface, by the rate of calls, streamed tokens and
 * probes, the number of open streams, and the length of the instance list. To simulate a large cluster with few
 * processes, the list has many instances with the address of one slot, and the benchmark sends the probes of many
 * entries itself.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { createDemoDocument, demoKeys } from "../demo/document.js";
import { callChat, callPlain } from "../standin/caller.js";
import { type Cluster, environment, internalKeys, startCluster } from "../standin/cluster.js";
import type { ProgramProcess } from "../standin/program.js";
import { publishDocument } from "../standin/publish.js";
import { requestRpc } from "../wire/rpc.js";
import type { Measurement } from "./capacity.js";
import { readUsage } from "./usage.js";

const settleMs = 2500;
const sampleSeconds = 5;
/** A long list is polled less often, so its cost can only be measured over a longer time. */
const controlSampleSeconds = 30;
const listSettleMs = 6000;
const entryOptions = { instance: "entry-1", dataCentre: "dc-a" };
const slotOptions = [
    { instance: "slot-1", dataCentre: "dc-a", pool: "claims", kind: "plain" as const },
    { instance: "slot-2", dataCentre: "dc-a", pool: "assistant", kind: "engine" as const },
];

/** Measures an entry and its slots; takes a few minutes. */
export async function measureProcesses(): Promise<Measurement[]> {
    const cluster = await startCluster([entryOptions], slotOptions);
    try {
        await publishDocument(cluster, createDemoDocument());
        return [
            await measureProbes(cluster),
            ...await measurePlainCalls(cluster),
            ...await measureTokenStreams(cluster),
            ...await measureStreamMemory(cluster),
            ...await measureInstanceList(cluster),
        ];
    }
    finally {
        await cluster.stop();
    }
}

/**
 * Measures the cost of control traffic at an idle entry and an idle slot by the length of the instance list. Has to be
 * the last measurement: a long list is polled rarely, so the entry would keep probing the extra instances after their
 * removal, although their address belongs to another instance.
 */
async function measureInstanceList(cluster: Cluster): Promise<Measurement[]> {
    const idleProcesses = { entry: cluster.entries[0].process, slot: cluster.slots[0].process };
    const samples: Record<keyof typeof idleProcesses, { x: number; cpuPercent: number; bytesPerSecond: number; }[]> = {
        entry: [],
        slot: [],
    };
    const [first] = cluster.list.getInstances();
    for (const x of [20, 160, 640, 1280]) {
        const extra = Array.from({ length: x }, (value, index) => ({ ...first, instance: `listed-${index}` }));
        cluster.list.setInstances([...cluster.list.getInstances().slice(0, cluster.slots.length), ...extra]);
        await sleep(listSettleMs);
        const [entry, slot] = await Promise.all([
            sampleUsage(idleProcesses.entry, controlSampleSeconds),
            sampleUsage(idleProcesses.slot, controlSampleSeconds),
        ]);
        samples.entry.push({ x, ...entry });
        samples.slot.push({ x, ...slot });
    }
    const xName = "instances in the list";
    return (["entry", "slot"] as const).flatMap(role => [
        {
            name: `${role}-control-cpu`,
            xName,
            yName: `% of a core, idle ${role}`,
            points: samples[role].map(({ x, cpuPercent }) => ({ x, y: cpuPercent })),
        },
        {
            name: `${role}-control-bytes`,
            xName,
            yName: `bytes a second, idle ${role}`,
            points: samples[role].map(({ x, bytesPerSecond }) => ({ x, y: bytesPerSecond })),
        },
    ]);
}

/** Measures the processor time of a slot by the rate of probes that it responds to. */
async function measureProbes(cluster: Cluster): Promise<Measurement> {
    const slot = cluster.slots[0];
    const identity = { environment, internalKeys };
    const points: Measurement["points"] = [];
    for (const x of [10, 50, 100, 200]) {
        const probe = () =>
            void requestRpc(identity, `http://127.0.0.1:${slot.port}`, "report", {}).catch(() => undefined);
        const stop = scheduleEvery(1000 / x, probe);
        await sleep(settleMs / 2);
        points.push({ x, y: (await sampleUsage(slot.process, sampleSeconds)).cpuPercent });
        stop();
    }
    return { name: "slot-probes-cpu", xName: "probes a second", yName: "% of a core at a slot", points };
}

async function measurePlainCalls(cluster: Cluster): Promise<Measurement[]> {
    const { url } = cluster.entries[0];
    const call = () => void callPlain(url, "/lookups/a", "body", { key: demoKeys.caseworkers });
    return measureRates(cluster, [100, 200, 400, 800], call, 0, "calls", "plain calls a second");
}

async function measureTokenStreams(cluster: Cluster): Promise<Measurement[]> {
    const { url } = cluster.entries[0];
    const tokens = 50;
    const call = () => void callChat(url, "prompt", tokens, { key: demoKeys.reception });
    const rates = await measureRates(cluster, [10, 20, 30, 40], call, 1, "tokens", "streamed tokens a second");
    return rates.map(rate => ({ ...rate, points: rate.points.map(({ x, y }) => ({ x: x * tokens, y })) }));
}

/** Measures the processor time of the entry and a slot at several rates of calls. */
async function measureRates(
    cluster: Cluster,
    rates: number[],
    call: () => void,
    slotIndex: number,
    name: string,
    xName: string,
): Promise<Measurement[]> {
    const entryPoints: Measurement["points"] = [];
    const slotPoints: Measurement["points"] = [];
    for (const x of rates) {
        const stop = scheduleEvery(1000 / x, call);
        await sleep(settleMs);
        const [entry, slot] = await Promise.all([
            sampleUsage(cluster.entries[0].process, sampleSeconds),
            sampleUsage(cluster.slots[slotIndex].process, sampleSeconds),
        ]);
        stop();
        entryPoints.push({ x, y: entry.cpuPercent });
        slotPoints.push({ x, y: slot.cpuPercent });
        await sleep(settleMs / 2);
    }
    return [
        { name: `entry-${name}-cpu`, xName, yName: "% of a core at an entry", points: entryPoints },
        { name: `slot-${name}-cpu`, xName, yName: "% of a core at a slot", points: slotPoints },
    ];
}

/** Measures the memory of the entry and a slot by the number of open streams. */
async function measureStreamMemory(cluster: Cluster): Promise<Measurement[]> {
    const { url } = cluster.entries[0];
    const entryPoints: Measurement["points"] = [];
    const slotPoints: Measurement["points"] = [];
    for (const x of [0, 30, 60, 90]) {
        const calls = Array.from({ length: x }, () => callChat(url, "prompt", 400, { key: demoKeys.reception }));
        await sleep(settleMs);
        entryPoints.push({ x, y: readUsage(cluster.entries[0].process.child.pid!).rssBytes / 1024 });
        slotPoints.push({ x, y: readUsage(cluster.slots[1].process.child.pid!).rssBytes / 1024 });
        await Promise.all(calls);
    }
    const xName = "open streams";
    return [
        { name: "entry-streams-memory", xName, yName: "KB resident at an entry", points: entryPoints },
        { name: "slot-streams-memory", xName, yName: "KB resident at a slot", points: slotPoints },
    ];
}

/** Mean usage of a process over a period. */
interface UsageSample {
    /** Processor time, in percent of one core. */
    cpuPercent: number;
    /** Bytes read and written by system calls. */
    bytesPerSecond: number;
}

async function sampleUsage(process: ProgramProcess, seconds: number): Promise<UsageSample> {
    const pid = process.child.pid!;
    const before = readUsage(pid);
    const startedAt = performance.now();
    await sleep(seconds * 1000);
    const after = readUsage(pid);
    const elapsed = (performance.now() - startedAt) / 1000;
    return {
        cpuPercent: (after.cpuSeconds - before.cpuSeconds) / elapsed * 100,
        bytesPerSecond: (after.ioBytes - before.ioBytes) / elapsed,
    };
}

/**
 * Calls `task` at a steady rate, several times per timer event if the interval is shorter than that of the timer;
 * returns a function that stops the calls.
 */
function scheduleEvery(intervalMs: number, task: () => void): () => void {
    const startedAt = performance.now();
    let calledCount = 0;
    const timer = setInterval(() => {
        const dueCount = Math.floor((performance.now() - startedAt) / intervalMs);
        for (; calledCount < dueCount; calledCount++) {
            task();
        }
    }, Math.max(1, Math.min(20, intervalMs)));
    return () => clearInterval(timer);
}
