/** Follows the configuration stream of the log. */
import type { Stream } from "most";
import { z } from "zod";
import { tailStream } from "../log/tail.js";
import type { LogClient, LogRecord } from "../log/types.js";
import { type ConfigRecord, type ConfigState, configStream, createConfigState, foldConfig } from "./fold.js";
import { DocumentSchema } from "./schemas.js";

const shared = { id: z.string(), environment: z.string(), author: z.string(), document: DocumentSchema };
const ConfigRecordSchema = z.discriminatedUnion("kind", [
    z.object({ ...shared, kind: z.literal("promote"), base: z.number().int().nonnegative() }),
    z.object({ ...shared, kind: z.literal("snapshot"), revision: z.number().int().positive() }),
]);

export interface ConfigUpdate {
    state: ConfigState;
    /** Whether the end of the stream has been read. */
    atEnd: boolean;
}

/** Streams the configuration of an environment; unreadable records are reported and skipped. */
export function streamConfig(
    log: LogClient,
    environment: string,
    onError: (error: Error) => void,
): Stream<ConfigUpdate> {
    const initial: ConfigUpdate = { state: createConfigState(environment), atEnd: false };
    return tailStream(log, configStream, onError).scan((update, event) => ({
        state: event.records.flatMap(record => parseRecord(record, onError)).reduce(foldConfig, update.state),
        atEnd: update.atEnd || event.atEnd,
    }), initial);
}

function parseRecord(record: LogRecord, onError: (error: Error) => void): ConfigRecord[] {
    const result = ConfigRecordSchema.safeParse(record.data);
    if (!result.success) {
        onError(new Error(`record ${record.offset} of the configuration stream cannot be read`));
        return [];
    }
    return [result.data];
}
