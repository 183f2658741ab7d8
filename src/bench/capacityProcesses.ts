/**
 * Slopes of real processes on the loopback interface. Many upstreams are listed that share a few slots, and probes
 * come from the bench itself, so that a few processes stand for many; what each process under test does is real.
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
/** The list is polled less often as it grows, so that what it costs shows over a longer time only. */
const controlSampleSeconds = 30;
const listSettleMs = 6000;
const entryPlan = { instance: "entry-1", dataCentre: "dc-a" };
const slotPlans = [
    { instance: "slot-1", dataCentre: "dc-a", pool: "claims", kind: "plain" as const },
    { instance: "slot-2", dataCentre: "dc-a", pool: "assistant", kind: "engine" as const },
];

/** Measures entries and slots; takes a few minutes. */
export async function measureProcesses(): Promise<Measurement[]> {
    const cluster = await startCluster([entryPlan], slotPlans);
    try {
        await publishDocument(cluster, createDemoDocument());
        return [
            await measureProbes(cluster),
            ...await measureCalls(cluster),
            ...await measureTokens(cluster),
            ...await measureStreams(cluster),
            ...await measureInstances(cluster),
        ];
    }
    finally {
        await cluster.stop();
    }
}

/**
 * Control cost of an idle entry and an idle slot by the instances in the platform's list. Comes last: with a long list,
 * which is polled seldom, the entry would go on watching upstreams that do not answer to their names.
 */
async function measureInstances(cluster: Cluster): Promise<Measurement[]> {
    const members = { entry: cluster.entries[0].process, slot: cluster.slots[0].process };
    const samples: Record<keyof typeof members, { x: number; cpuPercent: number; bytesPerSecond: number; }[]> = {
        entry: [],
        slot: [],
    };
    const [first] = cluster.list.getInstances();
    for (const x of [20, 160, 640, 1280]) {
        const extra = Array.from({ length: x }, (value, index) => ({ ...first, instance: `listed-${index}` }));
        cluster.list.setInstances([...cluster.list.getInstances().slice(0, cluster.slots.length), ...extra]);
        await sleep(listSettleMs);
        const [entry, slot] = await Promise.all([
            sampleProcess(members.entry, controlSampleSeconds),
            sampleProcess(members.slot, controlSampleSeconds),
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

/** Control cost of a slot by the probes that it answers. */
async function measureProbes(cluster: Cluster): Promise<Measurement> {
    const slot = cluster.slots[0];
    const identity = { environment, internalKeys };
    const points: Measurement["points"] = [];
    for (const x of [10, 50, 100, 200]) {
        const probe = () =>
            void requestRpc(identity, `http://127.0.0.1:${slot.port}`, "report", {}).catch(() => undefined);
        const stop = scheduleEvery(1000 / x, probe);
        await sleep(settleMs / 2);
        points.push({ x, y: (await sampleProcess(slot.process, sampleSeconds)).cpuPercent });
        stop();
    }
    return { name: "slot-probes-cpu", xName: "probes a second", yName: "% of a core at a slot", points };
}

async function measureCalls(cluster: Cluster): Promise<Measurement[]> {
    const { url } = cluster.entries[0];
    const call = () => void callPlain(url, "/lookups/a", "body", { key: demoKeys.caseworkers });
    return measureRates(cluster, [100, 200, 400, 800], call, 0, "calls", "plain calls a second");
}

async function measureTokens(cluster: Cluster): Promise<Measurement[]> {
    const { url } = cluster.entries[0];
    const tokens = 50;
    const call = () => void callChat(url, "prompt", tokens, { key: demoKeys.reception });
    const rates = await measureRates(cluster, [10, 20, 30, 40], call, 1, "tokens", "streamed tokens a second");
    return rates.map(rate => ({ ...rate, points: rate.points.map(({ x, y }) => ({ x: x * tokens, y })) }));
}

/** Processor time of the entry and a slot at several rates of calls. */
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
            sampleProcess(cluster.entries[0].process, sampleSeconds),
            sampleProcess(cluster.slots[slotIndex].process, sampleSeconds),
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

/** Memory of the entry and a slot by the streams open through them. */
async function measureStreams(cluster: Cluster): Promise<Measurement[]> {
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

interface Sample {
    cpuPercent: number;
    bytesPerSecond: number;
}

async function sampleProcess(process: ProgramProcess, seconds: number): Promise<Sample> {
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

/** Calls `task` at a steady rate, several times a tick when the interval is shorter than the timer's. */
function scheduleEvery(intervalMs: number, task: () => void): () => void {
    const startedAt = performance.now();
    let done = 0;
    const timer = setInterval(() => {
        const due = Math.floor((performance.now() - startedAt) / intervalMs);
        for (; done < due; done++) {
            task();
        }
    }, Math.max(1, Math.min(20, intervalMs)));
    return () => clearInterval(timer);
}
