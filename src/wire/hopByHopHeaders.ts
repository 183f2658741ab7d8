/** Hop-by-hop headers, in lower case; modules that forward headers also drop the ones that they set themselves. */
export const hopByHopHeaders = [
    "connection",
    "keep-alive",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
] as const;
