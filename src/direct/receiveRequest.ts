/** Receives the requests of callers: rejects them by their heads, reads their bodies, and creates their dispatches. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ServingIndex } from "../config/serving.js";
import { HoldingStage } from "../routing/memoryAccount.js";
import { type BodyReader, getContentLength } from "../wire/body.js";
import { closeBehind, dropUnreadBody } from "../wire/lingeringClose.js";
import type { Body } from "../wire/segmentedBody.js";
import type { CallerRequest } from "../wire/sequentialRequests.js";
import { DirectDispatch } from "./directDispatch.js";
import { sendEmptyResponse } from "./ownResponses.js";
import {
    completeRequest,
    countHeaderBytes,
    type ReceivedHead,
    receiveHead,
    type RequestMatch,
    resolveMatch,
} from "./requestResolution.js";
import type { DirectServerOptions } from "./server.js";

/** Retry-After of responses while there is no active document or the quarantine is not known, in milliseconds. */
export const startupRetryAfterMs = 500;
/** Retry-After of responses while this entry stops, in milliseconds: another entry can take the request at once. */
const stoppingRetryAfterMs = 0;
/** Number of times that the forwarded header fields are held: packed, and as the text that is sent to the upstream. */
const fieldCopies = 2;

/** Sends the response to a request that is not passed on. */
type Rejection = (response: ServerResponse) => void;

/** Receives a request; returns its dispatch, or undefined once it has been answered or its caller has gone. */
export async function receiveRequest(
    options: DirectServerOptions,
    caller: CallerRequest,
    arrivalNumber: number,
): Promise<DirectDispatch | undefined> {
    const { message, response, body: reader, fields, reservation, setEvictor } = caller;
    const { context, getIndex, random } = options;
    const receivedAt = context.now();
    const received = receiveHead(context.codec, message);
    const match = admitHead(options, received, receivedAt);
    const rejection = typeof match === "function" ? match : findOversize(getIndex()!, message);
    if (received === undefined || typeof match === "function" || rejection !== undefined) {
        await dropUnreadBody(response, reader);
        rejection?.(response);
        return undefined;
    }
    fields.drop();
    if (!reservation.add(fieldCopies * received.head.forwardedFields.length)) {
        return undefined;
    }
    const { maxBodyBytes } = getIndex()!.document.limits;
    const body = await readBodyBefore(match.deadlineAt - receivedAt, maxBodyBytes, response, reader);
    // A request that has been given up meanwhile has its answer.
    if (body === undefined || response.destroyed || !reservation.isOpen()) {
        return undefined;
    }
    // The document may have changed while the body arrived.
    const newest = admitHead(options, received, receivedAt);
    if (typeof newest === "function") {
        newest(response);
        return undefined;
    }
    const request = completeRequest(received, newest, { body, hash: reader.computeHash() }, receivedAt, random());
    reservation.setStage(HoldingStage.queued);
    const dispatch = new DirectDispatch(context, request, caller, arrivalNumber);
    setEvictor(() => dispatch.evict());
    return dispatch;
}

/** Matches a head, undefined if it is malformed, to the active document; returns the rejection if it is not admitted. */
function admitHead(
    { context, getIndex, isTaken }: DirectServerOptions,
    received: ReceivedHead | undefined,
    receivedAt: number,
): RequestMatch | Rejection {
    const index = getIndex();
    if (index === undefined) {
        return response => context.sendRefusal(response, startupRetryAfterMs);
    }
    const match = received === undefined ? 400 : resolveMatch(index, received, receivedAt);
    if (typeof match === "number") {
        return response => sendEmptyResponse(response, match);
    }
    if (!context.isQuarantineKnown() && (received?.head.sharedPromptParts?.length ?? 0) > 0) {
        return response => context.sendRefusal(response, startupRetryAfterMs);
    }
    if (!isTaken(match.deadlineAt)) {
        return response => context.sendRefusal(response, stoppingRetryAfterMs);
    }
    return match;
}

/** Returns the rejection of a request whose head exceeds the document's limits, or announces a body that does. */
function findOversize({ document: { limits } }: ServingIndex, message: IncomingMessage): Rejection | undefined {
    if (countHeaderBytes(message.rawHeaders) > limits.maxHeaderBytes) {
        return response => sendEmptyResponse(response, 431);
    }
    return (getContentLength(message) ?? 0) > limits.maxBodyBytes ?
        response => sendEmptyResponse(response, 413) :
        undefined;
}

/**
 * Reads a body; resolves to undefined once its request has been answered: with 408 if the body is not whole within `leftMs`
 * milliseconds, with 413 if it is too long or ends early.
 */
async function readBodyBefore(
    leftMs: number,
    maxBytes: number,
    response: ServerResponse,
    reader: BodyReader,
): Promise<Body | undefined> {
    let isExpired = false;
    const expire = () => {
        isExpired = true;
        reader.discard();
    };
    const timer = setTimeout(expire, leftMs);
    const body = await reader.read(maxBytes);
    clearTimeout(timer);
    if (isExpired) {
        await dropUnreadBody(response, reader);
        sendEmptyResponse(response, 408);
    }
    else if (body === undefined) {
        closeBehind(response);
        reader.discard();
        sendEmptyResponse(response, 413);
    }
    return body;
}
