import { describe, expect, it } from "vitest";
import { chooseProbeTargets, initialProbesPerSecond, probesPerSecond } from "../probes.js";

const budgetBytesPerSecond = 4096;
const probeBytes = 600;
const targetSubset = 40;

describe("probes", () => {
    it("leaves more than half of the control budget to others at the target's subset", () => {
        const upstreams = Array.from(
            { length: targetSubset },
            (value, index) => ({ instance: `${index}`, reportedAt: 1 }),
        );
        let probes = 0;
        for (let now = 10_000; now < 70_000; now += 1000) {
            const chosen = chooseProbeTargets(upstreams, now);
            chosen.forEach(upstream => {
                upstream.reportedAt = now;
            });
            probes += chosen.length;
        }
        expect(probes / 60 * probeBytes).toBeLessThan(budgetBytesPerSecond / 2);
        expect(Math.min(...upstreams.map(u => u.reportedAt))).toBeGreaterThan(
            70_000 - 1000 * targetSubset / probesPerSecond - 1000,
        );
    });

    it("asks upstreams that never reported before others, a bounded number at a time", () => {
        const upstreams = Array.from(
            { length: 100 },
            (value, index) => ({ instance: `${index}`, reportedAt: index === 0 ? 5 : 0 }),
        );
        const names = chooseProbeTargets(upstreams, 10_000).map(u => u.instance);
        expect(names.length).toBe(initialProbesPerSecond + 1);
        expect(names.slice(-1)).toMatchInlineSnapshot(`
          [
            "0",
          ]
        `);
    });

    it("leaves out upstreams whose answers carry reports", () => {
        expect(chooseProbeTargets([{ instance: "a", reportedAt: 9500 }], 10_000)).toMatchInlineSnapshot(`[]`);
    });
});
