import fc from "fast-check";
import { describe, expect, it } from "vitest";
import {
    admitRequest,
    cancelQueued,
    computeRetryAfter,
    countQueued,
    createAdmission,
    releaseRequest,
    sumTokens,
} from "../admission.js";
import type { QueuedRequest } from "../fairQueue.js";

const limits = { concurrency: 8, tokens: 1000, queue: 10 };

function createItem(id: string, change: Partial<QueuedRequest> = {}): QueuedRequest {
    return { id, workspace: "a", weight: 1, urgency: 3, tokens: 10, arrivedAt: 0, expiresAt: 1e9, ...change };
}

/** Fills the slot with `count` requests of `workspace`, one running after another. */
function createFilled(workspace: string, count: number, change: Partial<typeof limits> = {}) {
    const state = createAdmission({ ...limits, ...change });
    const results = Array.from(
        { length: count },
        (unused, i) => admitRequest(state, createItem(`${workspace}-${i}`, { workspace, arrivedAt: i }), i),
    );
    return { state, results };
}

describe("admission", () => {
    it("keeps its limits and settles every request once, whatever the order of events", () => {
        const operation = fc.record({
            kind: fc.constantFrom("admit", "admit", "release", "cancel"),
            workspace: fc.constantFrom("a", "b", "c"),
            urgency: fc.integer({ min: 0, max: 7 }),
            tokens: fc.integer({ min: 0, max: 600 }),
            pick: fc.nat(),
            gap: fc.integer({ min: 0, max: 200 }),
        });
        fc.assert(
            fc.property(fc.array(operation, { maxLength: 120 }), operations => {
                const state = createAdmission(limits);
                const running: string[] = [];
                const waiting = new Set<string>();
                let now = 0;
                const release = (id: string) => {
                    const { started, expired } = releaseRequest(state, id, now);
                    expired.forEach(item => expect(waiting.delete(item.id)).toBe(true));
                    started.forEach(item => expect(waiting.delete(item.id) && running.push(item.id) > 0).toBe(true));
                };
                operations.forEach(({ kind, pick, gap, ...rest }, index) => {
                    now += gap;
                    if (kind === "admit") {
                        const id = String(index);
                        const item = createItem(id, { ...rest, arrivedAt: now, expiresAt: now + 1000 });
                        const { decision, evicted } = admitRequest(state, item, now);
                        evicted.forEach(other => expect(waiting.delete(other.id)).toBe(true));
                        running.push(...(decision === "run" ? [id] : []));
                        (decision === "wait" ? [id] : []).forEach(waitingId => waiting.add(waitingId));
                    }
                    else if (kind === "release" && running.length > 0) {
                        release(running.splice(pick % running.length, 1)[0]);
                    }
                    else if (kind === "cancel" && waiting.size > 0) {
                        const id = [...waiting][pick % waiting.size];
                        expect([cancelQueued(state, id), waiting.delete(id)]).toEqual([true, true]);
                        release(id);
                    }
                    expect(running.length).toBeLessThanOrEqual(limits.concurrency);
                    expect(state.tokensInFlight <= limits.tokens || running.length === 1).toBe(true);
                    expect(countQueued(state)).toBe(waiting.size);
                    expect(waiting.size).toBeLessThanOrEqual(limits.queue);
                    expect(running.length > 0 || waiting.size === 0).toBe(true);
                });
                while (running.length > 0) {
                    release(running.pop()!);
                }
                expect([waiting.size, state.tokensInFlight, sumTokens(state)]).toEqual([0, 0, 0]);
            }),
            { seed: 4, numRuns: 400 },
        );
    });

    it("shares by weight between workspaces that always have work waiting", () => {
        const state = createAdmission({ ...limits, concurrency: 4, queue: 1000 });
        const served = { a: 0, b: 0 };
        const active: QueuedRequest[] = [];
        for (let i = 0; i < 300; i++) {
            for (const [workspace, weight] of [["a", 1], ["b", 3]] as const) {
                const item = createItem(`${workspace}${i}`, { workspace, weight, tokens: 5 + i % 7 });
                const { decision } = admitRequest(state, item, 0);
                active.push(...(decision === "run" ? [item] : []));
            }
        }
        for (let i = 0; i < 200; i++) {
            const { started } = releaseRequest(state, active.shift()!.id, 0);
            active.push(...started);
            started.forEach(item => served[item.workspace as "a" | "b"] += item.tokens);
        }
        expect(served.b / served.a).toBeGreaterThan(2.7);
        expect(served.b / served.a).toBeLessThan(3.3);
    });

    it("refuses the latest request of the flooding workspace when the queue is full, not the small one's", () => {
        const { state } = createFilled("flood", limits.concurrency + limits.queue);
        expect(admitRequest(state, createItem("small-1", { workspace: "small" }), 100)).toMatchInlineSnapshot(`
          {
            "decision": "wait",
            "evicted": [
              {
                "arrivedAt": 17,
                "expiresAt": 1000000000,
                "id": "flood-17",
                "tokens": 10,
                "urgency": 3,
                "weight": 1,
                "workspace": "flood",
              },
            ],
          }
        `);
        expect(admitRequest(state, createItem("flood-x", { workspace: "flood", arrivedAt: 101 }), 101).decision)
            .toBe("refuse");
    });

    it("refuses the workspace that runs most when both have as much waiting", () => {
        const { state } = createFilled("flood", 9, { queue: 1 });
        const { evicted } = admitRequest(state, createItem("small-1", { workspace: "small" }), 100);
        expect(evicted.map(item => item.id)).toEqual(["flood-8"]);
        expect(admitRequest(state, createItem("flood-9", { workspace: "flood", arrivedAt: 101 }), 101).decision)
            .toBe("refuse");
    });

    it("keeps room for a small workspace while another floods", () => {
        const { state } = createFilled("flood", 12);
        admitRequest(state, createItem("small-1", { workspace: "small" }), 20);
        releaseRequest(state, "flood-0", 21);
        releaseRequest(state, "flood-1", 22);
        expect(admitRequest(state, createItem("small-2", { workspace: "small" }), 23).decision).toBe("run");
    });

    it("starts the more urgent request first, and the less urgent one after a bounded time", () => {
        const { state } = createFilled("a", limits.concurrency);
        admitRequest(state, createItem("patient", { urgency: 7, arrivedAt: 100 }), 100);
        const order: string[] = [];
        for (let now = 200; order.at(-1) !== "patient" && now < 20_000; now += 200) {
            admitRequest(state, createItem(`urgent-${now}`, { urgency: 0, arrivedAt: now }), now);
            order.push(...releaseRequest(state, [...state.running.keys()][0], now).started.map(item => item.id));
        }
        expect({ first: order[0], last: order.at(-1), overtaken: order.length - 1 }).toMatchInlineSnapshot(`
          {
            "first": "urgent-200",
            "last": "patient",
            "overtaken": 35,
          }
        `);
    });

    it("takes a burst into the whole queue, and keeps a queue short that does not empty", () => {
        const { state } = createFilled("a", limits.concurrency + limits.queue);
        const burst = countQueued(state);
        expect(sumTokens(state)).toBe(180);
        const { decision, evicted } = admitRequest(state, createItem("late", { arrivedAt: 5000 }), 5000);
        expect({ burst, decision, evicted: evicted.length, standing: countQueued(state) }).toMatchInlineSnapshot(`
          {
            "burst": 10,
            "decision": "refuse",
            "evicted": 8,
            "standing": 2,
          }
        `);
        for (const id of [...state.running.keys()]) {
            releaseRequest(state, id, 5001);
        }
        const results = Array.from(
            { length: 12 },
            (unused, i) => admitRequest(state, createItem(`burst-${i}`, { arrivedAt: 5002 }), 5002).decision,
        );
        expect(results.filter(result => result !== "refuse").length).toBe(12);
    });

    it("refuses at once what could not start before its time is over, and says when to come back", () => {
        const { state } = createFilled("a", 44, { concurrency: 40 });
        for (let i = 0; i < 6; i++) {
            const [id] = state.running.keys();
            releaseRequest(state, id, 1000 * (i + 1));
            admitRequest(state, createItem(`next-${i}`, { arrivedAt: 1000 * (i + 1) }), 1000 * (i + 1));
        }
        const late = { arrivedAt: 6000, expiresAt: 6500 };
        expect(admitRequest(state, createItem("late", late), 6000)).toEqual({ decision: "refuse", evicted: [] });
        const waits = [0, 0.5, 0.999].map(random => computeRetryAfter(state, "a", 1, random));
        expect(waits).toMatchInlineSnapshot(`
          [
            3,
            5,
            8,
          ]
        `);
    });
});
