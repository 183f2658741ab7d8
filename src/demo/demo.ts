/** Runs a small cluster of entries and slots under mixed load, injects faults and prints a summary of the outcomes. */
import { setTimeout as sleep } from "node:timers/promises";
import { callChat, callPlain, type CallResult } from "../standin/caller.js";
import { type Cluster, startCluster } from "../standin/cluster.js";
import { publishDocument } from "../standin/publish.js";
import { createDemoDocument, demoKeys } from "./document.js";
import { addDemoGroup, createGroupSlotOptions, startDemoGroup, summarizeGroup } from "./group.js";
import { printSummary, summarize, type Summary } from "./report.js";

const loadDurationSeconds = 8;
const requestsPerSecond = 40;
const entries = [
    { instance: "entry-1", dataCentre: "dc-a" },
    { instance: "entry-2", dataCentre: "dc-a" },
    { instance: "entry-3", dataCentre: "dc-b" },
];
const slots = [
    { instance: "slot-1", dataCentre: "dc-a", pool: "assistant", kind: "engine" as const },
    { instance: "slot-2", dataCentre: "dc-a", pool: "assistant", kind: "engine" as const },
    { instance: "slot-3", dataCentre: "dc-b", pool: "assistant", kind: "engine" as const },
    { instance: "slot-4", dataCentre: "dc-b", pool: "assistant", kind: "engine" as const },
    { instance: "slot-5", dataCentre: "dc-a", pool: "claims", kind: "plain" as const, serviceMs: 5 },
    { instance: "slot-6", dataCentre: "dc-b", pool: "claims", kind: "plain" as const, serviceMs: 5 },
];

const keepsRunning = process.argv.includes("--keep");
const group = await startDemoGroup();
const cluster = await startCluster(entries, [...slots, ...createGroupSlotOptions(group)]);
let summary: Summary;
try {
    await publishDocument(cluster, addDemoGroup(createDemoDocument()));
    group.takeMeanSkew();
    summary = summarize(await runLoad(cluster), cluster.slots.map(slot => slot.upstream));
    const groupSummary = summarizeGroup(group);
    summary.ok &&= groupSummary.ok;
    Object.assign(summary.figures, groupSummary.figures);
    printSummary(summary);
    if (keepsRunning) {
        await waitForInterrupt(cluster);
    }
}
finally {
    await cluster.stop();
    group.close();
}
process.stdout.write(`${JSON.stringify({ demo: summary.ok ? "ok" : "failed", ...summary.figures })}\n`);
process.exit(summary.ok ? 0 : 1);

async function runLoad(runningCluster: Cluster): Promise<CallResult[]> {
    const requests: Promise<CallResult>[] = [];
    const total = loadDurationSeconds * requestsPerSecond;
    process.stdout.write(`Sending ${total} requests in ${loadDurationSeconds} s.\n`);
    for (let index = 0; index < total; index++) {
        requests.push(sendRequest(runningCluster, index));
        if (index === Math.floor(total * 0.3)) {
            const count = runningCluster.slots[1].proxy.freeze();
            process.stdout.write(`Froze ${count} connections to slot-2 for good.\n`);
        }
        if (index === Math.floor(total * 0.6)) {
            runningCluster.slots[2].process.kill("SIGKILL");
            process.stdout.write("Killed slot-3.\n");
        }
        await sleep(1000 / requestsPerSecond);
    }
    return Promise.all(requests);
}

function sendRequest(runningCluster: Cluster, index: number): Promise<CallResult> {
    const { url } = runningCluster.entries[index % runningCluster.entries.length];
    const senders = [
        () => callChat(url, `guest ${index}`, 10 + index % 30, { key: demoKeys.reception }),
        () => callPlain(url, "/lookups/status", `lookup ${index}`, { key: demoKeys.caseworkers }),
        () => callChat(url, `claim ${index}`, 10 + index % 50, { key: demoKeys.batch, headers: { priority: "u=6" } }),
        () => callPlain(url, "/claims/submit", `claim ${index}`, { key: demoKeys.caseworkers }),
    ];
    return senders[index % senders.length]();
}

async function waitForInterrupt(runningCluster: Cluster): Promise<void> {
    const { url } = runningCluster.entries[0];
    process.stdout.write(`
Try these, and stop with Ctrl-C:
  curl -N ${url}/v1/chat/completions -H 'authorization: Bearer ${demoKeys.reception}' -d '{"model":"assistant","stream":true,"max_tokens":8,"messages":[{"role":"user","content":"hello"}]}'
  curl -i ${url}/lookups/status -H 'authorization: Bearer ${demoKeys.caseworkers}' -d 'who'
  curl -i ${url}/claims/submit -H 'authorization: Bearer ${demoKeys.reception}' -d 'refused'
`);
    await new Promise(resolve => process.once("SIGINT", resolve));
}
