/** Decides what the head of a response means for its attempt. */
import { recordResponse } from "../routing/upstreamTracker.js";
import type { ResponseFraming } from "../wire/responseFraming.js";
import type { DirectContext } from "./context.js";
import { AttemptEnd } from "./requestState.js";
import { findForeignEnd } from "./responseOrigin.js";
import type { ResponseRelay } from "./responseRelay.js";
import type { DirectRequest, ResponseHead } from "./types.js";
import { recordReports, type UpstreamRun } from "./upstreamRun.js";

/** Why an attempt ends with the head of its response. */
export interface AttemptFailure {
    end: AttemptEnd;
    reason: string;
}

export interface ReceivedResponseHead {
    status: number;
    head: ResponseHead;
    framing: ResponseFraming;
}

/** Records what the head of a response says, and passes it to `relay`; returns why the attempt ends, if it does. */
export function acceptHead(
    context: DirectContext,
    request: DirectRequest,
    run: UpstreamRun,
    relay: ResponseRelay,
    { status, head, framing }: ReceivedResponseHead,
): AttemptFailure | undefined {
    const headMs = Math.round(context.now() - run.sentAt);
    Object.assign(run.record, { headMs, framing, rateLimit: head.rateLimitValues.join(", ") || undefined });
    const foreign = findForeignEnd(status, head, request.id);
    if (foreign !== undefined) {
        return foreign;
    }
    if (head.isSigned || status >= 300) {
        context.observeNotices(run.upstream.record, request.id, status, head);
    }
    if (head.isRefusal) {
        return acceptRefusal(context, request, run, status, head);
    }
    const fault = relay.acceptHead(status, head, framing);
    if (relay.isSuccess() && (!head.isSigned || head.isEncoded)) {
        return { end: AttemptEnd.lost, reason: "the answer is not the upstream's" };
    }
    if (fault !== undefined) {
        return { end: relay.isSuccess() ? AttemptEnd.lost : AttemptEnd.failed, reason: fault };
    }
    recordResponse(context.upstreamTracker, run.upstream.record.id);
    recordReports(context, run, head);
    return undefined;
}

function acceptRefusal(
    context: DirectContext,
    request: DirectRequest,
    run: UpstreamRun,
    status: number,
    head: ResponseHead,
): AttemptFailure {
    recordReports(context, run, head);
    if (head.faultyServer !== undefined) {
        context.markGroupBroken(request.pool, head.faultyServer);
        return { end: AttemptEnd.groupBroken, reason: `the group waits for ${head.faultyServer}` };
    }
    return { end: AttemptEnd.full, reason: `refused with ${status}` };
}
