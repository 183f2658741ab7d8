/**
 * Configuration document of the direct path (routes, pools, workspaces, limits), on which entries send requests
 * straight to upstreams, and its lookup tables.
 */

/** How often a request of a route may run, which decides whether it is retried after its response was lost. */
export const RouteKind = {
    /** A request may run more than once. */
    idempotent: "idempotent",
    /** A request runs at most once. */
    nonIdempotent: "non-idempotent",
    /** The response is an event stream; a request runs at most once unless the route allows streams to be resumed. */
    streaming: "streaming",
} as const;
export type RouteKind = (typeof RouteKind)[keyof typeof RouteKind];

export interface WeightedPool {
    pool: string;
    weight: number;
}

export interface ServingRoute {
    name: string;
    host: string;
    /** Path prefix, with a leading and a trailing slash. */
    pathPrefix: string;
    kind: RouteKind;
    pools: WeightedPool[];
    /** Maximum time from the arrival of a request to its deadline, in milliseconds. */
    timeoutMs: number;
    /** Latency target for the response, or for the first event of a stream, in milliseconds. */
    targetMs: number;
    /** Latency target for the gap between two events of a stream, in milliseconds. */
    targetGapMs?: number;
    /** Time without an event, also before the first one, after which callers abandon a stream, in milliseconds. */
    patienceMs?: number;
    /** Maximum number of upstreams that one request may run on. */
    maxAttempts: number;
    /** Priority class; 0 is the most urgent. */
    urgency: number;
    /** Whether requests are accepted without a key. */
    isPublic: boolean;
    /** Whether another upstream may resume a broken stream after its last event. */
    isResumable: boolean;
}

/** Dimensions and limits of the expert placement in an engine pool. */
export interface ExpertParameters {
    /** Number of expert sets. */
    sets: number;
    /** Number of experts per set. */
    experts: number;
    /** Maximum number of experts of each set on one rank. */
    placements: number;
    /** Maximum number of experts of each set that one placement change may add to a rank. */
    spare: number;
    /** Time to re-form the group after a lost rank has returned, in milliseconds. */
    formMs: number;
}

/** Parameters of an engine's performance model. */
export interface EngineParameters {
    /** Maximum number of concurrent requests per rank. */
    slots: number;
    kvTokens: number;
    /** Number of steps in one decode pass. */
    stride: number;
    /** Base duration of a step, in milliseconds. */
    stepMs: number;
    /** Additional step time per decoding request, in milliseconds. */
    perSequenceMs: number;
    /** Additional step time per 1,000 tokens of context, in milliseconds. */
    perThousandContextTokensMs: number;
    /** Prefill throughput, in prompt tokens per second. */
    prefillTokensPerSecond: number;
    /** Maximum number of prompt tokens that one step prefills. */
    prefillChunkTokens: number;
    typicalPromptTokens: number;
    typicalOutputTokens: number;
    experts?: ExpertParameters;
}

/** A named set of upstreams. */
export interface ServingPool {
    name: string;
    healthPath: string;
    /** Maximum number of connections that an upstream accepts in total. */
    maxConnections: number;
    engine?: EngineParameters;
}

/** A workspace (tenant), whose callers are known by their API keys. */
export interface ServingWorkspace {
    name: string;
    keys: string[];
    /** Overrides the urgency of the route. */
    urgency?: number;
}

/** Limits on connections and requests of callers. */
export interface ServingLimits {
    maxHeaderBytes: number;
    maxBodyBytes: number;
    headerTimeoutMs: number;
    idleTimeoutMs: number;
}

export interface ServingDocument {
    revision: number;
    routes: ServingRoute[];
    pools: ServingPool[];
    /** Absent if no request needs a key. */
    workspaces?: ServingWorkspace[];
    limits: ServingLimits;
}

/** A document with lookup tables for routing requests. */
export interface ServingIndex {
    document: ServingDocument;
    /** Routes by host, longest prefix first. */
    routes: Map<string, ServingRoute[]>;
    /** Workspaces by key. */
    workspaces: Map<string, ServingWorkspace>;
    /** Pools by name. */
    pools: Map<string, ServingPool>;
}

/** Builds the lookup tables of a document. */
export function buildServingIndex(document: ServingDocument): ServingIndex {
    const routes = new Map<string, ServingRoute[]>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        routes.set(host, [...routes.get(host) ?? [], route]);
    }
    routes.forEach(hostRoutes => hostRoutes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    const workspaces = new Map<string, ServingWorkspace>();
    document.workspaces?.forEach(workspace => workspace.keys.forEach(key => workspaces.set(key, workspace)));
    const pools = new Map(document.pools.map(pool => [pool.name, pool]));
    return { document, routes, workspaces, pools };
}

/**
 * Finds the route of a host with the longest prefix of the path in `target`, the request target without its query.
 * Falls back to the host without its port.
 */
export function findServingRoute(index: ServingIndex, host: string, target: string): ServingRoute | undefined {
    const path = target.split("?", 1)[0];
    const hostName = host.toLowerCase();
    const hostRoutes = index.routes.get(hostName) ?? index.routes.get(hostName.replace(/:\d+$/, ""));
    return hostRoutes?.find(route => path.startsWith(route.pathPrefix));
}

/** Picks a pool of the route at random, in proportion to the weights; `random` is in [0, 1). */
export function pickPool(route: ServingRoute, random: number): string | undefined {
    const totalWeight = route.pools.reduce((sum, { weight }) => sum + weight, 0);
    let remaining = random * totalWeight;
    for (const { pool, weight } of route.pools) {
        remaining -= weight;
        if (remaining < 0) {
            return pool;
        }
    }
    return route.pools.at(-1)?.pool;
}

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: ServingRoute): boolean {
    return route.kind === RouteKind.idempotent || (route.kind === RouteKind.streaming && route.isResumable);
}
