/** Messages between peers, with the schemas that validate them on receipt. */
import { z } from "zod";
import { InstanceState, Role } from "../core/types.js";
import { InstanceIdSchema, InstanceUrlSchema } from "./instanceSchema.js";

/** Member information that gossip spreads; small, because each message carries several. */
const MemberInfoSchema = z.object({
    instance: InstanceIdSchema,
    /** Start time of the process, Unix time in milliseconds; a restart increases it. */
    incarnation: z.number(),
    state: z.enum(InstanceState),
    role: z.enum(Role),
    dataCentre: z.string().max(100),
    url: InstanceUrlSchema,
    /** Upstream pool of a slot. */
    pool: z.string().max(64).optional(),
    /** Set if an instance list has shown this incarnation and dropped it. */
    isDropped: z.literal(true).optional(),
});
/** Information about one member of the gossip cluster. */
export type MemberInfo = z.infer<typeof MemberInfoSchema>;

/** Schema of the request and the response of a gossip exchange. */
export const GossipMessageSchema = z.object({
    sender: MemberInfoSchema,
    revision: z.number().int().nonnegative(),
    digest: z.string().max(100),
    /** Load of the sender's upstream, in tokens; 0 for entries. */
    load: z.number().nonnegative(),
    news: z.array(MemberInfoSchema).max(16),
});
/** Request or response of a gossip exchange. */
export type GossipMessage = z.infer<typeof GossipMessageSchema>;

/** Schema of a configuration revision that a peer sends. */
export const RevisionSchema = z.object({
    revision: z.number().int().nonnegative(),
    digest: z.string(),
    author: z.string(),
    document: z.unknown(),
});

/** JSON-RPC methods called by peers and by the command line. */
export const PeerMethod = {
    gossip: "gossip",
    revision: "revision",
    status: "status",
} as const;
