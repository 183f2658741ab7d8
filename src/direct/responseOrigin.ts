/** Whether a response is the upstream's own response to the request, by its head. */
import { AttemptEnd } from "./requestState.js";
import type { ResponseHead } from "./types.js";

/** Finds how an attempt ends whose response is that of another request or upstream; undefined if it is neither. */
export function findForeignEnd(
    status: number,
    head: ResponseHead,
    requestId: string,
): { end: AttemptEnd; reason: string; } | undefined {
    if (head.requestId !== undefined && head.requestId !== requestId) {
        return { end: AttemptEnd.lost, reason: "the answer belongs to another request" };
    }
    return status === 421 ? { end: AttemptEnd.misdirected, reason: "another upstream has the address" } : undefined;
}

/** Whether the head begins a successful response to the request that may be relayed. */
export function isOwnSuccess(status: number, head: ResponseHead, requestId: string): boolean {
    const isSuccess = status >= 200 && status < 300;
    return isSuccess && head.isSigned && !head.isEncoded && findForeignEnd(status, head, requestId) === undefined;
}
