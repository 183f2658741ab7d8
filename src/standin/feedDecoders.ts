/** Decoders for feeds of tests: a document is its revision, and an instance in the list is its state. */
import type { ServingDocument } from "../config/serving.js";
import type { MirrorDecoders } from "../peers/mirror.js";

export const feedDecoders: MirrorDecoders<ServingDocument> = {
    decodeDocument: text => ({ revision: Number(text) }) as unknown as ServingDocument,
    getRevision: ({ revision }) => revision,
    decodeUpstream: (id, text) => ({
        id,
        pool: "p",
        host: id,
        port: 1,
        dataCentre: "a",
        isLeaving: text === "leaving",
    }),
};
