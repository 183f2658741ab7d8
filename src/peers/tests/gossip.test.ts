import { describe, expect, it } from "vitest";
import { createRandom } from "../../core/random.js";
import type { InstanceRecord } from "../../core/types.js";
import {
    applyInstanceList,
    buildMessage,
    choosePartner,
    createGossipState,
    type GossipState,
    isLive,
    isSilent,
    receiveMessage,
    recordCallFailure,
} from "../gossip.js";
import type { GossipMessage, MemberInfo } from "../messages.js";

function createNews(instance: string, changes: Partial<MemberInfo> = {}): MemberInfo {
    const url = `http://${instance}`;
    return { instance, incarnation: 1, state: "live", role: "slot", dataCentre: "dc-a", url, ...changes };
}

function createMessage(sender: MemberInfo, changes: Partial<GossipMessage> = {}): GossipMessage {
    return { sender, revision: 0, digest: "", load: 0, news: [], ...changes };
}

function createListed(instance: string, state: "live" | "leaving", dataCentre = "dc-a"): InstanceRecord {
    return { instance, role: "slot", dataCentre, url: `http://${instance}`, state };
}

const create = () => createGossipState(createNews("self"), ["http://seed"]);

describe("liveness", () => {
    type Step = (state: GossipState, now: number) => unknown;
    const list = (...records: InstanceRecord[]): Step => (state, now) => applyInstanceList(state, records, now);
    const hear = (...args: Parameters<typeof createMessage>): Step => (state, now) =>
        receiveMessage(state, createMessage(...args), now);
    const fail: Step = (state, now) => recordCallFailure(state, { instance: "b", url: "http://b" }, now);
    it.each<[string, Step[], string]>([
        ["the list alone makes nobody live", [list(createListed("b", "live"))], "live, unheard"],
        ["an answer makes live", [hear(createNews("b"))], "live, heard"],
        ["others' word does not", [hear(createNews("c"), { news: [createNews("b")] })], "live, unheard"],
        ["leaving by the list", [hear(createNews("b")), list(createListed("b", "leaving"))], "leaving, unheard"],
        ["leaving by its own word", [hear(createNews("b", { state: "leaving" }))], "leaving, unheard"],
        [
            "leaving by others' word",
            [hear(createNews("b")), hear(createNews("c"), { news: [createNews("b", { state: "leaving" })] })],
            "leaving, unheard",
        ],
        [
            "leaving stays, whatever an older message says",
            [hear(createNews("b", { state: "leaving" })), hear(createNews("b")), list(createListed("b", "live"))],
            "leaving, unheard",
        ],
        ["leaving by the list before the first answer stays", [
            list(createListed("b", "leaving")),
            hear(createNews("b")),
        ], "leaving, unheard"],
        ["a restart clears the mark while the list still lags", [
            hear(createNews("b")),
            list(createListed("b", "leaving")),
            hear(createNews("b", { incarnation: 2 })),
            list(createListed("b", "leaving")),
        ], "live, heard"],
        ["an old incarnation changes nothing", [
            hear(createNews("b", { incarnation: 2 })),
            hear(createNews("c"), { news: [createNews("b", { state: "leaving" })] }),
        ], "live, heard"],
        ["a new process at the address replaces the old one", [
            hear(createNews("b")),
            hear(createNews("c", { incarnation: 2, url: "http://b" })),
        ], "gone"],
        ["a failed call", [hear(createNews("b")), fail], "live, unheard"],
        ["half-open: its calls arrive while ours fail", [fail, hear(createNews("b"))], "live, heard"],
        ["flapping: it answers again", [hear(createNews("b")), fail, fail, hear(createNews("b"))], "live, heard"],
    ])("%s", (name, steps, expected) => {
        const state = create();
        steps.forEach((step, index) => step(state, 1000 + index));
        const member = state.members.get("b");
        const text = member && `${member.state}, ${isLive(member, 1100) ? "heard" : "unheard"}`;
        expect(text ?? "gone").toBe(expected);
    });

    it("calls a member silent only when calls fail and nothing arrives", () => {
        const state = create();
        receiveMessage(state, createMessage(createNews("b")), 0);
        const member = state.members.get("b")!;
        fail(state, 1);
        expect([isSilent(member, 10_000), isSilent(member, 10_001)]).toEqual([false, true]);
    });

    it("forgets members that the list dropped and that are not heard", () => {
        const state = create();
        applyInstanceList(state, [createListed("b", "live")], 0);
        applyInstanceList(state, [], 120_001);
        expect(state.members.size).toBe(0);
    });
});

describe("messages", () => {
    it("fetches a higher revision only", () => {
        const state = create();
        state.revision = 4;
        const actions = [3, 4, 5].map(revision =>
            receiveMessage(state, createMessage(createNews("b"), { revision }), 0)
        );
        expect(actions.map(list => list.length)).toEqual([0, 0, 1]);
    });

    it("stays bounded however many changes there are, and tells of each", () => {
        const state = create();
        const names = Array.from({ length: 300 }, (item, index) => `slot-${index}`);
        names.forEach(name => receiveMessage(state, createMessage(createNews(name, { state: "leaving" })), 0));
        const random = createRandom(1);
        const messages = Array.from({ length: 3000 }, () => buildMessage(state, random));
        const told = new Set(messages.flatMap(message => message.news.map(news => news.instance)));
        expect(told.size).toBe(300);
        expect(Math.max(...messages.map(message => message.news.length))).toBeLessThanOrEqual(2);
    });

    it.each([
        ["known by the list only", [createListed("b", "live")]],
        ["not known", []],
    ])("passes on the leaving mark of a member that is %s", (name, listed) => {
        const state = create();
        applyInstanceList(state, listed, 0);
        const news = [createNews("b", { state: "leaving" })];
        receiveMessage(state, createMessage(createNews("c"), { news }), 0);
        expect(buildMessage(state, createRandom(1)).news).toContainEqual(news[0]);
    });

    it("keeps the table of members bounded and counts what it leaves out", () => {
        const state = create();
        for (let index = 0; index < 2010; index++) {
            receiveMessage(state, createMessage(createNews(`slot-${index}`)), 0);
        }
        expect([state.members.size, state.dropped]).toEqual([2000, 10]);
    });
});

describe("choosePartner", () => {
    it("begins with a seed, prefers the own data centre and leaves out members that failed", () => {
        const state = create();
        const random = createRandom(1);
        expect(choosePartner(state, random, 0)?.url).toBe("http://seed");
        const records = [createListed("a", "live"), createListed("b", "live"), createListed("c", "live", "dc-b")];
        applyInstanceList(state, records, 0);
        recordCallFailure(state, { instance: "b", url: "http://b" }, 0);
        const counts: Record<string, number> = { a: 0, b: 0, c: 0 };
        for (let round = 0; round < 1000; round++) {
            counts[choosePartner(state, random, 1)!.instance!] += 1;
        }
        expect(counts.b).toBe(0);
        expect(counts.a).toBeGreaterThan(counts.c);
        expect(counts.c).toBeGreaterThan(0);
    });
});
