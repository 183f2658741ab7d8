/**
 * Benchmark of configuration propagation: `npm run bench -- config [--entries N] [--slots N]`. Measures real entries
 * and slots with a fake log, then a simulation of 1,280 nodes with a tenth of the links cut. The simulation leaves out
 * latency and timeouts (see gossipSimulation.ts); nodes that can reach the log read it immediately.
 */
import { randomUUID } from "node:crypto";
import { computeDigest } from "../config/digest.js";
import { ConfigPublisher } from "../config/publish.js";
import { configStream } from "../config/records.js";
import { createRandom } from "../core/random.js";
import { createDemoDocument } from "../demo/document.js";
import { createLogClient } from "../log/client.js";
import { type Cluster, environment, startCluster } from "../standin/cluster.js";
import type { LogLine } from "../standin/program.js";
import {
    countNodesWithRevision,
    createGossipSimulation,
    cutLinks,
    deliverRevision,
    runSecond,
    secondMs,
} from "./gossipSimulation.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

/** Number of promotions that are measured with real processes. */
const promotions = 20;
const promotionPauseMs = 500;
const simulatedNodes = 1280;
/** Fraction of the links, and of the nodes' connections to the log, that are cut. */
const cutLinkShare = 0.1;
const maxSimulatedSeconds = 30;
const simulationRuns = 5;
const demoPool = "claims";

/** Measures the time from the append of a promotion until every process has activated it. */
export async function runBench(options: BenchOptions): Promise<object> {
    const entries = Number(options.flags.entries ?? 18);
    const slots = Number(options.flags.slots ?? 19);
    const real = await measureProcesses(entries, slots);
    printTable("Real processes: time from acceptance to activation, in milliseconds", [real]);
    const simulated = Array.from({ length: simulationRuns }, (item, index) => measureSimulation(options.seed + index));
    printTable("Simulation of the decision modules: seconds until all nodes have activated the revision", simulated);
    return { real, model: simulated };
}

async function measureProcesses(entries: number, slots: number): Promise<Row> {
    const dataCentres = ["dc-a", "dc-b", "dc-c"];
    const createInstance = (role: string, index: number) => ({
        instance: `${role}-${index}`,
        dataCentre: dataCentres[index % 3],
    });
    const cluster = await startCluster(
        Array.from({ length: entries }, (item, index) => createInstance("entry", index)),
        Array.from(
            { length: slots },
            (item, index) => ({ ...createInstance("slot", index), pool: demoPool, kind: "plain" }),
        ),
    );
    try {
        const times = await promoteRepeatedly(cluster);
        return { entries, slots, promotions, ...summarizeTimes(times) };
    }
    finally {
        await cluster.stop();
    }
}

async function promoteRepeatedly(cluster: Cluster): Promise<number[]> {
    const log = createLogClient(cluster.log.url);
    const publisher = new ConfigPublisher(log);
    const members = [...cluster.entries, ...cluster.slots];
    const document = createDemoDocument();
    const times: number[] = [];
    for (let revision = 1; revision <= promotions; revision++) {
        const base = revision === 1 ?
            { revision: 0, digest: "" } :
            { revision: revision - 1, digest: computeDigest(document) };
        const id = randomUUID();
        await publisher.promote({ id, environment, base, author: "bench", document });
        const { records } = await log.read(configStream, 0, 0);
        const acceptedAt = records.find(record => record.id === id)!.time;
        const lines = await Promise.all(
            members.map(member =>
                member.process.waitForLine(line =>
                    line.msg.endsWith("A revision is in force.") && line.revision === revision
                )
            ),
        );
        times.push(...lines.map(line => Date.parse((line as LogLine & { time: string; }).time) - acceptedAt));
        await new Promise(resolve => setTimeout(resolve, promotionPauseMs));
    }
    return times;
}

function summarizeTimes(times: number[]): Row {
    const sorted = times.sort((a, b) => a - b);
    const computeQuantile = (quantile: number) =>
        sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))];
    return { "p50 ms": computeQuantile(0.5), "p99 ms": computeQuantile(0.99), "max ms": computeQuantile(1) };
}

function measureSimulation(seed: number): Row {
    const simulation = createGossipSimulation(simulatedNodes, seed);
    cutLinks(simulation, cutLinkShare);
    const random = createRandom(seed);
    const document = createDemoDocument();
    const revision = { revision: 1, digest: computeDigest(document), author: "bench", document };
    const readers = simulation.nodes.filter(() => random.next() >= cutLinkShare);
    readers.forEach(node => deliverRevision(simulation, node, revision));
    let seconds = 0;
    while (countNodesWithRevision(simulation, 1) < simulatedNodes && seconds < maxSimulatedSeconds) {
        runSecond(simulation);
        seconds += 1;
    }
    const lastActivationSeconds = Math.max(...simulation.nodes.map(node => node.activatedAt)) / secondMs;
    const allActivated = countNodesWithRevision(simulation, 1) === simulatedNodes;
    return {
        seed,
        nodes: simulatedNodes,
        "links cut": cutLinkShare,
        readers: readers.length,
        seconds: allActivated ? lastActivationSeconds : "not all",
    };
}
