import { expect, test } from "vitest";
import { decodeDatagram, decodeExpertLoads, encodeExpertLoads } from "../heartbeat.js";
import {
    createLeaderState,
    findSuccessor,
    handleLeaderHeartbeat,
    transferLeadership,
    updateLeadership,
} from "../leader.js";

const slots = ["a", "b", "c"];

test("the first slot leads when nobody is heard, the others later in their order", () => {
    const findTakeoverTime = (self: string) => {
        const state = createLeaderState(self, 0);
        return [500, 600, 700, 800, 900].find(now => updateLeadership(state, slots, now));
    };
    expect(["a", "b", "c"].map(findTakeoverTime)).toEqual([600, 700, 900]);
});

test("of two leads the earlier one stays, and a slot that hears one does not lead", () => {
    const first = createLeaderState("a", 0);
    const second = createLeaderState("b", 0);
    [first, second].forEach(state => updateLeadership(state, slots, 2000));
    handleLeaderHeartbeat(first, "b", slots, 2100);
    handleLeaderHeartbeat(second, "a", slots, 2100);
    expect([first.leader, second.leader, updateLeadership(second, slots, 2500)]).toEqual(["a", "a", false]);
});

test("a lead that resigns names the next one and comes back when that stays silent", () => {
    const state = createLeaderState("a", 0);
    updateLeadership(state, slots, 1000);
    const next = findSuccessor(state, slots);
    transferLeadership(state, slots, 1000);
    expect([next, state.leader, updateLeadership(state, slots, 1400), updateLeadership(state, slots, 1600)]).toEqual([
        "b",
        "b",
        false,
        true,
    ]);
});

test("choices keep their size within five in a hundred", () => {
    const sets = [[0, 1, 7, 100], [99_000, 3, 12, 1_000_000]];
    const decoded = decodeExpertLoads(encodeExpertLoads(sets), 4);
    const errors = sets.flatMap((set, index) =>
        set.map((count, expert) => Math.abs(decoded[index][expert] - count) / (count + 1))
    );
    expect(Math.max(...errors)).toBeLessThan(0.05);
});

test.each(["", "{", "[]", "{\"kind\":\"vector\"}", "{\"kind\":\"presence\",\"host\":3}"])("%s is no beacon", text => {
    expect(decodeDatagram(Buffer.from(text))).toBeUndefined();
});
