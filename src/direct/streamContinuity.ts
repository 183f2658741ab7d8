/**
 * Decides which events of a run may be relayed, so that a stream which goes on at another upstream never joins events of
 * different streams. Only ids that count up by one show that an event follows another one.
 */
import type { StreamEvent } from "../wire/eventStream.js";

/** Event ids whose order and gaps can be determined. */
const sequentialIdPattern = /^\d{1,15}$/;
/** Event ids whose order can be determined; longer ones are mostly times or random in part, and leave gaps. */
const orderedIdPattern = /^\d{1,40}$/;

/** What to do with an event of a run. */
export const EventDecision = {
    relay: "relay",
    /** The block is no event, and its run has not been shown to continue the stream. */
    skip: "skip",
    /** The event does not continue the stream. */
    reject: "reject",
} as const;
export type EventDecision = (typeof EventDecision)[keyof typeof EventDecision];

export interface StreamContinuity {
    /** Id of the last event that the caller has; undefined at the start of the stream. */
    lastEventId: string | undefined;
    /** Whether an event has been relayed, and the last one has a sequential id, after which another run can go on. */
    hasResumePoint: boolean;
    /** Whether the current run is the stream's first one or has been shown to continue it. */
    isRunConfirmed: boolean;
}

/** Creates the state of a stream; `lastEventId` is the event after which the caller resumes it. */
export function createStreamContinuity(lastEventId: string | undefined): StreamContinuity {
    return { lastEventId, hasResumePoint: false, isRunConfirmed: true };
}

/** Begins a run, which has to start at the next event if there is a last one with a sequential id. */
export function beginStreamRun(continuity: StreamContinuity): void {
    continuity.isRunConfirmed = !isSequential(continuity.lastEventId);
}

/** Decides what to do with the next event of the current run, and records it if it is to be relayed. */
export function decideEvent(continuity: StreamContinuity, { id, isEvent }: StreamEvent): EventDecision {
    const decision = continuity.isRunConfirmed ?
        decideConfirmed(continuity, id) :
        decideFirst(continuity, id, isEvent);
    if (decision === EventDecision.relay && isEvent) {
        continuity.isRunConfirmed = true;
        continuity.hasResumePoint = isSequential(id);
        continuity.lastEventId = id ?? continuity.lastEventId;
    }
    if (decision === EventDecision.reject && continuity.isRunConfirmed && !isRising(continuity, id)) {
        // The events that the run has sent before may lack some too.
        continuity.hasResumePoint = false;
    }
    return decision;
}

function decideConfirmed(continuity: StreamContinuity, id: string | undefined): EventDecision {
    const { lastEventId } = continuity;
    const hasGap = isSequential(id) && isSequential(lastEventId) && Number(id) > Number(lastEventId) + 1;
    return hasGap || !isRising(continuity, id) ? EventDecision.reject : EventDecision.relay;
}

/** Whether the id of an event is above the last one, as far as both can be compared. */
function isRising({ lastEventId }: StreamContinuity, id: string | undefined): boolean {
    return !isOrdered(id) || !isOrdered(lastEventId) || BigInt(id) > BigInt(lastEventId);
}

/** Decides on an event of a run that has not been shown to continue the stream. */
function decideFirst({ lastEventId }: StreamContinuity, id: string | undefined, isEvent: boolean): EventDecision {
    if (!isEvent) {
        return EventDecision.skip;
    }
    const isNext = isSequential(id) && isSequential(lastEventId) && Number(id) === Number(lastEventId) + 1;
    return isNext ? EventDecision.relay : EventDecision.reject;
}

function isSequential(id: string | undefined): boolean {
    return id !== undefined && sequentialIdPattern.test(id);
}

function isOrdered(id: string | undefined): id is string {
    return id !== undefined && orderedIdPattern.test(id);
}
