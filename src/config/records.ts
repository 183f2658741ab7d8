/**
 * Schemas of the records in the configuration stream: promotions (requests to make a document the next revision) and
 * snapshots of the current revision.
 * The envelope is the same in every version of this project, so that processes of different versions agree on which
 * promotions are accepted. Only the interpretation of `document` depends on the version.
 */
import { z } from "zod";
import type { LogRecord } from "../log/types.js";
import { hasDigest } from "./digest.js";

/** Name of the log stream that holds the configuration of every environment. */
export const configStream = "beechdock-config";

const revision = z.number().int().positive();

/** A promotion that became a revision. */
const AcceptedPromotionSchema = z.object({
    revision,
    id: z.string(),
    author: z.string(),
    digest: z.string(),
    /** Time of the append by the log's clock, in milliseconds since 1970. */
    time: z.number(),
});
export type AcceptedPromotion = z.infer<typeof AcceptedPromotionSchema>;

const commonFields = { id: z.string(), environment: z.string(), author: z.string(), document: z.unknown() };

const PromoteSchema = z.object({
    ...commonFields,
    kind: z.literal("promote"),
    /** Revision that the document was derived from; 0 for the first document. */
    base: z.number().int().nonnegative(),
    /** Digest of the base revision's document; empty for the first document. */
    baseDigest: z.string(),
    digest: z.string(),
});
/** Request to make `document` the successor of revision `base`. */
export type PromoteRecord = z.infer<typeof PromoteSchema>;

const SnapshotSchema = z.object({
    ...commonFields,
    kind: z.literal("snapshot"),
    revision,
    digest: z.string(),
    /** End of the writer's input: it had applied every record before this offset and none from it on. */
    through: z.number().int().nonnegative(),
    /** The latest accepted promotions, oldest first. */
    history: z.array(AcceptedPromotionSchema).min(1),
});
/** Current revision of an environment, from which a reader can start after the log has been truncated. */
export type SnapshotRecord = z.infer<typeof SnapshotSchema>;

const ConfigRecordSchema = z.discriminatedUnion("kind", [PromoteSchema, SnapshotSchema]);
export type ConfigRecord = z.infer<typeof ConfigRecordSchema>;

/** Parses a record of the stream; undefined if its envelope is unknown or its digest does not match its document. */
export function parseRecord(record: LogRecord): ConfigRecord | undefined {
    const result = ConfigRecordSchema.safeParse(record.data);
    if (!result.success || !hasDigest(result.data.document, result.data.digest)) {
        return undefined;
    }
    return result.data;
}
