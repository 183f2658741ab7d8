/** Headers that concern one connection only, in lower case; what reads heads adds what it sets by itself. */
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
