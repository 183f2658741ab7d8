import { expect, test } from "vitest";
import { allocatePermits, createPermitPool, type PermitRequest } from "../permitPool.js";
import type { RateLimit } from "../rateLimitTable.js";

const limit: RateLimit = {
    upstream: "up-1",
    startedAt: 1,
    pool: "p",
    requestsPerSecond: 2,
    namedAt: 0,
    unnamedAt: undefined,
    source: "entry",
    version: 1,
};

/** Enrols three entries every 100 ms with a coordinator that starts at 0; returns the number of permits granted. */
function playCoordinator(reported: number | undefined, untilMs: number): { permits: number; toldCounts: unknown[]; } {
    const pool = createPermitPool(0);
    pool.seeds = ["seed-1", "seed-2"];
    const toldCounts = new Set<unknown>();
    let permits = 0;
    for (let at = 100; at < untilMs; at += 100) {
        for (const from of ["seed-0", "seed-1", "seed-2"]) {
            const request: PermitRequest = {
                from,
                startedAt: 0,
                sentAt: at,
                demands: [{ pool: "p", arrivalsPerSecond: 10, wanted: [{ rank: 1, count: 5 }] }],
                returned: {},
                entryCount: at === 100 ? reported : undefined,
            };
            const grant = allocatePermits(pool, request, [limit], at)!;
            permits += Object.values(grant.permits).reduce((sum, count) => sum + count, 0);
            toldCounts.add(grant.entryCount);
        }
    }
    return { permits, toldCounts: [...toldCounts] };
}

test("a coordinator that has just started does not tell the number of entries that it assumes", () => {
    expect(playCoordinator(undefined, 2000).toldCounts).toEqual([undefined]);
});

test("a coordinator that knows the number of entries grants the whole rate", () => {
    expect(playCoordinator(3, 10_000).permits).toBeGreaterThan(0.9 * 2 * 10);
});
