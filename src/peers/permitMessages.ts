/** Datagrams with which entries share the rates of limited upstreams; see `permitPool.ts`. */
import { z } from "zod/mini";
import { PermitRequestKind } from "../routing/permitHolder.js";

const number = z.number();
const counts = z.record(z.string(), z.number());

const WireRateLimitSchema = z.object({
    upstream: z.string(),
    startedAt: z.optional(number),
    pool: z.string(),
    requestsPerSecond: number,
    /** Milliseconds since a response last named the limit, and since the first one after it that did not. */
    namedAgeMs: number,
    unnamedAgeMs: z.optional(number),
    source: z.string(),
});
/** Rate limit of an upstream with ages in place of times, as the clocks of two processes differ. */
export type WireRateLimit = z.infer<typeof WireRateLimitSchema>;

/** Position up to which a process knows the rate limits of another one. */
const TableVersionSchema = z.object({
    /** Start of the process, in milliseconds of Unix time. */
    startedAt: number,
    version: number,
});
export type TableVersion = z.infer<typeof TableVersionSchema>;

/** Sent by an entry to a coordinator; see `PermitRequestKind`. */
export const PermitRequestSchema = z.object({
    kind: z.literal("permit-request"),
    from: z.string(),
    startedAt: number,
    sentAt: number,
    purpose: z.enum(PermitRequestKind),
    demands: z.array(z.object({
        pool: z.string(),
        arrivalsPerSecond: number,
        wanted: z.array(z.object({ rank: number, count: number })),
    })),
    returned: counts,
    entryCount: z.optional(number),
    /** Rate limits that the receiver may not know, and the version of the sender's table that they lead to. */
    limits: z.array(WireRateLimitSchema),
    version: number,
    /** Version of the receiver's table that the sender knows. */
    known: z.optional(TableVersionSchema),
});
export type PermitRequestMessage = z.infer<typeof PermitRequestSchema>;

/** Response to a request for permits, or to a presence heartbeat while there are rate limits. */
export const PermitGrantSchema = z.object({
    kind: z.literal("permit-grant"),
    from: z.string(),
    sentAt: number,
    /** Request to which this responds; undefined in a response to a presence heartbeat. */
    request: z.optional(
        z.object({ startedAt: number, sentAt: number, version: number, purpose: z.enum(PermitRequestKind) }),
    ),
    permits: counts,
    entryCount: z.optional(number),
    pools: z.record(z.string(), z.object({ rate: number, arrivals: number })),
    limits: z.array(WireRateLimitSchema),
    table: TableVersionSchema,
});
export type PermitGrantMessage = z.infer<typeof PermitGrantSchema>;
