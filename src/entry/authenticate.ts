/** Second filter of an entry: authenticates the workspace (tenant) by the bearer key of the request. */
import { createHash } from "node:crypto";
import type { ConfigDocument, Workspace } from "../config/schemas.js";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import type { Exchange } from "./types.js";

/** Index of each config document, from the hash of a key to its workspace. */
const workspacesByKeyHash = new WeakMap<ConfigDocument, Map<string, Workspace>>();

/**
 * Sets the workspace of the exchange. Keys are looked up by hash, so that the time taken does not reveal their content.
 * Throws a `RefusalError` if the key belongs to no workspace (401) or no configuration is in force yet (503).
 */
export function authenticateWorkspace(exchange: Exchange): void {
    const { document } = exchange.config;
    if (document === undefined) {
        throw createRefusal("No configuration is in force yet", {
            status: 503,
            outcome: RunOutcome.notRun,
            retryAfterSeconds: 5,
        });
    }
    const header = exchange.message.headers.authorization ?? "";
    const match = /^Bearer ([\x21-\x7e]{1,512})$/i.exec(header);
    const hash = !match ? "" : hashKey(match[1]);
    exchange.workspace = getWorkspacesByKeyHash(document).get(hash);
    if (exchange.workspace === undefined) {
        throw createRefusal("The bearer key belongs to no workspace", { status: 401, outcome: RunOutcome.notRun });
    }
}

/** Hashes a bearer key into the format that config documents store: `sha256:` and 64 hex digits. */
export function hashKey(key: string): string {
    return `sha256:${createHash("sha256").update(key).digest("hex")}`;
}

function getWorkspacesByKeyHash(document: ConfigDocument): Map<string, Workspace> {
    let index = workspacesByKeyHash.get(document);
    if (index === undefined) {
        index = new Map(document.workspaces.flatMap(w => w.keys.map(key => [key, w] as const)));
        workspacesByKeyHash.set(document, index);
    }
    return index;
}
