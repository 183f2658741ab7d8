/** Schemas of the configuration document that operators edit, publish (to trial) and promote (to production). */
import { z } from "zod";
import { collectDocumentIssues } from "./documentChecks.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "Expected lower-case letters, digits and dashes");
const keyHash = z.string().regex(/^sha256:[0-9a-f]{64}$/, "Expected sha256: and 64 hex digits");

/** A tenant, whose callers are known by their bearer keys. */
export const WorkspaceSchema = z.strictObject({
    name,
    /** SHA-256 hashes of the bearer keys of this workspace's callers. */
    keys: z.array(keyHash).min(1),
    /** Weight in the fair sharing of a contended upstream among workspaces. */
    weight: z.number().positive().max(1000).default(1),
});
export type Workspace = z.infer<typeof WorkspaceSchema>;

/** A named set of upstreams of one kind, with limits per upstream. */
export const PoolSchema = z.strictObject({
    name,
    kind: z.enum(["engine", "plain"]),
    /** Maximum number of concurrent requests per upstream. */
    concurrency: z.number().int().positive().default(64),
    /** Maximum number of tokens of admitted work per upstream. */
    tokens: z.number().int().positive().default(200_000),
    /** Maximum number of queued requests per upstream. */
    queue: z.number().int().nonnegative().default(128),
});

/** Maps requests to a pool. */
export const RouteSchema = z.strictObject({
    /** Prefix of the request path. */
    path: z.string().startsWith("/"),
    /** Matches only requests whose body names this model. */
    model: z.string().optional(),
    pool: name,
    /** Workspaces that may use the route; all if absent. */
    workspaces: z.array(name).optional(),
    /** Whether requests are safe to retry, whatever their method. */
    idempotent: z.boolean().default(false),
    /** When requests may be served by other data centres. */
    spill: z.enum(["never", "when-full", "always"]).default("when-full"),
    deadlineSeconds: z.number().positive().max(3600).default(60),
});
export type Route = z.infer<typeof RouteSchema>;

/** An expert-parallel group and the dimensions of its expert map. */
export const GroupSchema = z.strictObject({
    name,
    pool: name,
    ranks: z.number().int().min(2).max(1024),
    layers: z.number().int().min(1).max(256),
    experts: z.number().int().min(1).max(4096),
    /** Number of expert replicas that one rank holds per layer. */
    slotsPerRank: z.number().int().min(1).max(64),
    /** Which objective the planner of the expert map favours: low step-time skew, or a low cost of moving experts. */
    preset: z.enum(["skew", "cost"]).default("skew"),
    /** Time between two plans of the expert map. */
    planIntervalSeconds: z.number().positive().default(60),
});
export type Group = z.infer<typeof GroupSchema>;

export const DocumentSchema = z.strictObject({
    workspaces: z.array(WorkspaceSchema).min(1),
    pools: z.array(PoolSchema).min(1),
    routes: z.array(RouteSchema).min(1),
    groups: z.array(GroupSchema).default([]),
}).superRefine((document, context) => {
    for (const { path, message } of collectDocumentIssues(document)) {
        context.addIssue({ code: "custom", path, message });
    }
});
export type ConfigDocument = z.infer<typeof DocumentSchema>;
