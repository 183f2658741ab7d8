import { expect, test } from "vitest";
import { createRandom } from "../../core/random.js";
import { createPlanCache, packOrder, storePlan, unpackOrder } from "../planCache.js";
import type { ExpertPlan, RankOrder } from "../rankTypes.js";

const sets = 12;
const ranks = 72;

function createPlanPair(): { base: ExpertPlan; next: ExpertPlan; } {
    const random = createRandom(5);
    const base = Array.from(
        { length: sets },
        () => Array.from({ length: ranks }, (ignored, rank) => [2 * rank, 2 * rank + 1, random.pickIndex(144)]),
    );
    const next = base.map(list => list.map(experts => [...experts]));
    // As many moves as the larger changes of the bench had.
    for (let move = 0; move < 70; move++) {
        next[random.pickIndex(sets)][random.pickIndex(ranks)][2] = random.pickIndex(144);
    }
    return { base, next };
}

test("a prepare is restored from the map in force, and is less than a fifth as long", () => {
    const { base, next } = createPlanPair();
    const [lead, slot] = [createPlanCache(), createPlanCache()];
    [lead, slot].forEach(book => storePlan(book, 7, base));
    const order: RankOrder = { kind: "prepare", version: 8, plan: next };
    const packed = packOrder(lead, order, 7);
    expect(unpackOrder(slot, packed)).toEqual(order);
    expect(JSON.stringify(packed).length).toBeLessThan(JSON.stringify(order).length / 5);
});

test("a slot without the base cannot restore it, and a lead without it sends the whole plan", () => {
    const { base, next } = createPlanPair();
    const [lead, slot] = [createPlanCache(), createPlanCache()];
    const order: RankOrder = { kind: "prepare", version: 8, plan: next };
    expect(packOrder(lead, order, 7)).toBe(order);
    storePlan(lead, 7, base);
    expect([unpackOrder(slot, packOrder(lead, order, 7)), unpackOrder(slot, order)]).toEqual([undefined, order]);
});

test("the newest plans are remembered, and other orders stay as they are", () => {
    const book = createPlanCache();
    [1, 2, 3, 4, 5, 2].forEach(version => storePlan(book, version, [[[version]]]));
    expect([...book.plans.keys()]).toEqual([3, 4, 5, 2]);
    const go: RankOrder = { kind: "go", step: 3 };
    expect(packOrder(book, go, 2)).toBe(go);
});
