/**
 * Decides how a request proceeds on the direct path: whether it may go to another upstream, whether its stream goes on
 * there, and what its caller is told. Answers load patterns in which upstreams refuse, break off, go silent or die.
 */

/** How an attempt that has no complete answer ended. */
export const AttemptEnd = {
    /** No connection was made, so nothing was sent. */
    unconnected: "unconnected",
    /** The upstream has no place for the request. */
    full: "full",
    /** Another upstream has the address now. */
    misdirected: "misdirected",
    /** The upstream's group does not run. */
    groupBroken: "group-broken",
    /** The connection broke, was silent too long or carried something unreadable. */
    lost: "lost",
    /** The upstream answered with a failure of its own. */
    failed: "failed",
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

export interface DirectRequestState {
    readonly isRepeatable: boolean;
    readonly isResumable: boolean;
    /** Upstreams that the request may run on. */
    readonly maxRuns: number;
    /** Attempts that may have run. */
    runs: number;
    /** Attempts that reached an upstream. */
    sentAttempts: number;
    /** Whether the head of an answer has gone to the caller. */
    hasSentHead: boolean;
    isFinished: boolean;
}

export type DirectRequestEvent =
    /** The request has been handed to a connection. */
    | { kind: "sent"; }
    /** The head of an answer to relay has come. */
    | { kind: "began"; }
    | { kind: "completed"; }
    | { kind: "ended"; end: AttemptEnd; hasRetryBudget: boolean; }
    /** No upstream can take the request in time. */
    | { kind: "hopeless"; }
    | { kind: "timeout"; }
    | { kind: "caller-gone"; };

export type DirectRequestAction =
    /** Finds an upstream and sends, again after earlier attempts. */
    | { kind: "place"; }
    /** Waits until the pool's group runs again, then places. */
    | { kind: "wait-for-group"; }
    /** Relays the failure that the upstream answered with. */
    | { kind: "relay-failure"; }
    /** Answers that the request has not run. */
    | { kind: "refuse"; }
    /** Answers that the request may have run. */
    | { kind: "fail"; status: 502 | 504; }
    /** Breaks the answer visibly. */
    | { kind: "cut"; }
    /** Stops the attempt under way. */
    | { kind: "cancel"; }
    | { kind: "finish"; };

/** Upstreams that a request is sent to at most, refusals included. */
const maxSentAttempts = 3;

export interface RetryOptions {
    isRepeatable: boolean;
    isResumable: boolean;
    maxRuns: number;
}

/** Creates the state of a request that has been sent nowhere. */
export function createDirectRequestState(options: RetryOptions): DirectRequestState {
    return { ...options, runs: 0, sentAttempts: 0, hasSentHead: false, isFinished: false };
}

type EventHandlers = {
    [K in DirectRequestEvent["kind"]]: (
        state: DirectRequestState,
        event: Extract<DirectRequestEvent, { kind: K; }>,
    ) => DirectRequestAction[];
};

const eventHandlers: EventHandlers = {
    sent: state => {
        state.sentAttempts += 1;
        state.runs += 1;
        return [];
    },
    began: state => {
        state.hasSentHead = true;
        return [];
    },
    completed: state => {
        state.isFinished = true;
        return [{ kind: "finish" }];
    },
    ended: (state, event) => endHandlers[event.end](state, event.hasRetryBudget),
    hopeless: state => abandon(state),
    timeout: state => [{ kind: "cancel" }, ...abandon(state, 504)],
    "caller-gone": state => {
        state.isFinished = true;
        return [{ kind: "cancel" }, { kind: "finish" }];
    },
};

type EndHandler = (state: DirectRequestState, hasRetryBudget: boolean) => DirectRequestAction[];

const endHandlers: Record<AttemptEnd, EndHandler> = {
    unconnected: () => [{ kind: "place" }],
    full: (state, hasRetryBudget) => retryRefused(state, hasRetryBudget),
    misdirected: (state, hasRetryBudget) => retryRefused(state, hasRetryBudget),
    "group-broken": state => {
        state.runs -= 1;
        return state.sentAttempts < maxSentAttempts ? [{ kind: "wait-for-group" }] : abandon(state);
    },
    lost: (state, hasRetryBudget) => isRetryAllowed(state, hasRetryBudget) ? [{ kind: "place" }] : abandon(state),
    failed: (state, hasRetryBudget) => {
        if (!state.hasSentHead && isRetryAllowed(state, hasRetryBudget)) {
            return [{ kind: "place" }];
        }
        state.isFinished = true;
        return state.hasSentHead ? [{ kind: "cut" }, { kind: "finish" }] : [{ kind: "relay-failure" }, { kind: "finish" }];
    },
};

/** Applies an event and returns what to do, in order. */
export function advanceDirectRequest(state: DirectRequestState, event: DirectRequestEvent): DirectRequestAction[] {
    return state.isFinished ? [] : eventHandlers[event.kind](state, event as never);
}

/** Places a request again that an upstream has refused. */
function retryRefused(state: DirectRequestState, hasRetryBudget: boolean): DirectRequestAction[] {
    state.runs -= 1;
    return hasRetryBudget && state.sentAttempts < maxSentAttempts ? [{ kind: "place" }] : abandon(state);
}

function isRetryAllowed(state: DirectRequestState, hasRetryBudget: boolean): boolean {
    const isAllowed = state.isRepeatable && (!state.hasSentHead || state.isResumable);
    return isAllowed && hasRetryBudget && state.runs < state.maxRuns && state.sentAttempts < maxSentAttempts;
}

function abandon(state: DirectRequestState, status: 502 | 504 = 502): DirectRequestAction[] {
    state.isFinished = true;
    if (state.hasSentHead) {
        return [{ kind: "cut" }, { kind: "finish" }];
    }
    return [state.runs > 0 ? { kind: "fail", status } : { kind: "refuse" }, { kind: "finish" }];
}
