import fc from "fast-check";
import { expect, it } from "vitest";
import { admitRetry, countRequest, createRetryBudget } from "../retryBudget.js";

it.each([
    { requests: 1000, asked: 1000, admitted: 100 },
    { requests: 5, asked: 100, admitted: 10 },
    { requests: 0, asked: 3, admitted: 3 },
])("admits $admitted of $asked retries after $requests requests", ({ requests, asked, admitted }) => {
    const budget = createRetryBudget(0.1, 1);
    for (let i = 0; i < requests; i++) {
        countRequest(budget, 1000 + i * 5);
    }
    const results = Array.from({ length: asked }, () => admitRetry(budget, 6500));
    expect(results.filter(Boolean).length).toBe(admitted);
});

it("forgets requests and retries that have left the window", () => {
    const budget = createRetryBudget(0.5, 0);
    countRequest(budget, 0);
    countRequest(budget, 0);
    expect([0, 0, 9999, 10_000].map(now => admitRetry(budget, now))).toEqual([true, false, false, false]);
    countRequest(budget, 10_000);
    countRequest(budget, 10_000);
    expect(admitRetry(budget, 10_000)).toBe(true);
});

it("never admits more than the ratio of the requests in any window, beside the floor", () => {
    const steps = fc.array(fc.record({ gapMs: fc.nat(3000), retry: fc.boolean() }), { maxLength: 300 });
    fc.assert(
        fc.property(steps, schedule => {
            const budget = createRetryBudget(0.1, 0.2);
            const seen: { second: number; retry: boolean; }[] = [];
            let now = 0;
            for (const { gapMs, retry } of schedule) {
                now += gapMs;
                if (!retry) {
                    countRequest(budget, now);
                }
                else if (!admitRetry(budget, now)) {
                    continue;
                }
                seen.push({ second: Math.floor(now / 1000), retry });
                const recent = seen.filter(event => event.second > Math.floor(now / 1000) - 10);
                const retries = recent.filter(event => event.retry).length;
                if (retry && retries > Math.max(2, 0.1 * (recent.length - retries))) {
                    return false;
                }
            }
            return true;
        }),
        { seed: 3, numRuns: 300 },
    );
});
