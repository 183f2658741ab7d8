/** Schemas of the settings files that processes and the command line load at startup. */
import { z } from "zod";

const address = z.strictObject({ host: z.ipv4().or(z.ipv6()), port: z.number().int().min(0).max(65535) });
const url = z.url({ protocol: /^http$/ });

const common = {
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    environment: z.enum(["trial", "production"]),
    /** Listening address for calls between processes of this system, and for metrics. */
    internal: address,
    /** Addresses of the platform's log and instance list. */
    platform: z.strictObject({ log: url, list: url }),
    /** Keys that authenticate internal calls: the first signs and all verify, which allows key rotation. */
    internalKeys: z.array(z.string().min(16)).min(1).max(2),
    /** Internal addresses of the seed peers for gossip. */
    peers: z.array(url).default([]),
    /** Memory that the process may use, in MiB; that of the machine if it is absent. */
    memoryMb: z.number().positive().optional(),
    /** Number of descriptors that the process may open; the limit of the operating system if it is absent. */
    descriptors: z.number().int().positive().optional(),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
};

export const EntrySettingsSchema = z.strictObject({
    ...common,
    /** Listening address for callers. */
    listen: address,
    /**
     * Time between reporting not ready and closing the listener, in milliseconds, for the load balancer in front to
     * notice.
     */
    balancerLagMs: z.number().int().nonnegative().default(2000),
    maxBodyBytes: z.number().int().positive().default(4 * 1024 * 1024),
});
export type EntrySettings = z.infer<typeof EntrySettingsSchema>;

export const SlotSettingsSchema = z.strictObject({
    ...common,
    pool: z.string().min(1),
    upstream: z.strictObject({
        url,
        kind: z.enum(["engine", "plain"]),
        /** Control address of the engine; absent for plain services. */
        ordersUrl: url.optional(),
    }),
    /** Rank in an expert-parallel group; absent for upstreams outside a group. */
    group: z.strictObject({ name: z.string(), rank: z.number().int().nonnegative() }).optional(),
});
export type SlotSettings = z.infer<typeof SlotSettingsSchema>;

/** Settings of the operators' command line. */
export const OperatorSettingsSchema = z.strictObject({
    environment: common.environment,
    platform: common.platform,
    internalKeys: common.internalKeys,
});
export type OperatorSettings = z.infer<typeof OperatorSettingsSchema>;

/** Settings that entries and slots share. */
export type CommonSettings = Pick<SlotSettings, keyof typeof common>;
