/** Bench of gossip: seconds until everybody knows, and bytes per node and second, by the decision modules alone. */
import { computeDigest } from "../config/digest.js";
import { createDemoDocument } from "../demo/document.js";
import {
    countNodesAwareOfLeaving,
    countNodesWithRevision,
    createGossipSimulation,
    cutLinks,
    deliverRevision,
    runSecond,
    secondMs,
} from "./gossipSimulation.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

const nodeCounts = [40, 160, 640, 1280];
const cutLinkShares = [0, 0.1];
const warmUpSeconds = 3;
const maxSeconds = 60;
const minMeasuredSeconds = 30;

/** Measures the spread of a revision and of a leaving mark, both told to one node only. */
export async function runBench(options: BenchOptions): Promise<object> {
    const rows = nodeCounts.flatMap(nodes => cutLinkShares.map(share => measureSize(nodes, share, options.seed)));
    printTable("Gossip by the decision modules, faked time (HTTP headers counted, TCP and IP not)", rows);
    return { rows };
}

function measureSize(count: number, cutShare: number, seed: number): Row {
    const driver = createGossipSimulation(count, seed);
    cutLinks(driver, cutShare);
    for (let round = 0; round < warmUpSeconds; round++) {
        runSecond(driver);
    }
    const document = createDemoDocument();
    const offer = { revision: 1, digest: computeDigest(document), author: "bench", document };
    const [first] = driver.nodes;
    deliverRevision(driver, first, offer);
    const { self } = driver.nodes[1].gossip;
    driver.nodes[1].gossip.self = { ...self, state: "leaving" };
    driver.nodes.forEach(node => {
        node.bytes = 0;
    });
    const startedAt = driver.now;
    const done = { revision: 0, leaving: 0 };
    let seconds = 0;
    while ((done.revision === 0 || done.leaving === 0) && seconds < maxSeconds) {
        runSecond(driver);
        seconds += 1;
        done.revision ||= countNodesWithRevision(driver, 1) === count ? seconds : 0;
        done.leaving ||= countNodesAwareOfLeaving(driver, self.instance) === count - 1 ? seconds : 0;
    }
    const spreadSeconds = seconds;
    for (; seconds < Math.max(spreadSeconds, minMeasuredSeconds); seconds++) {
        runSecond(driver);
    }
    const measured = (driver.now - startedAt) / secondMs;
    const rates = driver.nodes.map(node => node.bytes / measured).sort((a, b) => a - b);
    return {
        nodes: count,
        "links cut": cutShare,
        "s revision": done.revision || `over ${maxSeconds}`,
        "s leaving": done.leaving || `over ${maxSeconds}`,
        "bytes/s mean": Math.round(rates.reduce((sum, rate) => sum + rate, 0) / count),
        "bytes/s p99": Math.round(rates[Math.floor(rates.length * 0.99)]),
    };
}
