import { expect, test } from "vitest";
import type { UpstreamRecord } from "../../peers/mirror.js";
import { observeAttempt } from "../attemptObserver.js";
import type { DirectRequest } from "../types.js";

type ObserverEvent = "data" | "completion" | "break";

/** Observes an attempt with the given events, each at a time in milliseconds; returns what the quarantine is told. */
function observeEvents(events: [number, ObserverEvent][]): string[] {
    let time = 0;
    const told: string[] = [];
    const observer = observeAttempt(
        {
            now: () => time,
            quarantine: {
                find: () => undefined,
                getLatestCrashes: () => [],
                recordAnswer: () => told.push("answered"),
                computeDeferralMs: () => 0,
                recordLoss: async () => void told.push("lost"),
            },
        },
        {} as DirectRequest,
        {} as UpstreamRecord,
    );
    const handlers = {
        data: observer.recordData,
        completion: observer.recordCompletion,
        break: observer.recordBreak,
    };
    events.forEach(([at, event]) => {
        time = at;
        handlers[event]();
    });
    return told;
}

test.each<[string, [number, ObserverEvent][], string[]]>([
    ["completes", [[10, "data"], [20, "completion"]], ["answered"]],
    ["goes on", [[10, "data"], [300, "data"], [310, "break"]], ["answered"]],
    ["breaks before it begins", [[400, "break"]], ["lost"]],
    ["breaks as it begins", [[10, "data"], [60, "break"]], ["lost"]],
    ["begins, and is silent until its group gives it up", [[10, "data"], [1600, "break"]], ["lost"]],
])("a response that %s", (title, events, expected) => {
    expect(observeEvents(events)).toEqual(expected);
});
