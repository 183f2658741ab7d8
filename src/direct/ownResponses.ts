/** Responses of an entry itself, instead of those of an upstream. */
import type { ServerResponse } from "node:http";
import type { DirectEntryMetrics } from "../observe/directMetrics.js";
import type { DirectContext } from "./context.js";
import type { QuarantineVerdict } from "./requestQuarantine.js";

/** Creates the responses that an entry counts. */
export function createOwnResponses(
    metrics: DirectEntryMetrics,
): Pick<DirectContext, "sendRefusal" | "sendRejection" | "sendFailure"> {
    return {
        sendRefusal: (response, retryAfterMs) => {
            metrics.refusals.inc();
            sendEmptyResponse(response, 503, ["Retry-After", (retryAfterMs / 1000).toFixed(3)]);
        },
        sendRejection: (response, quarantined) => {
            metrics.quarantineRejections.inc();
            sendQuarantineRejection(response, quarantined);
        },
        sendFailure: (response, status) => sendEmptyResponse(response, status),
    };
}

/** Sends a response without a body; does nothing if a response has been started or the connection is closed. */
export function sendEmptyResponse(response: ServerResponse, status: number, headers: string[] = []): void {
    if (!response.headersSent && !response.destroyed) {
        response.writeHead(status, [...headers, "Content-Length", "0"]);
        response.end();
    }
}

/** Responds that a request has not run because it is quarantined; does nothing if a response has been started. */
function sendQuarantineRejection(response: ServerResponse, { parts, upstreams }: QuarantineVerdict): void {
    if (!response.headersSent && !response.destroyed) {
        const isWhole = parts.length === 0;
        const partList = `its prompt's ${parts.length === 1 ? "part" : "parts"} ${parts.join(", ")}`;
        const detail = `The request has not run: ${upstreams.length} upstreams crashed under ${
            isWhole ? "it" : partList
        }.`;
        const title = isWhole ? "The request is quarantined" : "The prompt contains quarantined parts";
        const problem = { title, status: 503, detail, parts };
        const text = JSON.stringify(problem);
        const contentLength = String(Buffer.byteLength(text));
        response.writeHead(503, ["Content-Type", "application/problem+json", "Content-Length", contentLength]);
        response.end(text);
    }
}
