import { expect, it } from "vitest";
import type { Frame } from "../../wire/messages.js";
import { advanceAttempt, type AttemptAction, type AttemptEvent, createAttemptState } from "../attempt.js";

const deadline = 1000;
const load = {
    incarnation: "a",
    tokensInFlight: 0,
    requestsInFlight: 0,
    queued: 0,
    state: "live",
    serviceMs: 1,
} as const;

function makeFrame(attempt: number, sequence: number, rest: object, requestId = "r1"): AttemptEvent {
    return { kind: "frame", frame: { requestId, attempt, sequence, ...rest } as Frame };
}

const makeAccepted = (attempt = 1) => makeFrame(attempt, 0, { kind: "accepted", incarnation: "a" });
const head = (attempt = 1, sequence = 1, status = 200) =>
    makeFrame(attempt, sequence, { kind: "head", status, headers: {} });
const data = (sequence: number, text: string, attempt = 1) =>
    makeFrame(attempt, sequence, { kind: "data", data: text });
const end = (sequence: number, length: number, attempt = 1) =>
    makeFrame(attempt, sequence, { kind: "end", length, load });
const keepalive = (sequence: number) => makeFrame(1, sequence, { kind: "keepalive" });
const makeFailed = (outcome: string, attempt = 1, status = 503) =>
    makeFrame(attempt, 0, { kind: "failed", outcome, status, title: "refused", retryAfterSeconds: 4 });
const makeForeignFrame = (sequence: number, rest: object) => makeFrame(1, sequence, rest, "r2");
const chosen: AttemptEvent = { kind: "chosen" };
const broken: AttemptEvent = { kind: "broken" };
const silent: AttemptEvent = { kind: "broken", canLeaveSlot: true };
const unreachable: AttemptEvent = { kind: "unreachable" };
const deadlinePassed: AttemptEvent = { kind: "deadline" };
const callerGone: AttemptEvent = { kind: "caller-gone" };
const retryRefused: AttemptEvent = { kind: "retry-refused", retryAfterSeconds: 7 };

function describeAction(action: AttemptAction): string {
    switch (action.kind) {
        case "relay":
            return `relay ${action.frame.kind}${action.frame.kind === "data" ? ` ${action.frame.data}` : ""}`;
        case "resume":
            return `resume ${action.nextSequence}`;
        case "retry":
            return `retry ${action.reason}`;
        case "fail":
            return ["fail", action.outcome, action.status, action.retryAfterSeconds].filter(Boolean).join(" ");
        default:
            return action.kind;
    }
}

function runEvents(idempotent: boolean, events: AttemptEvent[], now = 0): string {
    const state = createAttemptState(idempotent, deadline, "r1");
    return events.flatMap(event => advanceAttempt(state, event, now).map(describeAction)).join(", ");
}

interface Case {
    name: string;
    events: AttemptEvent[];
    /** Expected actions for a non-idempotent request. */
    once: string;
    /** Expected actions for an idempotent request, if they differ. */
    idempotent?: string;
}

const startedResponse = [chosen, makeAccepted(), head(), data(2, "ab")];
const startedResponseActions = "send, relay head, relay data ab";

// dprint-ignore
const cases: Case[] = [
    { name: "whole answer", events: [...startedResponse, data(3, "c"), end(4, 3)], once: `${startedResponseActions}, relay data c, relay end, finish` },
    { name: "duplicated frames", events: [chosen, makeAccepted(), makeAccepted(), head(), head(), data(2, "ab"), data(2, "ab"), end(3, 2), end(3, 2)], once: "send, drop, relay head, drop, relay data ab, drop, relay end, finish, drop" },
    { name: "reordered frames", events: [...startedResponse, data(4, "d"), data(3, "c")], once: `${startedResponseActions}, resume 3, relay data c` },
    { name: "gap, then the resumed answer from the missing frame on", events: [...startedResponse, data(4, "d"), data(3, "c"), data(4, "d"), end(5, 4)], once: `${startedResponseActions}, resume 3, relay data c, relay data d, relay end, finish` },
    { name: "keepalive that shows a lost frame", events: [...startedResponse, keepalive(3), keepalive(4)], once: `${startedResponseActions}, resume 3` },
    { name: "late frame of an abandoned attempt", events: [chosen, makeFailed("not-run"), chosen, head(1), head(2, 0), data(2, "zz"), data(1, "ab", 2), end(2, 2, 2)], once: "send, retry refused, choose, send, drop, relay head, drop, relay data ab, relay end, finish" },
    { name: "late refusal of an abandoned attempt", events: [chosen, unreachable, chosen, makeFailed("not-run", 1)], once: "send, retry unreachable, choose, send, drop" },
    { name: "frames with another request's id", events: [...startedResponse, makeForeignFrame(3, { kind: "data", data: "zz" }), makeForeignFrame(3, { kind: "end", length: 2, load }), data(3, "c")], once: `${startedResponseActions}, drop, drop, relay data c` },
    { name: "refusal with another request's id", events: [chosen, makeForeignFrame(0, { kind: "failed", outcome: "not-run", status: 503, title: "x" })], once: "send, drop" },
    { name: "wrong length at the end", events: [...startedResponse, end(3, 9)], once: `${startedResponseActions}, fail run 502` },
    { name: "end before a head", events: [chosen, makeAccepted(), end(1, 0)], once: "send, fail unknown 502" },
    { name: "data before a head", events: [chosen, makeAccepted(), data(1, "ab")], once: "send, fail unknown 502" },
    { name: "second head", events: [...startedResponse, head(1, 3)], once: `${startedResponseActions}, fail run 502` },
    { name: "head with an impossible status", events: [chosen, makeAccepted(), head(1, 1, 99)], once: "send, fail unknown 502" },
    { name: "refusal not run, then no candidate", events: [chosen, makeFailed("not-run"), { kind: "no-candidate" }], once: "send, retry refused, choose, fail not-run 503 2" },
    { name: "refusal not run at every attempt", events: [chosen, makeFailed("not-run"), chosen, makeFailed("not-run", 2), chosen, makeFailed("not-run", 3)], once: "send, retry refused, choose, send, retry refused, choose, send, fail not-run 503 4" },
    { name: "failure of unknown outcome, then refusal not run", events: [chosen, makeFailed("unknown", 1, 502), chosen, makeFailed("not-run", 2), { kind: "no-candidate" }], once: "send, fail unknown 502 4, drop", idempotent: "send, retry refused, choose, send, retry refused, choose, fail unknown 503 2" },
    { name: "refusal while the retry budget is spent", events: [chosen, makeFailed("not-run"), retryRefused], once: "send, retry refused, choose, fail not-run 503 7" },
    { name: "lost slot while the retry budget is spent", events: [chosen, makeAccepted(), broken, unreachable, unreachable, unreachable, retryRefused], once: "send, resume 1, resume 1, resume 1, fail unknown 502", idempotent: "send, resume 1, resume 1, resume 1, retry lost, choose, fail unknown 503 7" },
    { name: "refusal that says not run after the head", events: [...startedResponse, makeFailed("not-run")], once: `${startedResponseActions}, fail run 503` },
    { name: "silent slot beside one that can take the request", events: [chosen, silent], once: "send, resume 0", idempotent: "send, retry lost, choose" },
    { name: "silent slot that is unreachable then", events: [chosen, broken, { ...silent, kind: "unreachable" }], once: "send, resume 0, resume 0", idempotent: "send, resume 0, retry lost, choose" },
    { name: "slot lost before its first frame", events: [chosen, broken, unreachable, unreachable, unreachable], once: "send, resume 0, resume 0, resume 0, fail unknown 502", idempotent: "send, resume 0, resume 0, resume 0, retry lost, choose" },
    { name: "slot lost before the first data", events: [chosen, makeAccepted(), silent, silent, unreachable, unreachable], once: "send, resume 1, resume 1, resume 1, fail unknown 502", idempotent: "send, resume 1, resume 1, resume 1, retry lost, choose" },
    { name: "slot lost that has sent signs of life only", events: [chosen, keepalive(0), silent, silent, unreachable, unreachable], once: "send, resume 0, resume 0, resume 0, fail unknown 502", idempotent: "send, resume 0, resume 0, resume 0, retry lost, choose" },
    { name: "slot lost after the first data", events: [...startedResponse, broken, unreachable, unreachable, unreachable], once: `${startedResponseActions}, resume 3, resume 3, resume 3, fail run 502` },
    { name: "connection broken after the first data, resumed with replayed frames", events: [...startedResponse, broken, data(2, "ab"), data(3, "c"), end(4, 3)], once: `${startedResponseActions}, resume 3, drop, relay data c, relay end, finish` },
    { name: "connection broken, and the slot proves that the run never arrived", events: [chosen, broken, makeFailed("not-run")], once: "send, resume 0, retry never-arrived, choose" },
    { name: "connection broken, and a restarted slot cannot tell", events: [chosen, broken, makeFailed("unknown")], once: "send, resume 0, fail unknown 503 4", idempotent: "send, resume 0, retry refused, choose" },
    { name: "nothing sent", events: [chosen, unreachable], once: "send, retry unreachable, choose" },
    { name: "deadline before anything was sent", events: [deadlinePassed], once: "fail not-run 504" },
    { name: "deadline between a refusal and the next attempt", events: [chosen, makeFailed("not-run"), deadlinePassed], once: "send, retry refused, choose, fail not-run 504" },
    { name: "deadline after the request was sent", events: [chosen, deadlinePassed], once: "send, fail unknown 504" },
    { name: "deadline after the first data", events: [...startedResponse, deadlinePassed, data(3, "c")], once: `${startedResponseActions}, fail run 504, drop` },
    { name: "caller gone before anything was sent", events: [callerGone, chosen], once: "" },
    { name: "caller gone mid-stream", events: [...startedResponse, callerGone, data(3, "c"), broken], once: `${startedResponseActions}, cancel, drop` },
    { name: "caller gone after the end", events: [...startedResponse, end(3, 2), callerGone], once: `${startedResponseActions}, relay end, finish` },
];

it.each(cases)("$name", ({ events, once, idempotent }) => {
    expect([runEvents(false, events), runEvents(true, events)]).toEqual([once, idempotent ?? once]);
});

it("does not retry past the deadline", () => {
    expect(runEvents(true, [chosen, makeFailed("not-run")], deadline)).toBe("send, fail not-run 503 4");
});
