/** Filters of an entry that match a request to a route: by its path before the body is read, and by model and workspace. */
import type { Route } from "../config/schemas.js";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { estimateTokens } from "./accept.js";
import type { Exchange } from "./types.js";

const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Throws a `RefusalError` if no route matches the path (404) or the method is not supported (405). */
export function checkPath(exchange: Exchange): void {
    const pathMatches = listPathMatches(exchange);
    if (pathMatches.length === 0) {
        throw createRefusal(`No route serves ${getPath(exchange)}`, { status: 404, outcome: RunOutcome.notRun });
    }
    if (pathMatches.every(route => route.model !== undefined) && exchange.message.method !== "POST") {
        exchange.response.setHeader("allow", "POST");
        throw createRefusal(`${getPath(exchange)} serves POST only`, { status: 405, outcome: RunOutcome.notRun });
    }
}

/**
 * Sets the route and the estimated tokens of the exchange, whose body has been read. Among the routes that match, the one
 * with the longest path prefix wins. Throws a `RefusalError` if no route matches (404), the body is not JSON (400) or the
 * workspace may not use the route (403).
 */
export function routeRequest(exchange: Exchange): void {
    const path = getPath(exchange);
    const pathMatches = listPathMatches(exchange);
    const model = pathMatches.some(route => route.model !== undefined) ? parseModel(exchange.body) : undefined;
    const modelMatches = pathMatches.filter(route => route.model === undefined || route.model === model);
    if (modelMatches.length === 0) {
        throw createRefusal(`No route on ${path} serves model ${JSON.stringify(model ?? "")}`, {
            status: 404,
            outcome: RunOutcome.notRun,
        });
    }
    const workspace = exchange.workspace?.name ?? "";
    exchange.route = modelMatches.find(route => route.workspaces?.includes(workspace) ?? true);
    if (exchange.route === undefined) {
        throw createRefusal(`Workspace ${workspace} may not use this route`, {
            status: 403,
            outcome: RunOutcome.notRun,
        });
    }
    exchange.tokens = estimateTokens(exchange);
}

function getPath({ message }: Exchange): string {
    return (message.url ?? "/").split("?")[0];
}

/** Lists the routes that match the path, the one with the longest prefix first. */
function listPathMatches(exchange: Exchange): Route[] {
    const path = getPath(exchange);
    const routes = exchange.config.document?.routes ?? [];
    return routes.filter(route => isUnderPrefix(path, route.path)).sort((a, b) => b.path.length - a.path.length);
}

/** Whether a request may safely be executed more than once. */
export function isIdempotent(method: string, route: Route): boolean {
    return route.idempotent || idempotentMethods.has(method);
}

/** Whether `path` equals `prefix` or is below it; matches whole segments only. */
function isUnderPrefix(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}

/** Returns the `model` field of a JSON body; throws a `RefusalError` if the body is not JSON. */
function parseModel(body: Buffer): string | undefined {
    try {
        const { model } = JSON.parse(body.toString()) as { model?: unknown; };
        return typeof model === "string" ? model : undefined;
    }
    catch {
        throw createRefusal("The body is not JSON", { status: 400, outcome: RunOutcome.notRun });
    }
}
