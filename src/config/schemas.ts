/** Schemas of the configuration document that operators edit and promote. */
import { z } from "zod";
import { collectDocumentIssues } from "./documentChecks.js";

const name = z.string().regex(/^[a-z0-9][a-z0-9-]{0,62}$/, "Expected lower-case letters, digits and dashes");
const keyHash = z.string().regex(/^sha256:[0-9a-f]{64}$/, "Expected sha256: and 64 hex digits");

export const WorkspaceSchema = z.strictObject({
    name,
    /** Hashes of the bearer keys that callers of this workspace present. */
    keys: z.array(keyHash).min(1),
    /** Share of a contended upstream relative to the other workspaces. */
    weight: z.number().positive().max(1000).default(1),
});
export type Workspace = z.infer<typeof WorkspaceSchema>;

export const PoolSchema = z.strictObject({
    name,
    kind: z.enum(["engine", "plain"]),
    /** Requests that one upstream runs at the same time. */
    concurrency: z.number().int().positive().default(64),
    /** Tokens of admitted work that one upstream holds at the same time. */
    tokens: z.number().int().positive().default(200_000),
    /** Requests that wait at one upstream. */
    queue: z.number().int().nonnegative().default(128),
});

export const RouteSchema = z.strictObject({
    /** Prefix of the request path. */
    path: z.string().startsWith("/"),
    /** Serves only requests whose body names this model. */
    model: z.string().optional(),
    pool: name,
    /** Workspaces that may use the route; all when absent. */
    workspaces: z.array(name).optional(),
    /** Whether a request may be repeated without harm, whatever its method. */
    idempotent: z.boolean().default(false),
    /** When other data centres may serve. */
    spill: z.enum(["never", "when-full", "always"]).default("when-full"),
    deadlineSeconds: z.number().positive().max(3600).default(60),
});
export type Route = z.infer<typeof RouteSchema>;

export const GroupSchema = z.strictObject({
    name,
    pool: name,
    ranks: z.number().int().min(2).max(1024),
    layers: z.number().int().min(1).max(256),
    experts: z.number().int().min(1).max(4096),
    slotsPerRank: z.number().int().min(1).max(64),
    /** Which of the two measures weighs more: step-time skew or the cost of moving. */
    preset: z.enum(["skew", "cost"]).default("skew"),
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
