/** Cancels runs (executions of requests at the upstream) whose callers have disconnected. */
import { RevokeParamsSchema } from "../wire/messages.js";
import type { RpcMethods } from "../wire/rpc.js";
import type { Runner } from "./runner.js";
import type { RunStore } from "./runStore.js";

/** Creates the JSON-RPC method by which an entry cancels a run. */
export function createCancelMethods(store: RunStore, runner: Runner): RpcMethods {
    return {
        cancel: (params: unknown) => {
            const { requestId, attempt } = RevokeParamsSchema.parse(params);
            const record = store.records.get(`${requestId}/${attempt}`);
            if (record !== undefined) {
                runner.cancel(record);
            }
            return {};
        },
    };
}
