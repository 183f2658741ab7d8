/** A cancel call that overtook its run call on another connection did nothing, and the run went on without a caller. */
import { expect, test } from "vitest";
import type { RunParams } from "../../wire/messages.js";
import { createCancelMethods } from "../cancel.js";
import type { Runner } from "../runner.js";
import { beginRun, createRunStore } from "../runStore.js";

const incarnation = "slot-1/1";
const run = { requestId: "request-1", attempt: 1, incarnation };

test.each([
    ["refuses the run that arrives later", incarnation, "refuse"],
    ["begins a run that was sent to another incarnation", "slot-1/0", "begin"],
    ["begins a run if the call names no incarnation", undefined, "begin"],
])("a slot that is told to cancel an unknown run %s", async (title, named, expected) => {
    const store = createRunStore(incarnation);
    const { cancel } = createCancelMethods(store, {} as Runner);
    await cancel({ ...run, incarnation: named } as never);
    expect(beginRun(store, run as RunParams, Date.now()).kind).toBe(expected);
});
