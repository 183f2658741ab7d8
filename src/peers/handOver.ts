/**
 * Hand-over: sends a peer the log records that its mirror of the configuration document and the instance list lacks,
 * for peers that cannot read the log.
 */
import { z } from "zod/mini";
import type { Feed, PeerRecords } from "./feed.js";
import { decodeLogPosition, encodeLogPosition, type WirePosition, WirePositionSchema } from "./logPosition.js";
import { listQuarantineSince, listRecordsSince, type MirrorRecord } from "./mirror.js";

const HandOverParamsSchema = z.object({
    documentEnd: z.optional(WirePositionSchema),
    listEnd: z.optional(WirePositionSchema),
    quarantineEnd: z.optional(WirePositionSchema),
});
/** Parameters of the call: the next offsets that the peer would read. Nothing is sent of a topic whose end is missing. */
export type HandOverParams = z.infer<typeof HandOverParamsSchema>;

const WireRecordSchema = z.object({
    key: z.string(),
    offset: WirePositionSchema,
    value: z.optional(z.string()),
    graceMs: z.optional(z.number()),
    isLost: z.optional(z.literal(true)),
});
type WireRecord = z.infer<typeof WireRecordSchema>;

const HandOverResultSchema = z.object({
    documents: z.array(WireRecordSchema),
    documentEnd: WirePositionSchema,
    list: z.array(WireRecordSchema),
    listEnd: WirePositionSchema,
    isListComplete: z.optional(z.boolean()),
    quarantine: z.optional(z.array(WireRecordSchema)),
    isQuarantineComplete: z.optional(z.boolean()),
    quarantineEnd: z.optional(WirePositionSchema),
    listServedAgeMs: z.optional(z.number()),
});
/** Response to the call; see `PeerRecords`. */
export type HandOverResult = z.infer<typeof HandOverResultSchema>;

/** RPC method name. */
export const handOverMethod = "handOver";

/** Creates the parameters of a call from the next positions that this process would read. */
export function createHandOverParams(documentEnd: number, listEnd: number, quarantineEnd: number): HandOverParams {
    return {
        documentEnd: encodeLogPosition(documentEnd),
        listEnd: encodeLogPosition(listEnd),
        quarantineEnd: encodeLogPosition(quarantineEnd),
    };
}

/**
 * Creates the response: records from the peer's positions on, the ends of this mirror, and the time since the
 * log was last known to serve the list.
 */
export function createHandOver(
    feed: Pick<Feed, "state" | "getListServedAt">,
    params: HandOverParams,
    now: number,
): HandOverResult {
    const { state } = feed;
    const { documentEnd, listEnd, quarantineEnd } = params;
    const { documents, list, isListComplete } = listRecordsSince(
        state,
        decodeEnd(documentEnd),
        decodeEnd(listEnd),
        now,
    );
    const listServedAt = feed.getListServedAt();
    const result = {
        documents: documents.map(encodeRecord),
        documentEnd: encodeLogPosition(state.documentEnd),
        list: list.map(encodeRecord),
        listEnd: encodeLogPosition(state.listEnd),
        isListComplete,
        listServedAgeMs: listServedAt === -Infinity ? undefined : Math.round(now - listServedAt),
    };
    if (quarantineEnd === undefined || state.quarantineEnd === undefined) {
        return result;
    }
    const { quarantine, isQuarantineComplete } = listQuarantineSince(state, decodeEnd(quarantineEnd));
    return {
        ...result,
        quarantine: quarantine.map(encodeRecord),
        isQuarantineComplete,
        quarantineEnd: encodeLogPosition(state.quarantineEnd),
    };
}

/** Parses the parameters of a call; throws if they are invalid. */
export function parseHandOverParams(params: unknown): HandOverParams {
    return HandOverParamsSchema.parse(params);
}

/** Decodes the response of a peer; throws if it is invalid. */
export function decodeHandOver(result: unknown): PeerRecords {
    const { documents, documentEnd, list, listEnd, quarantine, quarantineEnd, ...others } = HandOverResultSchema.parse(
        result,
    );
    return {
        ...others,
        documents: documents.map(decodeRecord),
        documentEnd: decodeLogPosition(documentEnd),
        list: list.map(decodeRecord),
        listEnd: decodeLogPosition(listEnd),
        quarantine: quarantine?.map(decodeRecord),
        quarantineEnd: quarantineEnd === undefined ? undefined : decodeLogPosition(quarantineEnd),
    };
}

function decodeEnd(end: WirePosition | undefined): number {
    return end === undefined ? Infinity : decodeLogPosition(end);
}

function encodeRecord(record: MirrorRecord): WireRecord {
    return { ...record, offset: encodeLogPosition(record.offset) };
}

function decodeRecord(record: WireRecord): MirrorRecord {
    return { ...record, offset: decodeLogPosition(record.offset) };
}
