import { afterEach, beforeEach, expect, test, vi } from "vitest";
import { createRequestQuarantine, type ObservedAttempt, type PromptRequest } from "../requestQuarantine.js";

beforeEach(() => void vi.useFakeTimers());
afterEach(() => void vi.useRealTimers());

const logger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined };

function createQuarantine(isDeleted: (key: string) => boolean = () => false) {
    return createRequestQuarantine({
        instance: "e",
        now: () => Date.now(),
        random: () => 0,
        logger,
        append: async records => await Promise.resolve(records.length),
        relay: () => undefined,
        isDeleted,
        onCrash: () => undefined,
        onChange: () => undefined,
        reportFault: error => {
            throw error;
        },
        // Every loss is a crash.
        createMonitor: ({ onCrash }) => ({
            recordLoss: async ({ id }, request) => {
                onCrash(id, [request]);
                return await Promise.resolve();
            },
        }),
    });
}

function createRequest(id: string): PromptRequest {
    return { id, digest: "hot", head: {} };
}

function createAttempt(upstream: string, beganAt: number): ObservedAttempt {
    const record = { id: upstream, host: upstream, port: 1, isLeaving: false };
    return { upstream: record, sentAt: beganAt, knownCrashes: [], beganAt };
}

test("copies of a sound request that was lost in a crash are sent as soon as a response from before the crash goes on", async () => {
    const quarantine = createQuarantine();
    const beganAt = Date.now();
    vi.advanceTimersByTime(100);
    await quarantine.recordLoss(createRequest("lost"), createAttempt("u1", beganAt));
    const before = quarantine.computeDeferralMs(createRequest("copy"), false);
    vi.advanceTimersByTime(200);
    quarantine.recordAnswer(createRequest("going-on"), createAttempt("u2", beganAt));
    const after = quarantine.computeDeferralMs(createRequest("copy"), false);
    expect([before, after]).toEqual([6000, 0]);
});

// Guards against sound requests that are rejected for good: a peer that is cut off from the log still holds a report that another
// entry has appended for it and the operators have deleted.
test("crash reports that the log has deleted are not taken over from a peer", () => {
    const report = JSON.stringify({
        kind: "crash",
        upstream: "u@1",
        requests: [],
        answeredParts: [],
        isExperienced: true,
    });
    const answer = JSON.stringify({ kind: "answered", part: "p", request: "r" });
    const records = [
        { key: "crash/u@1/e2", value: report },
        { key: "crash/u@2/e2", value: report },
        { key: "answered/p", value: answer },
    ];
    const quarantine = createQuarantine(key => key !== "crash/u@2/e2");
    quarantine.acceptRecords(records);
    expect(quarantine.listPending().map(({ key }) => key)).toEqual(["crash/u@2/e2", "answered/p"]);
});
