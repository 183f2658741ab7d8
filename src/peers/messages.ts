/** Messages between peers, and the schemas that a receiver checks them with. */
import { z } from "zod";
import { InstanceState, Role } from "../core/types.js";

/** What is told of an instance: small, since many travel in each message. */
const MemberInfoSchema = z.object({
    instance: z.string().max(100),
    /** Time of the process's start, in milliseconds; a restart raises it. */
    incarnation: z.number(),
    state: z.enum(InstanceState),
    role: z.enum(Role),
    dataCentre: z.string().max(100),
    url: z.string().max(200),
    /** Pool of upstreams that a slot belongs to. */
    pool: z.string().max(64).optional(),
});
export type MemberInfo = z.infer<typeof MemberInfoSchema>;

export const GossipMessageSchema = z.object({
    sender: MemberInfoSchema,
    revision: z.number().int().nonnegative(),
    digest: z.string().max(100),
    /** Load of the sender's upstream in tokens; 0 for entries. */
    load: z.number().nonnegative(),
    news: z.array(MemberInfoSchema).max(16),
});
export type GossipMessage = z.infer<typeof GossipMessageSchema>;

export const RevisionSchema = z.object({
    revision: z.number().int().nonnegative(),
    digest: z.string(),
    author: z.string(),
    document: z.unknown(),
});

/** Names of the JSON-RPC methods that peers and the command line call. */
export const PeerMethod = {
    gossip: "gossip",
    revision: "revision",
    status: "status",
} as const;
