import { describe, expect, it } from "vitest";
import { InstanceState, Role } from "../../core/types.js";
import { hashPromptPrefix, listPreferred, prefixBytes } from "../affinity.js";
import { chooseUpstream } from "../choose.js";
import { createUpstreamTable, recordSentTokens, updateInstances, updateReport } from "../upstreamTable.js";

const system = "You help the guests of a spa. ".repeat(20);
const createBody = (text: string, key = "messages") => Buffer.from(JSON.stringify({ model: "m", [key]: text }));
const instances = Array.from({ length: 8 }, (unused, i) => `slot-${i}`);

describe("affinity", () => {
    it.each([
        { body: "another question after the same block", a: `${system}one`, b: `${system}two`, same: true },
        { body: "another leading block", a: `A${system}`, b: `B${system}`, same: false },
    ])("tells prompts apart by their leading block: $body", ({ a, b, same }) => {
        expect(hashPromptPrefix(createBody(a)) === hashPromptPrefix(createBody(b))).toBe(same);
    });

    it.each([
        { body: "a short prompt", buffer: createBody("hi") },
        { body: "no prompt", buffer: createBody(system, "text") },
        { body: "nothing", buffer: Buffer.alloc(0) },
        { body: "bytes that are no JSON", buffer: Buffer.alloc(prefixBytes * 4, 0xff) },
    ])("has no preference for $body", ({ buffer }) => expect(hashPromptPrefix(buffer)).toBeUndefined());

    it("takes the preferred upstream up to a bound of its load, then others", () => {
        const table = createUpstreamTable();
        const record = { role: Role.slot, dataCentre: "a", url: "", state: InstanceState.live, pool: "p" };
        updateInstances(table, instances.map(instance => ({ ...record, instance })));
        const report = { incarnation: "x", tokensInFlight: 1000, requestsInFlight: 1, queued: 0, serviceMs: 1000 };
        instances.forEach(instance => updateReport(table, instance, { ...report, state: InstanceState.live }, 0));
        const choice = { pool: "p", dataCentre: "a", spill: "never" as const, tokens: 40, excluded: new Set<string>() };
        const chosen = Array.from({ length: 40 }, (unused, i) => {
            const { instance } = chooseUpstream(table, { ...choice, prefix: 7 }, i, () => (i % 7) / 7)!;
            recordSentTokens(table, instance, 40, i);
            return instance;
        });
        const [first, second] = listPreferred(instances.map(instance => ({ instance })), 7).map(u => u.instance);
        expect(chosen[0]).toBe(first);
        expect(chosen.filter(instance => instance === first || instance === second).length).toBeGreaterThan(5);
        expect(new Set(chosen).size).toBe(instances.length);
    });
});
