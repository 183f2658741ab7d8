/** Schemas of the settings file that each process starts from. */
import { z } from "zod";

const address = z.strictObject({ host: z.ipv4().or(z.ipv6()), port: z.number().int().min(0).max(65535) });
const url = z.url({ protocol: /^http$/ });

const common = {
    instance: z.string().min(1),
    dataCentre: z.string().min(1),
    environment: z.enum(["trial", "production"]),
    /** Address for calls between this system's processes, and for metrics. */
    internal: address,
    platform: z.strictObject({ log: url, list: url }),
    /** Keys for internal calls: the first signs, all verify. */
    internalKeys: z.array(z.string().min(16)).min(1).max(2),
    /** Internal addresses to gossip with first. */
    peers: z.array(url).default([]),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info"),
};

export const EntrySettingsSchema = z.strictObject({
    ...common,
    /** Address for callers. */
    listen: address,
    /** Time between failing readiness and closing the listener, in milliseconds. */
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
        /** Address for orders to the engine; absent for plain services. */
        ordersUrl: url.optional(),
    }),
    /** Place in an expert-parallel group. */
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
export type CommonSettings = Pick<SlotSettings, keyof typeof common>;
