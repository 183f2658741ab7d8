/** Parameters of a run, as an entry sends them to a slot. */
import type { RunParams } from "../wire/messages.js";

const defaultParams: RunParams = {
    requestId: "r1",
    attempt: 1,
    incarnation: "i1",
    workspace: "w",
    method: "POST",
    path: "/",
    headers: {},
    body: "{}",
    idempotent: false,
    urgency: 3,
    tokens: 1,
    deadlineMs: 5000,
};

/** Creates the parameters of run "r1", a POST without header fields, with the given changes. */
export function createRunParams(changes: Partial<RunParams> = {}): RunParams {
    return { ...defaultParams, ...changes };
}
