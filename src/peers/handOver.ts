/**
 * Hand-over: sends a peer the log records that its mirror of the configuration document and the instance list lacks,
 * for peers that cannot read the log.
 */
import type { PeerRecords } from "./feed.js";
import { listRecordsSince, type MirrorState } from "./mirror.js";

/** Parameters of the call: the next offsets that the peer would read. Nothing is sent of a topic whose end is missing. */
export interface HandOverParams {
    documentEnd?: number;
    listEnd?: number;
    quarantineEnd?: number;
}

/** RPC method name. */
export const handOverMethod = "handOver";

/** Creates the response: records from the peer's offsets on, and the end offsets of this mirror. */
export function createHandOver<Document>(state: MirrorState<Document>, params: HandOverParams): PeerRecords {
    const { documentEnd = Infinity, listEnd = Infinity } = params;
    const { documents, list } = listRecordsSince(state, documentEnd, listEnd);
    const records = { documents, documentEnd: state.documentEnd, list, listEnd: state.listEnd };
    const { quarantineEnd, quarantineRecords } = state;
    if (params.quarantineEnd === undefined || quarantineEnd === undefined) {
        return records;
    }
    const quarantine = [...quarantineRecords.values()].filter(({ offset }) => offset >= params.quarantineEnd!);
    return { ...records, quarantine, quarantineEnd };
}
