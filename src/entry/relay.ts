/** Last filter: writes an answer, or an error, to the caller. */
import type { ServerResponse } from "node:http";
import { STATUS_CODES, validateHeaderName, validateHeaderValue } from "node:http";
import type { RunOutcome } from "../core/types.js";
import { filterResponseHeaders } from "../slot/upstream.js";
import type { Frame, ResponseHeaders } from "../wire/messages.js";

export interface Problem {
    status: number;
    outcome: RunOutcome;
    title: string;
    retryAfterSeconds?: number;
}

interface BufferedResponse {
    status: number;
    headers: ResponseHeaders;
    /** Body bytes as latin1 strings. */
    chunks: string[];
    length: number;
}

const maxBufferedBytes = 8 * 1024 * 1024;
/** Answers whose head has not been sent. */
const bufferedResponses = new WeakMap<ServerResponse, BufferedResponse>();
export const outcomeHeader = "beechdock-outcome";
export const requestIdHeader = "beechdock-request-id";
export const problemType = "application/problem+json";
/** Newest bytes of each answer that is a stream of events; an error event may only follow a whole event. */
const eventStreamTails = new WeakMap<ServerResponse, string>();

/**
 * Writes the part of an answer that a frame carries; throws when HTTP cannot carry it.
 * An answer that is complete within one turn of the event loop is sent at once with its length.
 * Callers of HTTP/1.0 know no chunks and may take the end of the connection for the end of the answer,
 * so theirs is held until it is whole, unless it is a stream of events.
 */
export function relayFrame(response: ServerResponse, requestId: string, frame: Frame): void {
    const buffered = bufferedResponses.get(response);
    if (buffered !== undefined) {
        appendFrame(response, buffered, frame);
    }
    else if (frame.kind === "head") {
        const ownHeaders = { [requestIdHeader]: requestId, [outcomeHeader]: "run" };
        const headers: ResponseHeaders = { ...filterResponseHeaders(frame.headers), ...ownHeaders };
        validateResponseHeaders(headers);
        bufferedResponses.set(response, { status: frame.status, headers, chunks: [], length: 0 });
        if (response.req.httpVersion !== "1.0" || isEventStream(headers["content-type"])) {
            process.nextTick(startResponse, response);
        }
    }
    else if (frame.kind === "data") {
        writeData(response, frame.data);
    }
    else if (frame.kind === "end") {
        response.end();
    }
}

function validateResponseHeaders(headers: ResponseHeaders): void {
    for (const [name, value] of Object.entries(headers)) {
        validateHeaderName(name);
        [value].flat().forEach(part => validateHeaderValue(name, part));
    }
}

function appendFrame(response: ServerResponse, buffered: BufferedResponse, frame: Frame): void {
    if (frame.kind === "data") {
        buffered.chunks.push(frame.data);
        buffered.length += frame.data.length;
        if (buffered.length > maxBufferedBytes) {
            throw new RangeError("the answer is too long for HTTP/1.0");
        }
    }
    else if (frame.kind === "end") {
        const { status, headers, chunks, length } = buffered;
        bufferedResponses.delete(response);
        const hasLength = status !== 204 && status !== 304 && response.req.method !== "HEAD";
        response.writeHead(status, hasLength ? { ...headers, "content-length": length } : headers);
        response.end(chunks.join(""), "latin1");
    }
}

/** Sends the head and what has come of the body, unless the answer has ended or failed meanwhile. */
function startResponse(response: ServerResponse): void {
    const buffered = bufferedResponses.get(response);
    if (buffered === undefined || response.headersSent || response.destroyed) {
        return;
    }
    bufferedResponses.delete(response);
    response.writeHead(buffered.status, buffered.headers);
    if (isEventStream(buffered.headers["content-type"])) {
        eventStreamTails.set(response, "\n\n");
    }
    if (buffered.length === 0) {
        response.flushHeaders();
    }
    else {
        writeData(response, buffered.chunks.join(""));
    }
}

function writeData(response: ServerResponse, data: string): void {
    if (response.writableCorked === 0) {
        response.cork();
        process.nextTick(() => response.uncork());
    }
    response.write(data, "latin1");
    if (eventStreamTails.has(response)) {
        eventStreamTails.set(response, data);
    }
}

function isEventStream(contentType: unknown): boolean {
    return String(contentType).startsWith("text/event-stream");
}

/** Answers with a problem document, or breaks an answer that has begun so that it cannot pass for whole. */
export function sendProblem(response: ServerResponse, requestId: string, problem: Problem): void {
    const body = createProblemBody(requestId, problem);
    if (!response.headersSent) {
        response.writeHead(problem.status, {
            "content-type": problemType,
            "content-length": Buffer.byteLength(body),
            [requestIdHeader]: requestId,
            [outcomeHeader]: problem.outcome,
            ...(problem.retryAfterSeconds === undefined ? {} : { "retry-after": String(problem.retryAfterSeconds) }),
        });
        response.end(body);
        return;
    }
    if (!response.writableNeedDrain && isBetweenEvents(response)) {
        response.write(`event: error\ndata: ${body}\n\n`, () => response.destroy());
        return;
    }
    resetConnection(response);
}

/** Creates the body of a problem document (RFC 9457). */
export function createProblemBody(requestId: string, problem: Problem): string {
    const { status, outcome, title } = problem;
    return JSON.stringify({ type: "about:blank", status, title, detail: STATUS_CODES[status], outcome, requestId });
}

/** Resets the caller's connection unless its answer is complete, so that no caller takes the answer for whole. */
export function resetConnection(response: ServerResponse): void {
    const { socket } = response;
    if (socket && !response.writableFinished) {
        socket.resetAndDestroy();
    }
    response.destroy();
}

function isBetweenEvents(response: ServerResponse): boolean {
    return /(\n\n|\r\r|\r\n\r\n)$/.test(eventStreamTails.get(response) ?? "");
}
