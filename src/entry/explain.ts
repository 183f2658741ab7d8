/** JSON-RPC method `explain`, which returns the journal record of a recent request. */
import { z } from "zod";
import { findRecord, type Journal, type JournalRecord } from "./journal.js";

const ExplainParamsSchema = z.object({ requestId: z.string().max(100) });

/** Creates the method; it returns an empty object if the journal has no record of the request. */
export function createExplainMethod(journal: Journal): (params: unknown) => JournalRecord | object {
    return params => findRecord(journal, ExplainParamsSchema.parse(params).requestId) ?? {};
}
