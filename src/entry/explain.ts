/** JSON-RPC method `explain`: what became of a recent request. */
import { z } from "zod";
import { findRecord, type Journal, type JournalRecord } from "./journal.js";

const ExplainParamsSchema = z.object({ requestId: z.string().max(100) });

/** Creates the method; it answers with an empty object when this entry does not know the request. */
export function createExplainMethod(journal: Journal): (params: unknown) => JournalRecord | object {
    return params => findRecord(journal, ExplainParamsSchema.parse(params).requestId) ?? {};
}
