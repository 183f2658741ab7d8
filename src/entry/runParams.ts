/** Parameters of the `run` call, with which an entry has a slot execute a request at its upstream. */
import { filterHeaders } from "../slot/upstream.js";
import type { RunParams } from "../wire/messages.js";
import type { Exchange } from "./types.js";

/**
 * Creates the parameters of one attempt; `state.deadline` is in milliseconds since the epoch. The `authorization`
 * header is removed, so that the caller's key does not reach slots and upstreams.
 */
export function createRunParams(
    exchange: Exchange,
    state: { attempt: number; idempotent: boolean; deadline: number; },
    incarnation: string | undefined,
    canWaitForPause: boolean,
): RunParams {
    const { message, body } = exchange;
    const headers = filterHeaders(message.headers);
    delete headers.authorization;
    return {
        requestId: exchange.requestId,
        attempt: state.attempt,
        incarnation,
        workspace: exchange.workspace!.name,
        method: message.method ?? "GET",
        path: message.url ?? "/",
        headers,
        body: body.toString("latin1"),
        idempotent: state.idempotent,
        idempotencyKey: exchange.idempotencyKey,
        urgency: exchange.urgency,
        tokens: exchange.tokens,
        deadlineMs: Math.max(1, state.deadline - Date.now()),
        canWaitForPause,
    };
}
