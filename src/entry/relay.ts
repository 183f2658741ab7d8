/** Last filter: writes an answer, or an error, to the caller. */
import type { ServerResponse } from "node:http";
import { STATUS_CODES } from "node:http";
import type { RunOutcome } from "../core/types.js";
import type { Frame } from "../wire/messages.js";

export const outcomeHeader = "beechdock-outcome";
export const requestIdHeader = "beechdock-request-id";

export interface Problem {
    status: number;
    outcome: RunOutcome;
    title: string;
    retryAfterSeconds?: number;
}

/** Writes the part of an answer that a frame carries. */
export function relayFrame(response: ServerResponse, requestId: string, frame: Frame): void {
    if (frame.kind === "head") {
        response.writeHead(frame.status, { ...frame.headers, [requestIdHeader]: requestId, [outcomeHeader]: "run" });
        response.flushHeaders();
    }
    else if (frame.kind === "data") {
        response.write(frame.data, "latin1");
    }
    else if (frame.kind === "end") {
        response.end();
    }
}

/** Answers with a problem document, or breaks an answer that has begun so that it cannot pass for whole. */
export function relayProblem(response: ServerResponse, requestId: string, problem: Problem): void {
    const { status, outcome, title, retryAfterSeconds } = problem;
    const body = JSON.stringify({
        type: "about:blank",
        status,
        title,
        detail: STATUS_CODES[status],
        outcome,
        requestId,
    });
    if (!response.headersSent) {
        response.writeHead(status, {
            "content-type": "application/problem+json",
            [requestIdHeader]: requestId,
            [outcomeHeader]: outcome,
            ...(retryAfterSeconds === undefined ? {} : { "retry-after": String(retryAfterSeconds) }),
        });
        response.end(body);
        return;
    }
    if (String(response.getHeader("content-type")).startsWith("text/event-stream")) {
        response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy());
        return;
    }
    response.destroy();
}
