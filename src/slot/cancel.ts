/** Cancels runs (executions of requests at the upstream) whose callers have disconnected. */
import { RevokeParamsSchema } from "../wire/messages.js";
import type { RpcMethods } from "../wire/rpc.js";
import type { Runner } from "./runner.js";
import { revokeRun, type RunStore } from "./runStore.js";

/**
 * Creates the JSON-RPC method by which an entry cancels a run. A run that has not arrived is revoked, since the call may have
 * overtaken it on another connection.
 */
export function createCancelMethods(store: RunStore, runner: Runner): RpcMethods {
    return {
        cancel: (params: unknown) => {
            const run = RevokeParamsSchema.parse(params);
            const record = store.records.get(`${run.requestId}/${run.attempt}`);
            if (record === undefined) {
                revokeRun(store, run, Date.now());
            }
            else {
                runner.cancel(record);
            }
            return {};
        },
    };
}
