import { describe, expect, it } from "vitest";
import { createRandom } from "../../core/random.js";
import type { InstanceRecord } from "../../core/types.js";
import {
    applyInstanceList,
    buildMessage,
    combineInstances,
    createGossipState,
    type GossipState,
    receiveMessage,
} from "../gossip.js";
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

/** Sends messages from one process to another, the first of which may carry news of other members. */
function sendMessages(from: GossipState, to: GossipState, count = 1) {
    for (let index = 0; index < count; index++) {
        receiveMessage(to, buildMessage(from, random), 0);
    }
}

/** Creates an entry that has learned of a member through another peer. */
function createInformedEntry(info: MemberInfo) {
    const relay = createEntryState("entry-2");
    const entry = createEntryState("entry-1");
    receiveMessage(relay, buildMessage(createGossipState(info, []), random), 0);
    receiveMessage(entry, buildMessage(relay, random), 0);
    return entry;
}

describe("slots that the list does not show yet", () => {
    it("are found through peers", () => {
        expect(combineInstances(createInformedEntry(slot), []).map(r => [r.instance, r.pool, r.state]))
            .toMatchInlineSnapshot(`
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
        expect(combineInstances(createInformedEntry({ ...slot, state: "leaving" }), [])).toEqual([]);
    });

    it("are left out once the list has shown them and dropped them", () => {
        const entry = createInformedEntry(slot);
        applyInstanceList(entry, [record], 1);
        expect(combineInstances(entry, [record]).length).toBe(1);
        applyInstanceList(entry, [], 2);
        expect(combineInstances(entry, [])).toEqual([]);
    });

    describe("and that the list has shown to a peer and dropped", () => {
        /** Creates a peer whose list has dropped the slot, and an entry that has started since. */
        function createPeerAndEntry() {
            const peer = createEntryState("entry-2");
            sendMessages(createGossipState(slot, []), peer);
            applyInstanceList(peer, [record], 1);
            applyInstanceList(peer, [], 2);
            const entry = createEntryState("entry-1");
            applyInstanceList(entry, [], 3);
            return { peer, entry };
        }

        // Guards against requests to a slot that is gone: an entry that started later has never seen it on the list.
        it.each([
            ["the peer", (): void => undefined],
            ["the slot itself before it", (entry: GossipState) => sendMessages(createGossipState(slot, []), entry)],
            ["a peer without a list before it", (entry: GossipState) => {
                const other = createEntryState("entry-3");
                sendMessages(createGossipState(slot, []), other);
                sendMessages(other, entry);
            }],
        ])("are left out by an entry that has learned of them from %s", (name, inform) => {
            const { peer, entry } = createPeerAndEntry();
            inform(entry);
            sendMessages(peer, entry, 3);
            expect(combineInstances(entry, [])).toEqual([]);
        });

        it("are left out by an entry that hears of it from a third one", () => {
            const { peer, entry } = createPeerAndEntry();
            const other = createEntryState("entry-3");
            sendMessages(createGossipState(slot, []), other);
            sendMessages(peer, other, 3);
            sendMessages(other, entry, 3);
            expect(combineInstances(entry, []).map(({ instance }) => instance)).toEqual([]);
        });

        it("are found again once they have restarted, or stand on the entry's list", () => {
            const { peer, entry } = createPeerAndEntry();
            sendMessages(peer, entry, 3);
            applyInstanceList(entry, [record], 4);
            const listed = combineInstances(entry, [record]);
            const { peer: otherPeer, entry: other } = createPeerAndEntry();
            sendMessages(otherPeer, other, 3);
            sendMessages(createGossipState({ ...slot, incarnation: 6 }, []), otherPeer);
            sendMessages(otherPeer, other, 3);
            expect([listed, combineInstances(other, [])].map(found => found.map(({ instance }) => instance)))
                .toEqual([["slot-9"], ["slot-9"]]);
        });
    });
});
