import { describe, expect, it } from "vitest";
import { createRandom } from "../../core/random.js";
import type { InstanceRecord } from "../../core/types.js";
import { applyInstanceList, buildMessage, combineInstances, createGossipState, receiveMessage } from "../gossip.js";
import type { MemberInfo } from "../messages.js";

const random = createRandom(1);
const slot: MemberInfo = {
    instance: "slot-9",
    incarnation: 5,
    state: "live",
    role: "slot",
    dataCentre: "a",
    url: "http://127.0.0.1:9",
    pool: "claims",
};
const record: InstanceRecord = { ...slot, role: "slot", state: "live" };

function createEntryState(name: string) {
    return createGossipState({ ...slot, instance: name, role: "entry", pool: undefined, url: `http://${name}` }, []);
}

/** Lets `entry` hear of the slot through another peer. */
function tell(news: MemberInfo) {
    const middle = createEntryState("entry-2");
    const entry = createEntryState("entry-1");
    receiveMessage(middle, buildMessage(createGossipState(news, []), random), 0);
    receiveMessage(entry, buildMessage(middle, random), 0);
    return entry;
}

describe("slots that the list does not show yet", () => {
    it("are found through peers", () => {
        expect(combineInstances(tell(slot), []).map(r => [r.instance, r.pool, r.state])).toMatchInlineSnapshot(`
          [
            [
              "slot-9",
              "claims",
              "live",
            ],
          ]
        `);
    });

    it("are left out once they are leaving", () => {
        expect(combineInstances(tell({ ...slot, state: "leaving" }), [])).toEqual([]);
    });

    it("are left out once the list has shown them and dropped them", () => {
        const entry = tell(slot);
        applyInstanceList(entry, [record], 1);
        expect(combineInstances(entry, [record]).length).toBe(1);
        applyInstanceList(entry, [], 2);
        expect(combineInstances(entry, [])).toEqual([]);
    });
});
