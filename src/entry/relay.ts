/** Writes responses and errors to callers. */
import type { ServerResponse } from "node:http";
import { STATUS_CODES, validateHeaderName, validateHeaderValue } from "node:http";
import type { RunOutcome } from "../core/types.js";
import { filterResponseHeaders } from "../slot/upstream.js";
import { isEventStreamType } from "../wire/eventStream.js";
import { interruptResponse, resetConnection } from "../wire/interruptResponse.js";
import type { Frame, ResponseHeaders } from "../wire/messages.js";

/** An error response, sent as a problem document. */
export interface Problem {
    status: number;
    outcome: RunOutcome;
    title: string;
    retryAfterSeconds?: number;
}

/** A response whose head has not been sent yet. */
interface BufferedResponse {
    status: number;
    headers: ResponseHeaders;
    /** Body bytes, encoded as Latin-1 strings. */
    chunks: string[];
    /** Length of the body so far, in bytes. */
    length: number;
}

/** Maximum body length of a buffered response, and of all buffered responses of the process together, in bytes. */
const maxBufferedBytes = 8 * 1024 * 1024;
const maxTotalBufferedBytes = 32 * 1024 * 1024;
const bufferedResponses = new Map<ServerResponse, BufferedResponse>();
/** Length of all buffered responses, in bytes. */
let totalBufferedBytes = 0;
export const outcomeHeader = "beechdock-outcome";
export const requestIdHeader = "beechdock-request-id";
export const problemType = "application/problem+json";
/** Last chunk of each event stream response; an error event may only follow a complete event. */
const eventStreamTails = new WeakMap<ServerResponse, string>();

/**
 * Writes the content of a frame to the response. Throws if a header is not valid in HTTP or a buffered response becomes
 * too long.
 *
 * A response that is complete within the current tick is sent with a `content-length`. HTTP/1.0 has no chunked encoding
 * and its callers may take a closed connection for the end of the response, so responses to them are buffered until
 * they are complete, except for event streams.
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
        const created = { status: frame.status, headers, chunks: [], length: 0 };
        bufferedResponses.set(response, created);
        response.once("close", () => releaseBuffer(response, created));
        if (response.req.httpVersion !== "1.0" || isEventStreamType(String(headers["content-type"]))) {
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

/** Throws a `TypeError` if the name or value of a header is not valid in HTTP. */
function validateResponseHeaders(headers: ResponseHeaders): void {
    for (const [name, value] of Object.entries(headers)) {
        validateHeaderName(name);
        [value].flat().forEach(part => validateHeaderValue(name, part));
    }
}

/**
 * Adds a frame to a buffered response and sends it at its end; throws a `RangeError` if it, or all of them together, become
 * too long.
 */
function appendFrame(response: ServerResponse, buffered: BufferedResponse, frame: Frame): void {
    if (frame.kind === "data") {
        buffered.chunks.push(frame.data);
        buffered.length += frame.data.length;
        totalBufferedBytes += frame.data.length;
        if (buffered.length > maxBufferedBytes || totalBufferedBytes > maxTotalBufferedBytes) {
            releaseBuffer(response, buffered);
            throw new RangeError("the response exceeds the buffer limit for HTTP/1.0");
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

/** Counts the bytes of a response that wait for its end. */
export function countBufferedBytes(response: ServerResponse): number {
    return bufferedResponses.get(response)?.length ?? 0;
}

/** Drops what is buffered of a response, or was until the response had been sent. */
function releaseBuffer(response: ServerResponse, buffered: BufferedResponse): void {
    bufferedResponses.delete(response);
    totalBufferedBytes -= buffered.length;
    buffered.length = 0;
    buffered.chunks = [];
}

/** Sends the head and the buffered part of the body, unless the response has been sent or destroyed in the meantime. */
function startResponse(response: ServerResponse): void {
    const buffered = bufferedResponses.get(response);
    if (buffered === undefined || response.headersSent || response.destroyed) {
        return;
    }
    const { status, headers, chunks } = buffered;
    releaseBuffer(response, buffered);
    response.writeHead(status, headers);
    if (isEventStreamType(String(headers["content-type"]))) {
        eventStreamTails.set(response, "\n\n");
    }
    if (chunks.length === 0) {
        response.flushHeaders();
    }
    else {
        writeData(response, chunks.join(""));
    }
}

/** Writes body bytes; writes of one tick are corked and go out together. */
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

/**
 * Responds with a problem document. A response that has begun is interrupted so that the caller can tell it is
 * incomplete: an event stream between two events by an error event and an interruption, any other by a connection reset.
 */
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
        response.write(`event: error\ndata: ${body}\n\n`, () => interruptResponse(response));
        return;
    }
    resetConnection(response);
}

/** Creates a problem document (RFC 9457) as JSON. */
export function createProblemBody(requestId: string, problem: Problem): string {
    const { status, outcome, title } = problem;
    return JSON.stringify({ type: "about:blank", status, title, detail: STATUS_CODES[status], outcome, requestId });
}

/** Whether the response is an event stream and its last chunk ended an event. */
function isBetweenEvents(response: ServerResponse): boolean {
    return /(\n\n|\r\r|\r\n\r\n)$/.test(eventStreamTails.get(response) ?? "");
}
