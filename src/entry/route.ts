/** Third filter of an entry: matches a request to a route by path, model and workspace. */
import type { Route } from "../config/schemas.js";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { estimateTokens } from "./accept.js";
import type { Exchange } from "./types.js";

const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/**
 * Sets the route and the estimated tokens of the exchange. Among the routes that match, the one with the longest path
 * prefix wins. Throws a `RefusalError` if no route matches (404), the method is not supported (405), the body is not
 * JSON (400) or the workspace may not use the route (403).
 */
export function routeRequest(exchange: Exchange): void {
    const path = (exchange.message.url ?? "/").split("?")[0];
    const routes = exchange.config.document?.routes ?? [];
    const pathMatches = routes.filter(route => isUnderPrefix(path, route.path)).sort((a, b) =>
        b.path.length - a.path.length
    );
    if (pathMatches.length === 0) {
        throw createRefusal(`No route serves ${path}`, { status: 404, outcome: RunOutcome.notRun });
    }
    if (pathMatches.every(route => route.model !== undefined) && exchange.message.method !== "POST") {
        exchange.response.setHeader("allow", "POST");
        throw createRefusal(`${path} serves POST only`, { status: 405, outcome: RunOutcome.notRun });
    }
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
