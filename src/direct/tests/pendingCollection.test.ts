import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { collectPendingRecords } from "../pendingCollection.js";

beforeEach(() => {
    vi.useFakeTimers();
});
afterEach(() => {
    vi.useRealTimers();
});

/** What a peer does with each call, the last one for all further calls: its records, no response or no process. */
type Behaviour = string[] | "silent" | "not-running";
const callTimeoutMs = 600;
const maxWaitMs = 5000;

async function collect(behaviours: Behaviour[][]): Promise<{ keys: string[]; calls: number[]; tookMs: number; }> {
    const keys = new Set<string>();
    const calls = behaviours.map(() => 0);
    let endedAt = 0;
    const getBehaviour = (peer: number) => behaviours[peer][Math.min(calls[peer], behaviours[peer].length) - 1];
    const startedAt = performance.now();
    const collection = collectPendingRecords({
        peers: behaviours.map((ignored, index) => ({ host: "peer", port: index })),
        fetchPending: async ({ port }) => {
            calls[port] += 1;
            const behaviour = getBehaviour(port);
            if (behaviour === "silent") {
                await new Promise(resolve => setTimeout(resolve, callTimeoutMs));
            }
            if (typeof behaviour === "string") {
                throw new Error(behaviour);
            }
            return behaviour.map(key => ({ key, value: "" }));
        },
        accept: records => records.forEach(({ key }) => keys.add(key)),
        isExpired: () => performance.now() - startedAt > maxWaitMs,
        checkRefused: async ({ port }) => getBehaviour(port) === "not-running",
    }).then(() => endedAt = performance.now());
    await vi.advanceTimersByTimeAsync(2 * maxWaitMs);
    await collection;
    return { keys: [...keys], calls, tookMs: Math.round(endedAt - startedAt) };
}

test.each<[string, Behaviour[][]]>([
    ["all respond", [[["a"]], [["b"]], [[]]]],
    ["one is silent", [[["a"]], ["silent"], [["b"]]]],
    ["all are silent at first", [["silent"], ["silent", ["a"]], ["silent"]]],
    ["one does not run and one is silent at first", [["not-running"], ["silent", ["a"]]]],
    ["none runs", [["not-running"], ["not-running"]]],
    ["there are none", []],
])("the records of all peers that respond are collected: %s", async (title, behaviours) => {
    expect(await collect(behaviours)).toMatchSnapshot();
});

test("silent peers are waited for no longer than the given time", async () => {
    const { tookMs } = await collect([["silent"], ["silent"]]);
    expect(tookMs).toBeGreaterThan(maxWaitMs);
    expect(tookMs).toBeLessThan(maxWaitMs + callTimeoutMs + 500);
});
