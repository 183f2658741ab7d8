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
    const codings = [headers["transfer-encoding"] ?? []].flat().join(",").toLowerCase();
    if (/(^|,)\s*chunked\s*$/.test(codings)) {
        return ResponseFraming.chunked;
    }
    return codings === "" && headers["content-length"] !== undefined ?
        ResponseFraming.length :
        ResponseFraming.connection;
}
