import { expect, test } from "vitest";
import { createDirectSlotMetrics } from "../../observe/directMetrics.js";
import { encodeExpertLoads, type RankHeartbeat } from "../../peers/heartbeat.js";
import type { RankOrder } from "../rankTypes.js";
import { createRebalancer } from "../rebalancer.js";

const parameters = { sets: 1, experts: 4, placements: 3, spare: 1, formMs: 0 };

const createHeartbeat = (rank: number): RankHeartbeat => ({
    kind: "state",
    from: `host-${rank}`,
    pool: "p",
    report: {
        epoch: 1,
        rank,
        size: 2,
        isOpen: true,
        step: 5,
        mapVersion: 0,
        running: 1,
        queued: 0,
        memoryShare: 0,
        pace: 1,
    },
    experts: [[rank, rank + 2]],
    // Almost all selections are of experts on rank 0.
    choices: encodeExpertLoads([[50_000, 10, 40_000, 10]]),
    positions: { document: [0, 0], list: [0, 0] },
});

test("a planned version tells which process made it, so that its change can be taken back without that one", () => {
    const orders: RankOrder[] = [];
    const rebalancer = createRebalancer({
        now: () => 1000,
        random: () => 0.5,
        logger: { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined },
        metrics: createDirectSlotMetrics(),
        order: (host, order) => {
            orders.push(order);
            return new Promise(() => undefined);
        },
        read: () => new Promise(() => undefined),
        fetchReport: () => new Promise(() => undefined),
        findPlan: () => undefined,
        getLeaderContext: () => ({ ownRank: 1, lostRank: undefined }),
    });
    const hosts = ["host-0", "host-1"];
    rebalancer.advance(hosts, parameters);
    [0, 1].forEach(rank => rebalancer.recordRankHeartbeat(createHeartbeat(rank)));
    rebalancer.advance(hosts, parameters);
    const versions = orders.flatMap(order => order.kind === "prepare" ? [order.version % 1024] : []);
    expect(versions).toEqual([1, 1]);
});
