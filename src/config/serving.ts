/** The document as the direct path serves it: routes by host and path, pools, workspaces, limits. */

/** What may be done with a request whose answer was lost. */
export const RouteKind = {
    /** May run more than once. */
    idempotent: "idempotent",
    /** Runs at most once. */
    nonIdempotent: "non-idempotent",
    /** Answers with events; runs at most once unless the route says that streams may be resumed. */
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
    /** Begins and ends with a slash. */
    pathPrefix: string;
    kind: RouteKind;
    pools: WeightedPool[];
    /** Longest time that a request may be kept waiting, in milliseconds. */
    timeoutMs: number;
    /** Time to the answer, or to the first event, that callers aim for, in milliseconds. */
    targetMs: number;
    /** Longest pause between events that callers accept, in milliseconds; streams only. */
    targetGapMs?: number;
    /** Gap after which callers leave a stream, also before its first event, in milliseconds. */
    patienceMs?: number;
    /** Upstreams that one request may run on. */
    maxAttempts: number;
    /** 0 is the most urgent. */
    urgency: number;
    /** Whether requests need no key. */
    isPublic: boolean;
    /** Whether a stream may go on at another upstream after its last event. */
    isResumable: boolean;
}

/** How experts are placed on the ranks of an engine pool. */
export interface ExpertParameters {
    sets: number;
    experts: number;
    /** Experts of each set that a rank can hold. */
    placements: number;
    /** New experts of each set that a rank can take in one change. */
    spare: number;
    /** Time from the return of a lost rank until the group runs again, in milliseconds. */
    formMs: number;
}

/** What an engine's speed follows from. */
export interface EngineParameters {
    /** Requests that a rank runs at once. */
    slots: number;
    kvTokens: number;
    /** Steps of one pass with writing requests. */
    stride: number;
    stepMs: number;
    /** Added to a step by each writing request, in milliseconds. */
    perSequenceMs: number;
    /** Added to a step by each thousand tokens of context, in milliseconds. */
    perThousandContextTokensMs: number;
    prefillTokensPerSecond: number;
    /** Prompt tokens that one step reads at most. */
    prefillChunkTokens: number;
    typicalPromptTokens: number;
    typicalOutputTokens: number;
    experts?: ExpertParameters;
}

export interface ServingPool {
    name: string;
    healthPath: string;
    /** Connections that an upstream accepts from all callers together. */
    maxConnections: number;
    engine?: EngineParameters;
}

export interface ServingWorkspace {
    name: string;
    keys: string[];
    /** Goes before the route's urgency. */
    urgency?: number;
}

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
    /** Absent when no request needs a key. */
    workspaces?: ServingWorkspace[];
    limits: ServingLimits;
}

/** A document with the look-ups that each request needs. */
export interface ServingIndex {
    document: ServingDocument;
    /** Routes by host, longest prefix first. */
    routes: Map<string, ServingRoute[]>;
    workspaces: Map<string, ServingWorkspace>;
    pools: Map<string, ServingPool>;
}

/** Creates the look-ups of a document. */
export function buildServingIndex(document: ServingDocument): ServingIndex {
    const routes = new Map<string, ServingRoute[]>();
    for (const route of document.routes) {
        const host = route.host.toLowerCase();
        routes.set(host, [...routes.get(host) ?? [], route]);
    }
    routes.forEach(onHost => onHost.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length));
    const workspaces = new Map<string, ServingWorkspace>();
    document.workspaces?.forEach(workspace => workspace.keys.forEach(key => workspaces.set(key, workspace)));
    const pools = new Map(document.pools.map(pool => [pool.name, pool]));
    return { document, routes, workspaces, pools };
}

/** Finds the route with the longest prefix that begins the path of `target`. */
export function findServingRoute(index: ServingIndex, host: string, target: string): ServingRoute | undefined {
    const path = target.split("?", 1)[0];
    const name = host.toLowerCase();
    const onHost = index.routes.get(name) ?? index.routes.get(name.replace(/:\d+$/, ""));
    return onHost?.find(route => path.startsWith(route.pathPrefix));
}

/** Picks a pool by weight; `random` is in [0, 1). */
export function pickPool(route: ServingRoute, random: number): string | undefined {
    const total = route.pools.reduce((sum, { weight }) => sum + weight, 0);
    let left = random * total;
    for (const { pool, weight } of route.pools) {
        left -= weight;
        if (left < 0) {
            return pool;
        }
    }
    return route.pools.at(-1)?.pool;
}

/** Whether a request of the route may run more than once. */
export function isRepeatable(route: ServingRoute): boolean {
    return route.kind === RouteKind.idempotent || (route.kind === RouteKind.streaming && route.isResumable);
}
