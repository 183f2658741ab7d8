/**
 * Benchmark of gossip between nodes (entries and slots): `npm run bench -- peers`. Measures the seconds until all
 * nodes have learned a new revision of the configuration document and that an instance is leaving, and the bytes per
 * second and node. The production modules (`src/peers/gossip.ts` and `src/config/revision.ts`) run in a simulated
 * network with simulated time (see gossipSimulation.ts).
 */
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
/** Minimum duration for which bytes are counted. */
const minMeasuredSeconds = 30;

/** Measures the propagation of a revision from one node, and of the leaving state of another. */
export async function runBench(options: BenchOptions): Promise<object> {
    const rows = nodeCounts.flatMap(nodes => cutLinkShares.map(share => measureCluster(nodes, share, options.seed)));
    printTable(
        "Gossip in a simulation of the decision modules (bytes include HTTP headers, but not TCP and IP headers)",
        rows,
    );
    return { rows };
}

function measureCluster(count: number, cutShare: number, seed: number): Row {
    const simulation = createGossipSimulation(count, seed);
    cutLinks(simulation, cutShare);
    for (let second = 0; second < warmUpSeconds; second++) {
        runSecond(simulation);
    }
    const document = createDemoDocument();
    const revision = { revision: 1, digest: computeDigest(document), author: "bench", document };
    const [firstNode] = simulation.nodes;
    deliverRevision(simulation, firstNode, revision);
    const { self: leavingInstance } = simulation.nodes[1].gossip;
    simulation.nodes[1].gossip.self = { ...leavingInstance, state: "leaving" };
    simulation.nodes.forEach(node => {
        node.bytes = 0;
    });
    const startedAt = simulation.now;
    /** Seconds until all nodes learned the change; 0 before. */
    const secondsToAll = { revision: 0, leaving: 0 };
    let seconds = 0;
    while ((secondsToAll.revision === 0 || secondsToAll.leaving === 0) && seconds < maxSeconds) {
        runSecond(simulation);
        seconds += 1;
        secondsToAll.revision ||= countNodesWithRevision(simulation, 1) === count ? seconds : 0;
        secondsToAll.leaving ||= countNodesAwareOfLeaving(simulation, leavingInstance.instance) === count - 1 ?
            seconds :
            0;
    }
    const propagationSeconds = seconds;
    for (; seconds < Math.max(propagationSeconds, minMeasuredSeconds); seconds++) {
        runSecond(simulation);
    }
    const measuredSeconds = (simulation.now - startedAt) / secondMs;
    const rates = simulation.nodes.map(node => node.bytes / measuredSeconds).sort((a, b) => a - b);
    return {
        nodes: count,
        "links cut": cutShare,
        "s revision": secondsToAll.revision || `over ${maxSeconds}`,
        "s leaving": secondsToAll.leaving || `over ${maxSeconds}`,
        "bytes/s mean": Math.round(rates.reduce((sum, rate) => sum + rate, 0) / count),
        "bytes/s p99": Math.round(rates[Math.floor(rates.length * 0.99)]),
    };
}
