import { afterEach, expect, it, vi } from "vitest";
import { runCommand } from "../../src/command/main.js";
import { computeDigest } from "../../src/config/digest.js";
import { configStream } from "../../src/config/records.js";
import { createDemoDocument } from "../../src/demo/document.js";
import { createLogClient } from "../../src/log/client.js";
import { auditStream } from "../../src/observe/audit.js";
import { type Cluster, environment, internalKeys, type SlotOptions, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";

let cluster: Cluster;

afterEach(() => cluster.stop());

const createSlotOptions = (instance: string, dataCentre = "dc-a"): SlotOptions => ({
    instance,
    dataCentre,
    pool: "claims",
    kind: "plain",
});

async function startClusterWithDocument(entries: string[], slots: string[]): Promise<void> {
    cluster = await startCluster(
        entries.map(instance => ({ instance, dataCentre: "dc-a" })),
        slots.map(instance => createSlotOptions(instance)),
    );
    await publishDocument(cluster, createDemoDocument());
}

async function readStream(stream: string): Promise<Record<string, unknown>[]> {
    const { records } = await createLogClient(cluster.log.url).read(stream, 0, 0);
    return records.map(record => record.data as Record<string, unknown>);
}

/** Resolves once every member has logged that `revision` is in force. */
async function waitForRevision(revision: number, members = [...cluster.entries, ...cluster.slots]): Promise<void> {
    await Promise.all(
        members.map(member =>
            member.process.waitForLine(line =>
                line.msg.endsWith("A revision is in force.") && line.revision === revision
            )
        ),
    );
}

const promote = (...options: string[]) => runCommand(["promote", "--log", cluster.log.url, ...options]);

it("lets one of six racing operators win, with lost answers, and every process runs its revision", async () => {
    await startClusterWithDocument(["entry-1"], ["slot-1"]);
    cluster.log.faults.lostAppendResponses = 3;
    const names = Array.from({ length: 6 }, (item, index) => `operator-${index}`);
    const codes = await Promise.all(names.map(author => promote("--from", "1", "--author", author)));
    expect(codes.sort()).toEqual([0, 3, 3, 3, 3, 3]);
    await waitForRevision(2);
    expect(await promote("--from", "1")).toBe(3);
    expect(await promote("--from", "9")).toBe(2);
});

it("starts from peers while the log is down, and takes the log's revision when it is back", async () => {
    await startClusterWithDocument(["entry-1"], ["slot-1"]);
    cluster.log.faults.down = true;
    const newEntry = await cluster.startEntry({ instance: "entry-2", dataCentre: "dc-a" });
    cluster.updateInstanceList();
    await waitForRevision(1, [newEntry]);
    const line = await newEntry.process.waitForLine(l => l.msg.endsWith("The configuration is ready."));
    expect(line).toMatchObject({ source: "peer" });
    expect(await promote()).toBe(1);
    cluster.log.faults.down = false;
    expect(await promote()).toBe(0);
    await waitForRevision(2);
});

it("takes the revision from a peer when the log has dropped it and holds no snapshot", async () => {
    await startClusterWithDocument([], ["slot-1"]);
    cluster.log.truncate("beechdock-config", 2);
    const newSlot = await cluster.startSlot(createSlotOptions("slot-2"));
    cluster.updateInstanceList();
    const line = await newSlot.process.waitForLine(l => l.msg.endsWith("A revision is in force."));
    expect(line).toMatchObject({ source: "peer", revision: 1 });
});

it("follows the log on a new connection after its connections have gone silent", async () => {
    await startClusterWithDocument([], ["slot-1"]);
    expect(cluster.logProxy.freeze()).toBeGreaterThan(0);
    expect(await promote()).toBe(0);
    await waitForRevision(2);
});

it("keeps a process cut off from the log up to date by its peers", async () => {
    await startClusterWithDocument(["entry-1"], ["slot-1"]);
    cluster.logProxy.cut();
    expect(await promote()).toBe(0);
    const direct = await cluster.startSlot({ ...createSlotOptions("slot-2"), logUrl: cluster.log.url });
    cluster.updateInstanceList();
    await waitForRevision(2, [direct]);
    await waitForRevision(2);
});

it("leaves a cut-off data centre on its revision, and brings it up to date by peers once the cut heals", async () => {
    await startClusterWithDocument([], ["slot-1"]);
    const other = await cluster.startSlot({ ...createSlotOptions("slot-2", "dc-b"), logUrl: cluster.log.url });
    cluster.updateInstanceList();
    await waitForRevision(1);
    const [first] = cluster.slots;
    const proxies = [cluster.logProxy, first.proxy, other.proxy];
    proxies.forEach(proxy => proxy.cut());
    expect(await promote()).toBe(0);
    await waitForRevision(2, [other]);
    const platform = { log: cluster.log.url, list: cluster.list.url };
    const file = cluster.writeFile("operator.yaml", { environment, platform, internalKeys });
    expect(await runCommand(["status", "--settings", file])).toBe(4);
    expect(first.process.lines.some(line => line.revision === 2)).toBe(false);
    [first.proxy, other.proxy].forEach(proxy => proxy.heal());
    await waitForRevision(2, [first]);
    expect(first.process.lines.find(line => line.revision === 2)).toMatchObject({ source: "peer" });
});

it("keeps the previous revision when a document cannot be used, and says so in status", async () => {
    await startClusterWithDocument(["entry-1"], ["slot-1"]);
    const document = { ...createDemoDocument(), fieldOfALaterVersion: 1 };
    const baseDigest = computeDigest((await readStream(configStream))[1].document);
    const record = { kind: "promote", id: "later", environment, base: 1, baseDigest, author: "later" };
    const data = { ...record, digest: computeDigest(document), document };
    await createLogClient(cluster.log.url).append(configStream, [{ id: "later", data }]);
    const members = [...cluster.entries, ...cluster.slots];
    await Promise.all(members.map(m => m.process.waitForLine(line => line.msg.includes("cannot be used"))));
    const output = vi.spyOn(process.stdout, "write").mockReturnValue(true);
    const platform = { log: cluster.log.url, list: cluster.list.url };
    const file = cluster.writeFile("operator.yaml", { environment, platform, internalKeys });
    expect(await runCommand(["status", "--json", "--settings", file])).toBe(0);
    const { instances } = JSON.parse(output.mock.calls.map(call => String(call[0])).join("")) as {
        instances: object[];
    };
    output.mockRestore();
    const notes = "cannot use revision 2: : Unrecognized key: \"fieldOfALaterVersion\"";
    expect(instances).toMatchObject([
        { instance: "entry-1", revision: 1, source: "log", ready: "yes", notes },
        { instance: "slot-1", revision: 1, source: "log", ready: "yes", notes },
    ]);
});

it("leaves an audit trail after the processes are gone", async () => {
    await startClusterWithDocument([], ["slot-1"]);
    const [slot] = cluster.slots;
    slot.process.kill("SIGTERM");
    await slot.process.exited;
    const kinds = (await readStream(auditStream)).map(record => record.kind);
    expect(kinds).toEqual(["start", "leaving", "stop"]);
});

it("goes on with the configuration after a record whose document is nested too deeply", async () => {
    await startClusterWithDocument(["entry-1"], ["slot-1"]);
    const depth = 3000;
    const document = JSON.parse("[".repeat(depth) + "]".repeat(depth)) as unknown;
    const data = {
        kind: "promote",
        id: "odd",
        environment,
        author: "a",
        document,
        base: 1,
        baseDigest: "",
        digest: "x",
    };
    await createLogClient(cluster.log.url).append(configStream, [{ id: "odd", data }]);
    expect(await promote("--from", "1")).toBe(0);
    await waitForRevision(2);
});
