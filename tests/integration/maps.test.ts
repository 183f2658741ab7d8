import { setTimeout as sleep } from "node:timers/promises";
import { afterAll, beforeAll, expect, it } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callChat } from "../../src/standin/caller.js";
import { type Cluster, environment, internalKeys, startCluster } from "../../src/standin/cluster.js";
import { type FakeEngineGroup, startFakeEngineGroup } from "../../src/standin/engineGroup.js";
import { publishDocument } from "../../src/standin/publish.js";
import { requestRpc } from "../../src/wire/rpc.js";

const ranks = 4;
const pollMs = 20;
let engines: FakeEngineGroup;
let cluster: Cluster;

/** Polls until `condition` returns true; only the test's timeout limits the wait. */
async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await sleep(pollMs);
    }
}

async function waitForSwitches(count: number): Promise<void> {
    const before = engines.listMapVersions().length;
    await waitUntil(() => engines.listMapVersions().length >= before + count);
}

async function waitForSteps(count: number): Promise<void> {
    const before = engines.countSteps();
    await waitUntil(() => engines.countSteps() >= before + count);
}

/** Resolves once a slot has logged after this call that it takes over as leader. */
async function waitForTakeover(): Promise<void> {
    const count = () =>
        cluster.slots.flatMap(slot => slot.process.lines).filter(line => line.msg.endsWith("This slot takes over."))
            .length;
    const before = count();
    await waitUntil(() => count() > before);
}

function findLeader() {
    const isSwitch = (line: { msg: string; }) => line.msg.endsWith("The map has switched.");
    return cluster.slots.find(slot => slot.process.lines.some(isSwitch))!;
}

beforeAll(async () => {
    const engine = { firstTokenMs: 5, tokenMs: 5 };
    engines = await startFakeEngineGroup({ ranks, layers: 2, experts: 16, stepMs: 5, fenced: true, seed: 3, engine });
    const slots = engines.upstreams.map((upstream, rank) => ({
        instance: `slot-${rank + 1}`,
        dataCentre: "dc-a",
        pool: "assistant",
        kind: "engine" as const,
        group: { name: "experts", rank },
        upstream,
    }));
    const plain = { instance: "slot-9", dataCentre: "dc-a", pool: "claims", kind: "plain" as const };
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a" }], [...slots, plain]);
    const group = { name: "experts", pool: "assistant", ranks, layers: 2, experts: 16, slotsPerRank: 6 };
    await publishDocument(cluster, {
        ...createDemoDocument(),
        groups: [{ ...group, preset: "skew", planIntervalSeconds: 0.5 }],
    });
});

afterAll(async () => {
    await cluster?.stop();
    engines?.close();
});

it("switches maps under load without a mixed step", async () => {
    const calls = Array.from(
        { length: 20 },
        (call, index) => callChat(cluster.entries[0].url, `guest ${index}`, 20, { key: demoKeys.reception }),
    );
    await waitForSwitches(3);
    expect((await Promise.all(calls)).every(call => call.isCorrect)).toBe(true);
    expect(engines.countMixedSteps()).toBe(0);
});

it("explains the map in force to those who ask for its group", async () => {
    const options = { target: "slot-1" };
    const ask = (group: string) =>
        requestRpc({ environment, internalKeys }, cluster.slots[0].proxy.url, "explainMap", { group }, options);
    expect(await ask("experts")).toMatchObject({ group: "experts", generation: 1 });
    expect(await ask("another")).toBeFalsy();
});

it("goes on with another coordinator while the first one is paused mid-switch, and after it wakes", async () => {
    const leader = findLeader();
    await waitUntil(() => engines.getStates().some(state => state.hold !== undefined));
    leader.process.kill("SIGSTOP");
    await waitForTakeover();
    leader.process.kill("SIGCONT");
    await waitForSteps(50);
    await waitForSwitches(1);
    expect(engines.countMixedSteps()).toBe(0);
});

it("goes on after a slot was killed mid-switch and restarted with nothing in memory", async () => {
    const slot = cluster.slots[2];
    await waitUntil(() => engines.getStates().some(state => state.hold !== undefined));
    slot.process.kill("SIGKILL");
    await slot.process.exited;
    await cluster.restartSlot(slot);
    await waitForSteps(50);
    await waitForSwitches(1);
    expect(engines.countMixedSteps()).toBe(0);
});

it("goes on stepping while a link to a slot is cut, and switches again once it is healed", async () => {
    const slot = cluster.slots[1];
    await waitUntil(() => engines.getStates().some(state => state.hold !== undefined));
    slot.proxy.cut();
    await waitForTakeover();
    slot.proxy.heal();
    await waitForSteps(50);
    await waitForSwitches(1);
    expect(engines.countMixedSteps()).toBe(0);
});
