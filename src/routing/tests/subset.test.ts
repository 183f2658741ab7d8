import fc from "fast-check";
import { describe, expect, it } from "vitest";
import { type InstanceRecord, InstanceState, Role } from "../../core/types.js";
import {
    assignSubsets,
    computeMaxEntriesPerUpstream,
    computeSubsetSize,
    createSlotSelector,
    minEntriesPerUpstream,
} from "../subset.js";

const size = 8;
const listNames = (prefix: string, count: number) => Array.from({ length: count }, (unused, i) => `${prefix}-${i}`);
const fleet = fc.record({ entries: fc.integer({ min: 1, max: 40 }), upstreams: fc.integer({ min: 1, max: 80 }) });

function countHolders(subsets: string[][], upstreams: string[]): number[] {
    return upstreams.map(upstream => subsets.filter(subset => subset.includes(upstream)).length);
}

function countMoves(before: string[][], after: string[][]): number {
    return before.reduce((sum, subset, i) => sum + subset.filter(u => !after[i]?.includes(u)).length, 0);
}

describe("subsets", () => {
    it("are bounded, hold nothing twice, cover every upstream and give none far more entries than others", () => {
        fc.assert(
            fc.property(fleet, ({ entries, upstreams }) => {
                const names = listNames("slot", upstreams);
                const subsets = assignSubsets(listNames("entry", entries), names, size);
                const bound = computeSubsetSize(size, entries, upstreams);
                expect(subsets.every(subset => subset.length <= bound && new Set(subset).size === subset.length))
                    .toBe(true);
                const holders = countHolders(subsets, names);
                expect(Math.min(...holders)).toBeGreaterThanOrEqual(1);
                expect(Math.max(...holders)).toBeLessThanOrEqual(
                    Math.max(minEntriesPerUpstream, computeMaxEntriesPerUpstream(size, entries, upstreams)),
                );
            }),
            { seed: 3, numRuns: 300 },
        );
    });

    it.each([
        { change: "an upstream leaves", entries: [105, 105], upstreams: [215, 214] },
        { change: "an upstream joins", entries: [105, 105], upstreams: [215, 216] },
        { change: "an entry leaves", entries: [105, 104], upstreams: [215, 215] },
        { change: "an entry joins", entries: [105, 106], upstreams: [215, 215] },
    ])("move less than a twentieth of the pairs when $change", ({ entries, upstreams }) => {
        const [before, after] = [0, 1].map(i =>
            assignSubsets(listNames("entry", entries[i]), listNames("slot", upstreams[i]), size)
        );
        expect(countMoves(before, after) / (105 * size)).toBeLessThan(0.05);
    });

    it("do not depend on the order of the list and keep to the pool and data centre", () => {
        const instances: InstanceRecord[] = ["a", "b"].flatMap(dataCentre =>
            listNames(`slot-${dataCentre}`, 30).map((instance, i) => ({
                instance,
                role: Role.slot,
                dataCentre,
                url: "",
                state: InstanceState.live,
                pool: `pool-${i % 2}`,
            }))
        );
        const entries: InstanceRecord[] = listNames("entry", 12).map(instance => ({
            ...instances[0],
            instance,
            role: Role.entry,
            dataCentre: "a",
            pool: undefined,
        }));
        const select = (list: InstanceRecord[]) =>
            createSlotSelector({ instance: "entry-0", dataCentre: "a" })(list).map(s => s.instance);
        const selected = select([...instances, ...entries]);
        expect(new Set(select([...entries, ...instances].reverse()))).toEqual(new Set(selected));
        expect({ near: selected.filter(s => s.includes("-a-")).length, all: selected.length })
            .toEqual({ near: 16, all: 24 });
    });
});
