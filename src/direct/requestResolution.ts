/** Matches the heads of callers' requests to routes, workspaces (tenants) and pools. */
import type { IncomingMessage } from "node:http";
import {
    findServingRoute,
    pickPool,
    type ServingIndex,
    type ServingRoute,
    type ServingWorkspace,
} from "../config/serving.js";
import { findInvalidField, isRequestTarget } from "../wire/httpSyntax.js";
import { packFields } from "../wire/packedFields.js";
import { computeRequestDigest } from "../wire/requestDigest.js";
import type { Body } from "../wire/segmentedBody.js";
import type { DirectRequest, HeadCodec, KeptRequestHead } from "./types.js";

/** Bytes of a header line besides its name and its value: a colon and the line's end. */
const lineOverheadBytes = 3;

/** Head of a request that is well-formed. */
export interface ReceivedHead {
    id: string;
    method: string;
    target: string;
    head: KeptRequestHead;
}

/** What the active document says of a request. */
export interface RequestMatch {
    route: ServingRoute;
    workspace: ServingWorkspace | undefined;
    /** Time at which the request expires, in milliseconds. */
    deadlineAt: number;
}

/** Decodes the head of a request; its id is missing if `id` is empty. Returns undefined if the head is malformed. */
export function receiveHead(codec: HeadCodec, message: IncomingMessage): ReceivedHead | undefined {
    const target = message.url ?? "/";
    if (!isRequestTarget(target) || findInvalidField(message.rawHeaders) !== undefined) {
        return undefined;
    }
    const { forwardedHeaders, ...head } = codec.decodeRequestHead(message.rawHeaders);
    return {
        id: head.requestId ?? "",
        method: message.method ?? "GET",
        target,
        head: { ...head, forwardedFields: packFields(forwardedHeaders) },
    };
}

/** Returns the least number of bytes that raw headers had on the wire. */
export function countHeaderBytes(raw: readonly string[]): number {
    return raw.reduce((sum, text) => sum + text.length, raw.length / 2 * lineOverheadBytes);
}

/** Matches a head to the document; returns the HTTP status if the request is rejected. */
export function resolveMatch(
    index: ServingIndex,
    { id, target, head }: ReceivedHead,
    receivedAt: number,
): RequestMatch | number {
    const route = findServingRoute(index, head.host, target);
    if (route === undefined) {
        return 404;
    }
    const workspace = head.key === undefined ? undefined : index.workspaces.get(head.key);
    if (index.document.workspaces !== undefined && !route.isPublic && workspace === undefined) {
        return 401;
    }
    if (route.pools.length === 0) {
        return 404;
    }
    if (id === "") {
        return 400;
    }
    return { route, workspace, deadlineAt: receivedAt + Math.min(head.timeoutMs ?? Infinity, route.timeoutMs) };
}

/** Completes a request whose body has arrived. `random` is in [0, 1). */
export function completeRequest(
    { id, method, target, head }: ReceivedHead,
    { route, workspace, deadlineAt }: RequestMatch,
    { body, hash }: { body: Body; hash: string; },
    receivedAt: number,
    random: number,
): DirectRequest {
    const digest = computeRequestDigest({
        caller: head.key ?? "",
        method,
        host: head.host,
        target,
        bodyHash: hash,
        promptParts: [...head.sharedPromptParts ?? [], head.ownPromptPart ?? ""],
    });
    const pool = pickPool(route, random)!;
    return { id, digest, method, target, head, body, route, workspace, pool, receivedAt, deadlineAt };
}
