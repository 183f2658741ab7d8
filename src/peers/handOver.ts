/**
 * Hand-over: sends a peer the log records that its mirror of the configuration document and the instance list lacks,
 * for peers that cannot read the log.
 */
import type { PeerRecords } from "./feed.js";
import { listRecordsSince, type MirrorState } from "./mirror.js";

/** Parameters of the call: the next offsets that the peer would read. */
export interface HandOverParams {
    documentEnd: number;
    listEnd: number;
}

/** RPC method name. */
export const handOverMethod = "handOver";

/** Creates the response: records from the peer's offsets on, and the end offsets of this mirror. */
export function createHandOver<Document>(state: MirrorState<Document>, params: HandOverParams): PeerRecords {
    const { documents, list } = listRecordsSince(state, params.documentEnd, params.listEnd);
    return { documents, documentEnd: state.documentEnd, list, listEnd: state.listEnd };
}
