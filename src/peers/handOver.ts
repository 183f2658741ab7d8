/** Hands over to a peer what its mirror lacks. */
import type { PeerRecords } from "./feed.js";
import { listRecordsSince, type MirrorState } from "./mirror.js";

export interface HandOverParams {
    documentEnd: number;
    listEnd: number;
}

/** Name of the call. */
export const handOverMethod = "handOver";

/** Lists the records after the offsets that a peer has, with the offsets that this mirror has. */
export function createHandOver<Document>(state: MirrorState<Document>, params: HandOverParams): PeerRecords {
    const { documents, list } = listRecordsSince(state, params.documentEnd, params.listEnd);
    return { documents, documentEnd: state.documentEnd, list, listEnd: state.listEnd };
}
