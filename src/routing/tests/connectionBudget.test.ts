import fc from "fast-check";
import { describe, expect, test } from "vitest";
import {
    addCaller,
    type CallerConnection,
    type ConnectionState,
    createConnectionBudget,
    findCheapestConnection,
    hasUpstreamRoom,
    recordExhaustion,
} from "../connectionBudget.js";

const seed = 6;
const now = 60_000;
const createConnection = (state: ConnectionState, idleSince: number): CallerConnection => ({ state, idleSince });

describe("the connection that closes", () => {
    test.each<[string, [ConnectionState, number][], number | undefined]>([
        ["is one whose request has stalled", [["idle", 0], ["arriving", 50_000], ["busy", 0]], 1],
        ["is the longest idle one", [["idle", 40_000], ["idle", 30_000], ["arriving", now]], 1],
        ["is one whose request arrives, if none is idle", [["arriving", now], ["busy", 0]], 0],
        ["is none with a whole request", [["busy", 0], ["busy", 10_000]], undefined],
    ])("%s", (title, list, expected) => {
        const budget = createConnectionBudget(1000);
        const connections = list.map(([state, idleSince]) => createConnection(state, idleSince));
        connections.forEach(connection => budget.callers.add(connection));
        const cheapest = findCheapestConnection(budget, now);
        expect(cheapest === undefined ? undefined : connections.indexOf(cheapest)).toBe(expected);
    });
});

test("callers leave a fifth of the connections to upstreams, and a new one closes itself only beside whole requests", () => {
    const budget = createConnectionBudget(100);
    const closed = (state: ConnectionState) => {
        const added = createConnection(state, now);
        const result = addCaller(budget, added, now);
        return result === undefined ? "none" : result === added ? "itself" : "another";
    };
    const outcomes = Array.from({ length: budget.maxCallers }, () => closed("busy"));
    expect([budget.maxCallers, new Set(outcomes), closed("idle")]).toEqual([68, new Set(["none"]), "itself"]);
});

test("upstreams get no connection while the operating system has no descriptors", () => {
    const budget = createConnectionBudget(100);
    recordExhaustion(budget, now);
    expect([now + 50, now + 100].map(at => hasUpstreamRoom(budget, at))).toEqual([false, true]);
});

test("in any schedule the connections stay within the budget, and whole requests keep theirs", () => {
    const stepArbitrary = fc.record({
        kind: fc.constantFrom("caller" as const, "upstream" as const, "leave" as const, "upstream-end" as const),
        state: fc.constantFrom<ConnectionState>("idle", "arriving", "busy"),
        index: fc.nat(50),
        pauseMs: fc.nat(700),
    });
    fc.assert(
        fc.property(fc.array(stepArbitrary, { maxLength: 200 }), steps => {
            const budget = createConnectionBudget(25);
            let at = 0;
            for (const { kind, state, index, pauseMs } of steps) {
                at += pauseMs;
                const handlers = {
                    caller: () => {
                        const added = createConnection(state, at);
                        const closed = addCaller(budget, added, at);
                        expect(closed !== undefined && closed !== added && closed.state === "busy").toBe(false);
                        budget.callers.delete(closed!);
                    },
                    upstream: () => {
                        budget.upstreams += hasUpstreamRoom(budget, at) ? 1 : 0;
                    },
                    leave: () => {
                        budget.callers.delete([...budget.callers][index % Math.max(1, budget.callers.size)]);
                    },
                    "upstream-end": () => {
                        budget.upstreams = Math.max(0, budget.upstreams - 1);
                    },
                };
                handlers[kind]();
                expect(budget.callers.size + budget.upstreams).toBeLessThanOrEqual(budget.maxConnections);
            }
        }),
        { seed, numRuns: 1000 },
    );
});
