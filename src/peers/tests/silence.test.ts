import { afterEach, expect, it, vi } from "vitest";
import { createRandom } from "../../core/random.js";
import { createMetrics } from "../../observe/metrics.js";
import { type FaultProxy, startFaultProxy } from "../../standin/proxy.js";
import { createCallerMemory } from "../../wire/callerMemory.js";
import { listenOn } from "../../wire/listen.js";
import { InternalPath } from "../../wire/messages.js";
import { createInternalServer, createRpcHandler } from "../../wire/server.js";
import { createPeers } from "../loadPeers.js";
import type { MemberInfo } from "../messages.js";

const identity = { environment: "production", internalKeys: ["key-for-the-peers-test"], instance: "slot-1" };
/** Size of the peers' connection pool. Without call time-outs, as many dead connections would block all calls. */
const agentConnections = 2;
const closers: (() => void)[] = [];

afterEach(() => closers.splice(0).forEach(close => close()));

function createTestPeers(instance: string, seeds: string[]) {
    const self: MemberInfo = {
        instance,
        incarnation: 1,
        state: "live",
        role: "entry",
        dataCentre: "a",
        url: "http://127.0.0.1:1",
    };
    const revision = { revision: 0, digest: "", author: "", document: undefined };
    const peers = createPeers({
        identity: { ...identity, instance },
        self,
        seeds,
        random: createRandom(1),
        getRevision: () => revision,
        getLoad: () => 0,
        onRevision: () => undefined,
        countBytes: () => undefined,
    });
    closers.push(peers.stop);
    return peers;
}

async function startPeer(): Promise<{ proxy: FaultProxy; countCalls: () => number; }> {
    const { gossip } = createTestPeers("slot-1", []).methods;
    let calls = 0;
    const method = (params: never) => {
        calls += 1;
        return gossip(params);
    };
    const server = createInternalServer({
        memory: createCallerMemory(Infinity, () => performance.now()),
        identity,
        registry: createMetrics().registry,
        handlers: { [InternalPath.rpc]: createRpcHandler({ gossip: method }) },
    });
    const proxy = await startFaultProxy(0, await listenOn(server, "127.0.0.1", 0));
    closers.push(() => server.close(), () => server.closeAllConnections(), proxy.close);
    return { proxy, countCalls: () => calls };
}

it("goes on gossiping on new connections however often its connections go silent for good", async () => {
    const { proxy, countCalls } = await startPeer();
    const peers = createTestPeers("entry-1", [proxy.url]);
    peers.start(`http://127.0.0.1:${proxy.port}`);
    await vi.waitFor(() => expect(countCalls()).toBeGreaterThan(0), { timeout: 30_000 });
    await vi.waitFor(() => expect(peers.state.members.get("slot-1")?.lastMessageAt).toBeGreaterThan(0), {
        timeout: 30_000,
    });
    peers.state.members.get("slot-1")!.url = proxy.url;
    for (let round = 0; round < agentConnections + 1; round++) {
        expect(proxy.freeze()).toBeGreaterThan(0);
        const before = countCalls();
        await vi.waitFor(() => expect(countCalls()).toBeGreaterThan(before), { timeout: 30_000 });
    }
});
