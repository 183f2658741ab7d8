import { expect, test } from "vitest";
import {
    advanceDirectRequest,
    AttemptEnd,
    createDirectRequestState,
    type DirectRequestEvent,
} from "../requestState.js";

const kinds = {
    once: { isRepeatable: false, isResumable: false, maxRuns: 2 },
    idempotent: { isRepeatable: true, isResumable: false, maxRuns: 2 },
    resumable: { isRepeatable: true, isResumable: true, maxRuns: 2 },
};

const sent: DirectRequestEvent = { kind: "sent" };
const began: DirectRequestEvent = { kind: "began" };
const timeout: DirectRequestEvent = { kind: "timeout" };
const silent: DirectRequestEvent = { kind: "silent" };
const completed: DirectRequestEvent = { kind: "completed" };
const ended = (end: AttemptEnd, hasRetryBudget = true, canContinue = true): DirectRequestEvent => ({
    kind: "ended",
    end,
    hasRetryBudget,
    canContinue,
});

/** Applies the events in order and returns the actions after each, separated by spaces. */
function applyEvents(kind: keyof typeof kinds, events: DirectRequestEvent[]): string[] {
    const state = createDirectRequestState(kinds[kind]);
    return events.map(event =>
        advanceDirectRequest(state, event).map(action => action.kind === "fail" ? `fail ${action.status}` : action.kind)
            .join(" ")
    );
}

test.each<[string, keyof typeof kinds, DirectRequestEvent[], string]>([
    ["never connected", "once", [ended(AttemptEnd.unconnected)], "place"],
    ["refused as full", "once", [sent, ended(AttemptEnd.full)], "place"],
    ["refused as full without budget", "once", [sent, ended(AttemptEnd.full, false)], "refuse finish"],
    ["refused by three", "once", [
        sent,
        ended(AttemptEnd.full),
        sent,
        ended(AttemptEnd.full),
        sent,
        ended(AttemptEnd.full),
    ], "refuse finish"],
    ["lost after it was sent", "once", [sent, ended(AttemptEnd.lost)], "fail 502 finish"],
    ["lost after it was sent", "idempotent", [sent, ended(AttemptEnd.lost)], "place"],
    ["lost twice", "idempotent", [sent, ended(AttemptEnd.lost), sent, ended(AttemptEnd.lost)], "fail 502 finish"],
    ["refused after one that may have run", "idempotent", [
        sent,
        ended(AttemptEnd.lost),
        sent,
        ended(AttemptEnd.full, false),
    ], "fail 502 finish"],
    ["failed by the upstream", "once", [sent, ended(AttemptEnd.failed)], "relay-failure finish"],
    ["failed by the upstream", "idempotent", [sent, ended(AttemptEnd.failed)], "place"],
    ["broken off midway", "resumable", [sent, began, ended(AttemptEnd.lost)], "place"],
    ["broken off midway where no run can go on", "resumable", [
        sent,
        began,
        ended(AttemptEnd.lost, true, false),
    ], "cut finish"],
    ["failed by a second upstream midway", "resumable", [
        sent,
        began,
        ended(AttemptEnd.lost),
        sent,
        ended(AttemptEnd.failed),
    ], "cut finish"],
    ["broken off midway", "once", [sent, began, ended(AttemptEnd.lost)], "cut finish"],
    ["refused by a broken group", "resumable", [sent, ended(AttemptEnd.groupBroken)], "wait-for-group"],
    ["out of time before it was sent", "once", [timeout], "cancel refuse finish"],
    ["out of time after it was sent", "once", [sent, timeout], "cancel fail 504 finish"],
    ["out of time midway", "resumable", [sent, began, timeout], "cancel cut finish"],
    ["hopeless before it was sent", "resumable", [{ kind: "expired" }], "refuse finish"],
    [
        "hopeless after a refusal",
        "resumable",
        [sent, ended(AttemptEnd.groupBroken), { kind: "expired" }],
        "refuse finish",
    ],
    [
        "refused beside a silent run",
        "resumable",
        [sent, began, silent, sent, ended(AttemptEnd.full, false)],
        "resume-held",
    ],
    [
        "refused beside a silent run, with budget",
        "resumable",
        [sent, began, silent, sent, ended(AttemptEnd.full)],
        "place",
    ],
    ["lost beside a silent run", "resumable", [sent, began, silent, sent, ended(AttemptEnd.lost)], "resume-held"],
    ["failed beside a silent run without an event", "resumable", [
        sent,
        silent,
        sent,
        ended(AttemptEnd.failed),
    ], "resume-held"],
    ["hopeless beside a silent run", "resumable", [sent, began, silent, { kind: "expired" }], "resume-held"],
    ["quarantined beside a silent run", "resumable", [sent, began, silent, { kind: "obstructed" }], "resume-held"],
    ["out of time beside a silent run", "resumable", [sent, began, silent, timeout], "cancel cut finish"],
    [
        "ended by a stop beside a silent run",
        "resumable",
        [sent, began, silent, sent, { kind: "stopped" }],
        "cut finish",
    ],
    ["continued after a silent run", "resumable", [sent, began, silent, sent, { kind: "continued" }], "cancel-held"],
    ["begun after a silent run", "resumable", [sent, silent, sent, began], "cancel-held"],
    ["lost after it continued a silent run", "resumable", [
        sent,
        began,
        silent,
        sent,
        { kind: "continued" },
        ended(AttemptEnd.lost),
    ], "cut finish"],
    ["lost after the silent run", "resumable", [
        sent,
        began,
        silent,
        sent,
        { kind: "held-ended", isRefused: false },
        ended(AttemptEnd.lost),
    ], "cut finish"],
    ["refused by a silent upstream, then by the other one", "resumable", [
        sent,
        silent,
        sent,
        { kind: "held-ended", isRefused: true },
        ended(AttemptEnd.full),
        { kind: "expired" },
    ], "refuse finish"],
    ["going on after it was silent", "resumable", [sent, began, silent, sent, { kind: "returned" }], "resume-held"],
    ["lost after it was silent and went on", "resumable", [
        sent,
        began,
        silent,
        ended(AttemptEnd.full),
        { kind: "returned" },
        ended(AttemptEnd.lost),
    ], "place"],
    ["left by its caller beside a silent run", "resumable", [
        sent,
        began,
        silent,
        sent,
        { kind: "caller-gone" },
    ], "cancel finish"],
    ["left by its caller", "resumable", [sent, { kind: "caller-gone" }], "cancel finish"],
    ["left by its caller after the end", "once", [sent, completed, { kind: "caller-gone" }], ""],
])("a request that is %s (%s)", (title, kind, events, last) => {
    expect(applyEvents(kind, events).at(-1)).toBe(last);
});
