/** How the end of an HTTP/1.1 response body is determined (RFC 9112, section 6.3). */

export const ResponseFraming = {
    /** The response has no body: the request was `HEAD`, or the status rules a body out. */
    none: "none",
    /** `Content-Length`. */
    length: "length",
    /** `Transfer-Encoding: chunked`. */
    chunked: "chunked",
    /** The body ends with the connection. */
    connection: "connection",
} as const;
export type ResponseFraming = (typeof ResponseFraming)[keyof typeof ResponseFraming];

/** Header values by name in lower case, as HTTP clients parse them. */
export type ParsedHeaders = Record<string, string | string[] | undefined>;

/** Statuses whose responses have no body, besides the informational ones. */
const bodilessStatuses = new Set([204, 304]);

/** Classifies a final response to a request with `method`. */
export function classifyFraming(method: string, status: number, headers: ParsedHeaders): ResponseFraming {
    if (method === "HEAD" || bodilessStatuses.has(status)) {
        return ResponseFraming.none;
    }
    const codings = listTransferCodings(headers);
    if (codings.at(-1) === "chunked") {
        return ResponseFraming.chunked;
    }
    return codings.length === 0 && headers["content-length"] !== undefined ?
        ResponseFraming.length :
        ResponseFraming.connection;
}

/**
 * Describes the transfer codings of a response whose body cannot be decoded; undefined if it can. HTTP clients decode
 * nothing but chunks, and return the bytes of any other coding as the body.
 */
export function findUndecodedCoding(framing: ResponseFraming, headers: ParsedHeaders): string | undefined {
    const codings = listTransferCodings(headers);
    const isDecoded = codings.length === 0 || (codings.length === 1 && codings[0] === "chunked");
    return isDecoded || framing === ResponseFraming.none ?
        undefined :
        `the transfer coding ${JSON.stringify(codings.join(", "))} cannot be decoded`;
}

function listTransferCodings(headers: ParsedHeaders): string[] {
    return [headers["transfer-encoding"] ?? []].flat()
        .flatMap(value => value.split(","))
        .map(coding => coding.trim().toLowerCase())
        .filter(coding => coding !== "");
}
