/**
 * Records of the configuration stream.
 * The envelope is the same for every version of this project; only the use of `document` depends on the version.
 */
import { z } from "zod";
import type { LogRecord } from "../log/types.js";
import { computeDigest } from "./digest.js";

export const configStream = "beechdock-config";

const revision = z.number().int().positive();

/** One accepted promotion. */
const AcceptedPromotionSchema = z.object({
    revision,
    id: z.string(),
    author: z.string(),
    digest: z.string(),
    /** Time of the append by the log's clock, in milliseconds since 1970. */
    time: z.number(),
});
export type AcceptedPromotion = z.infer<typeof AcceptedPromotionSchema>;

const shared = { id: z.string(), environment: z.string(), author: z.string(), document: z.unknown() };

const PromoteSchema = z.object({
    ...shared,
    kind: z.literal("promote"),
    /** Revision that the change was made from; 0 for the first document. */
    base: z.number().int().nonnegative(),
    /** Digest of the base's document; empty for the first document. */
    baseDigest: z.string(),
    digest: z.string(),
});
export type PromoteRecord = z.infer<typeof PromoteSchema>;

const SnapshotSchema = z.object({
    ...shared,
    kind: z.literal("snapshot"),
    revision,
    digest: z.string(),
    /** The writer had folded every record before this offset, and none from it on. */
    through: z.number().int().nonnegative(),
    /** The latest accepted promotions, oldest first. */
    history: z.array(AcceptedPromotionSchema).min(1),
});
export type SnapshotRecord = z.infer<typeof SnapshotSchema>;

const ConfigRecordSchema = z.discriminatedUnion("kind", [PromoteSchema, SnapshotSchema]);
export type ConfigRecord = z.infer<typeof ConfigRecordSchema>;

/** Parses a record of the stream; undefined when its envelope is unknown or its digest does not match. */
export function parseRecord(record: LogRecord): ConfigRecord | undefined {
    const result = ConfigRecordSchema.safeParse(record.data);
    if (!result.success || computeDigest(result.data.document) !== result.data.digest) {
        return undefined;
    }
    return result.data;
}
