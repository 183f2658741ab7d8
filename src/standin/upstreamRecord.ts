import type { UpstreamRecord } from "../peers/mirror.js";

/** Creates the record of an upstream of the pool `p`; its host is its id. */
export function createUpstreamRecord(id: string, changes: Partial<UpstreamRecord> = {}): UpstreamRecord {
    return { id, pool: "p", host: id, port: 1, dataCentre: "a", isLeaving: false, startedAt: 5, ...changes };
}
