import { describe, expect, it } from "vitest";
import { InstanceState, Role } from "../../core/types.js";
import { chooseUpstream } from "../choose.js";
import {
    type AttemptOutcome,
    baseEjectionMs,
    computeSlowStartShare,
    createHealth,
    isEjected,
    maxEjectedShare,
    recordOutcome,
} from "../ejection.js";
import { createUpstreamTable, markUnreachable, updateInstances, updateReport } from "../upstreamTable.js";

const well: AttemptOutcome = { failed: false, latencyMs: 100 };
const failing: AttemptOutcome = { failed: true, latencyMs: 1 };
const choice = { pool: "p", dataCentre: "a", spill: "never" as const, tokens: 1, excluded: new Set<string>() };

function simulate(count: number, outcomes: AttemptOutcome[], rounds = 8) {
    const fleet = Array.from({ length: count }, createHealth);
    for (let round = 0; round < rounds; round++) {
        fleet.forEach((health, i) => recordOutcome(health, fleet, outcomes[i] ?? well, round * 100));
    }
    return fleet;
}

function createTable(instances: string[]) {
    const table = createUpstreamTable();
    const record = { role: Role.slot, dataCentre: "a", url: "", state: InstanceState.live, pool: "p" };
    updateInstances(table, instances.map(instance => ({ ...record, instance })));
    return table;
}

describe("ejection", () => {
    it.each([
        { fleet: "all well", outcomes: [], ejected: 0 },
        { fleet: "one fails everything at once", outcomes: [failing], ejected: 1 },
        { fleet: "one is 5 times slower", outcomes: [{ failed: false, latencyMs: 500 }], ejected: 1 },
        { fleet: "one is 2 times slower", outcomes: [{ failed: false, latencyMs: 200 }], ejected: 0 },
        { fleet: "half fail, over the cap", outcomes: [failing, failing, failing, failing], ejected: 2 },
        { fleet: "all fail alike", outcomes: Array.from({ length: 8 }, () => failing), ejected: 0 },
    ])("judges by peers: $fleet", ({ outcomes, ejected }) => {
        const fleet = simulate(8, outcomes);
        expect(fleet.filter(health => isEjected(health, 800)).length).toBe(ejected);
        expect(ejected / 8).toBeLessThanOrEqual(maxEjectedShare);
    });

    it("ejects none of two, so that one is never alone by judgement", () => {
        expect(simulate(2, [failing]).some(health => isEjected(health, 800))).toBe(false);
    });

    it("returns work by degrees, and ejects longer when the first request fails again", () => {
        const fleet = simulate(8, [failing]);
        const [bad] = fleet;
        const at = bad.ejectedUntil;
        expect([at - 1, at, at + 3000, at + 9000].map(now => computeSlowStartShare(bad, now))).toEqual([
            0,
            0.1,
            0.4,
            1,
        ]);
        recordOutcome(bad, fleet, failing, at);
        expect(bad.ejectedUntil - at).toBe(2 * baseEjectionMs);
    });

    it("leaves out an unreachable upstream until it reports", () => {
        const table = createTable(["one", "two"]);
        const choose = (now: number) =>
            new Set(
                Array.from({ length: 20 }, (unused, i) => chooseUpstream(table, choice, now, () => i / 20)?.instance),
            );
        const report = { incarnation: "x", tokensInFlight: 0, requestsInFlight: 0, queued: 0, serviceMs: 1 };
        ["one", "two"].forEach(instance => updateReport(table, instance, { ...report, state: "live" }, 500));
        markUnreachable(table, "one", 1000);
        expect([...choose(3000)]).toEqual(["two"]);
        updateReport(table, "one", { ...report, state: "live" }, 3500);
        expect(choose(4000).has("one")).toBe(true);
        markUnreachable(table, "one", 5000);
        markUnreachable(table, "two", 5000);
        expect(choose(5001).size).toBeGreaterThan(0);
    });
});
