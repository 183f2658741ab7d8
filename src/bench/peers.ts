/** Bench of gossip: rounds until everybody knows, and bytes per node and second, by the decision modules alone. */
import { computeDigest } from "../config/digest.js";
import { createDemoDocument } from "../demo/document.js";
import {
    countInForce,
    countLeaving,
    createDriver,
    cutLinks,
    deliverRevision,
    roundMs,
    runRound,
} from "./gossipDriver.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

const sizes = [40, 160, 640, 1280];
const cutShares = [0, 0.1];
const warmUpRounds = 3;
const maxRounds = 60;
const rateRounds = 30;

/** Measures the spread of a revision and of a leaving mark, both told to one node only. */
export async function runBench(options: BenchOptions): Promise<object> {
    const rows = sizes.flatMap(nodes => cutShares.map(share => measureSize(nodes, share, options.seed)));
    printTable("Gossip by the decision modules, faked time (HTTP headers counted, TCP and IP not)", rows);
    return { rows };
}

function measureSize(count: number, cutShare: number, seed: number): Row {
    const driver = createDriver(count, seed);
    cutLinks(driver, cutShare);
    for (let round = 0; round < warmUpRounds; round++) {
        runRound(driver);
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
    let rounds = 0;
    while ((done.revision === 0 || done.leaving === 0) && rounds < maxRounds) {
        runRound(driver);
        rounds += 1;
        done.revision ||= countInForce(driver, 1) === count ? rounds : 0;
        done.leaving ||= countLeaving(driver, self.instance) === count - 1 ? rounds : 0;
    }
    const spreadRounds = rounds;
    for (; rounds < Math.max(spreadRounds, rateRounds); rounds++) {
        runRound(driver);
    }
    const seconds = (driver.now - startedAt) / roundMs;
    const rates = driver.nodes.map(node => node.bytes / seconds).sort((a, b) => a - b);
    return {
        nodes: count,
        "links cut": cutShare,
        "rounds revision": done.revision || `over ${maxRounds}`,
        "rounds leaving": done.leaving || `over ${maxRounds}`,
        "bytes/s mean": Math.round(rates.reduce((sum, rate) => sum + rate, 0) / count),
        "bytes/s p99": Math.round(rates[Math.floor(rates.length * 0.99)]),
    };
}
