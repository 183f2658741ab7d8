/** Applies what the upstream of a slot says of itself in its responses, and finds the runs that must not be sent to it. */
import {
    computePauseWaitMs,
    isServedLeaving,
    recordServedLeaving,
    recordServedPause,
    type ServedUpstream,
} from "../routing/servedUpstream.js";
import { findNotice, maxPauseMs } from "../routing/upstreamNotices.js";
import type { RunParams } from "../wire/messages.js";
import { findRequestedPause } from "../wire/pauseField.js";
import type { UpstreamResponse } from "./upstream.js";

/** Notice that keeps runs from the upstream. */
export interface ServedObstacle {
    title: string;
    isPaused: boolean;
    /** Id of the request whose response said so, and the age of that response in milliseconds. */
    noticeRequestId: string;
    ageMs: number;
}

export interface NoticeListener {
    onLeaving: (requestId: string) => void;
    /** Called when a pause begins or is extended. */
    onPause: (requestId: string, pauseMs: number) => void;
    /** Called when a response asks for a pause that is no number of seconds, or longer than the longest that is kept. */
    onOddPause: (requestId: string, values: string[]) => void;
    /** Called for each run that is kept from the upstream. */
    onObstacle: (requestId: string, obstacle: ServedObstacle) => void;
}

export interface ObservedNotices {
    /** Whether the response asks for a pause. */
    isPause: boolean;
    /** Whether queued runs may no longer be sent to the upstream. */
    hasChanged: boolean;
}

/** Records what the head of a response to the request with `requestId` says of the upstream. */
export function observeServedNotices(
    served: ServedUpstream,
    listener: NoticeListener,
    requestId: string,
    { status, isLeaving, pauseValues }: Pick<UpstreamResponse, "status" | "isLeaving" | "pauseValues">,
): ObservedNotices {
    const now = Date.now();
    const hasLeft = isLeaving && recordServedLeaving(served, requestId, now);
    if (hasLeft) {
        listener.onLeaving(requestId);
    }
    const pause = findRequestedPause(status, pauseValues);
    if (pause.kind === "invalid" || (pause.kind === "pause" && pause.ms > maxPauseMs)) {
        listener.onOddPause(requestId, pauseValues);
    }
    const pauseMs = pause.kind === "pause" ? pause.ms : 0;
    const hasPaused = recordServedPause(served, requestId, pauseMs, now);
    if (hasPaused) {
        listener.onPause(requestId, pauseMs);
    }
    return { isPause: pause.kind === "pause", hasChanged: hasLeft || hasPaused };
}

/** Finds the notice that keeps a run from the upstream; one whose entry knows no other slot waits for the end of a pause. */
export function findServedObstacle(
    served: ServedUpstream,
    { canWaitForPause }: Pick<RunParams, "canWaitForPause">,
): ServedObstacle | undefined {
    const now = Date.now();
    const notice = findNotice(served.notices, served.record);
    const isLeaving = isServedLeaving(served);
    const isPaused = computePauseWaitMs(served, now) !== undefined && canWaitForPause !== true;
    if (notice === undefined || !(isLeaving || isPaused)) {
        return undefined;
    }
    return {
        title: isLeaving ? "The upstream is leaving" : "The upstream asks for a pause",
        isPaused: !isLeaving,
        noticeRequestId: notice.requestId,
        ageMs: now - notice.observedAt,
    };
}
