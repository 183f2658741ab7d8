/** Configuration document of the demo. */
import { hashKey } from "../entry/authenticate.js";

/** API keys by workspace. */
export const demoKeys = { reception: "reception-key", caseworkers: "caseworkers-key", batch: "batch-key" };

/** Creates the configuration document, which holds hashes of the API keys in place of the keys. */
export function createDemoDocument(): object {
    return {
        workspaces: Object.entries(demoKeys).map(([name, key]) => ({
            name,
            keys: [hashKey(key)],
            weight: name === "batch" ? 1 : 4,
        })),
        pools: [
            { name: "assistant", kind: "engine", concurrency: 32, tokens: 50_000, queue: 64 },
            { name: "claims", kind: "plain", concurrency: 32, queue: 64 },
        ],
        routes: [
            {
                path: "/v1/chat/completions",
                model: "assistant",
                pool: "assistant",
                idempotent: true,
                spill: "when-full",
            },
            { path: "/claims", pool: "claims", workspaces: ["caseworkers", "batch"], spill: "always" },
            { path: "/lookups", pool: "claims", idempotent: true, spill: "always" },
        ],
    };
}
