/**
 * Bench of the spread of configuration: real processes over the log's stand-in, then the decision modules of 1,280
 * nodes with a tenth of the links cut. The latter leaves out latency and time-outs (see gossipDriver.ts); the log is
 * read at once by each node whose link to it is whole.
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
import { countInForce, createDriver, cutLinks, deliverRevision, runSecond, secondMs } from "./gossipDriver.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

const promotions = 20;
const pauseMs = 500;
const modelNodes = 1280;
const cutShare = 0.1;
const maxSeconds = 30;
const modelRuns = 5;
const demoPool = "claims";

/** Measures the time from the append of a promotion until every process runs it. */
export async function runBench(options: BenchOptions): Promise<object> {
    const entries = Number(options.flags.entries ?? 18);
    const slots = Number(options.flags.slots ?? 19);
    const real = await measureProcesses(entries, slots);
    printTable("Real processes: from accepted to in force, in milliseconds", [real]);
    const model = Array.from({ length: modelRuns }, (item, index) => measureModel(options.seed + index));
    printTable("Decision modules, faked time: seconds until all run the revision", model);
    return { real, model };
}

async function measureProcesses(entries: number, slots: number): Promise<Row> {
    const dataCentres = ["dc-a", "dc-b", "dc-c"];
    const plan = (role: string, index: number) => ({
        instance: `${role}-${index}`,
        dataCentre: dataCentres[index % 3],
    });
    const cluster = await startCluster(
        Array.from({ length: entries }, (item, index) => plan("entry", index)),
        Array.from({ length: slots }, (item, index) => ({ ...plan("slot", index), pool: demoPool, kind: "plain" })),
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
        const accepted = records.find(record => record.id === id)!.time;
        const lines = await Promise.all(
            members.map(member =>
                member.process.waitForLine(l => l.msg.endsWith("A revision is in force.") && l.revision === revision)
            ),
        );
        times.push(...lines.map(line => Date.parse((line as LogLine & { time: string; }).time) - accepted));
        await new Promise(resolve => setTimeout(resolve, pauseMs));
    }
    return times;
}

function summarizeTimes(times: number[]): Row {
    const sorted = times.sort((a, b) => a - b);
    const pick = (share: number) => sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))];
    return { "p50 ms": pick(0.5), "p99 ms": pick(0.99), "max ms": pick(1) };
}

function measureModel(seed: number): Row {
    const driver = createDriver(modelNodes, seed);
    cutLinks(driver, cutShare);
    const random = createRandom(seed);
    const document = createDemoDocument();
    const offer = { revision: 1, digest: computeDigest(document), author: "bench", document };
    const readers = driver.nodes.filter(() => random.next() >= cutShare);
    readers.forEach(node => deliverRevision(driver, node, offer));
    let seconds = 0;
    while (countInForce(driver, 1) < modelNodes && seconds < maxSeconds) {
        runSecond(driver);
        seconds += 1;
    }
    const last = Math.max(...driver.nodes.map(node => node.inForceAt)) / secondMs;
    const all = countInForce(driver, 1) === modelNodes;
    return { seed, nodes: modelNodes, "links cut": cutShare, readers: readers.length, seconds: all ? last : "not all" };
}
