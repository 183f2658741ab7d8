/** Third filter: finds the route that serves a request. */
import type { Route } from "../config/schemas.js";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { estimateTokens } from "./accept.js";
import type { Exchange } from "./types.js";

const idempotentMethods = new Set(["GET", "HEAD", "OPTIONS", "PUT", "DELETE"]);

/** Sets the route and the estimate of work, or refuses. */
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

/** Whether a request may be repeated without harm. */
export function isIdempotent(method: string, route: Route): boolean {
    return route.idempotent || idempotentMethods.has(method);
}

function isUnderPrefix(path: string, prefix: string): boolean {
    return path === prefix || path.startsWith(prefix.endsWith("/") ? prefix : `${prefix}/`);
}

function parseModel(body: Buffer): string | undefined {
    try {
        const { model } = JSON.parse(body.toString()) as { model?: unknown; };
        return typeof model === "string" ? model : undefined;
    }
    catch {
        throw createRefusal("The body is not JSON", { status: 400, outcome: RunOutcome.notRun });
    }
}
