/**
 * State machine of a request that an entry sends straight to upstreams (the direct path). Decides whether the request
 * is retried on another upstream, whether its stream is resumed there, and what the caller receives when upstreams
 * refuse, disconnect, go silent or crash.
 */

/** How an attempt ended that got no complete response. */
export const AttemptEnd = {
    /** No connection was made, so nothing was sent. */
    unconnected: "unconnected",
    /** This process could not open a connection, whatever the upstream. */
    exhausted: "exhausted",
    /** The upstream refused the request because it is at its limit. */
    full: "full",
    /** Another upstream now has the address. */
    misdirected: "misdirected",
    /** The upstream's group does not run. */
    groupBroken: "group-broken",
    /** The connection broke, was idle for too long or carried an invalid response. */
    lost: "lost",
    /** The upstream responded with a server error. */
    failed: "failed",
} as const;
export type AttemptEnd = (typeof AttemptEnd)[keyof typeof AttemptEnd];

/** Ends that count as a failure of the upstream, which is then avoided for some time. */
export const upstreamFailureEnds = new Set<AttemptEnd>([AttemptEnd.lost, AttemptEnd.unconnected]);
/** Ends after which a retry uses the retry budget, as it adds load to the pool. */
export const budgetedRetryEnds = new Set<AttemptEnd>([
    AttemptEnd.full,
    AttemptEnd.misdirected,
    AttemptEnd.lost,
    AttemptEnd.failed,
]);

export interface DirectRequestState {
    /** Whether the request may be sent again after it may have run. */
    readonly isRepeatable: boolean;
    /** Whether another upstream can resume the stream. */
    readonly isResumable: boolean;
    /** Maximum number of attempts that may have run. */
    readonly maxRuns: number;
    /** Number of attempts that may have run. */
    runs: number;
    /** Number of attempts that were sent to an upstream. */
    sentAttempts: number;
    /** Number of connects in a row that failed. */
    failedConnects: number;
    /** Whether the head of a response has been sent to the caller. */
    hasSentHead: boolean;
    /** Whether a silent run is held open while another attempt is to show that it responds or continues the stream. */
    isMoving: boolean;
    isFinished: boolean;
}

/** What a retry after the end of an attempt depends on, besides the state of the request. */
export interface RetryConditions {
    /** Whether the retry budget allows one more attempt. */
    hasRetryBudget: boolean;
    /** Whether another run can go on where the response to the caller ends now; irrelevant before its head is sent. */
    canContinue: boolean;
}

export type DirectRequestEvent =
    /** A connection was made, and the request is being sent on it. */
    | { kind: "sent"; }
    /** The head of a response has been sent to the caller. */
    | { kind: "began"; }
    /** The complete response has been sent to the caller. */
    | { kind: "completed"; }
    /** The run or its upstream is silent, and the retry budget has allowed another attempt beside it. */
    | { kind: "silent"; }
    /** The current attempt continues the stream of the run that is held. */
    | { kind: "continued"; }
    /** The run that is held has responded, or sent data again. */
    | { kind: "returned"; }
    /** The run that is held has ended without a complete response; not if its upstream has `refused` the request. */
    | { kind: "held-ended"; isRefused: boolean; }
    /** The attempt ended without a complete response. */
    | ({ kind: "ended"; end: AttemptEnd; } & RetryConditions)
    /** No upstream can serve the request before its deadline. */
    | { kind: "expired"; }
    /** The quarantine does not let the request go to an upstream (again). */
    | { kind: "obstructed"; }
    /** The deadline has passed. */
    | { kind: "timeout"; }
    /** The caller has disconnected. */
    | { kind: "caller-gone"; }
    /** This process stops and must end the request now. */
    | { kind: "stopped"; }
    /** A step of the request has failed in this process. */
    | { kind: "fault"; };

export type DirectRequestAction =
    /** Selects an upstream and sends the request, for the first time or as a retry. */
    | { kind: "place"; }
    /** Queues the request, then sends it. */
    | { kind: "wait"; }
    /** The same until the pool's group runs again. */
    | { kind: "wait-for-group"; }
    /** Relays the upstream's error response. */
    | { kind: "relay-failure"; }
    /** Responds that the request has not run. */
    | { kind: "refuse"; }
    /** Responds that the request failed and may have run. */
    | { kind: "fail"; status: 502 | 504; }
    /** Closes the connection in the middle of the response, so that the caller notices that it is incomplete. */
    | { kind: "cut"; }
    /** Cancels the current attempt and the run that is held. */
    | { kind: "cancel"; }
    /** Cancels the run that is held. */
    | { kind: "cancel-held"; }
    /** Cancels the current attempt and goes on with the run that is held. */
    | { kind: "resume-held"; }
    /** Releases the request's resources and logs it. */
    | { kind: "finish"; };

/** Number of connects in a row that may fail before the request waits in the queue for the next one. */
const maxImmediateConnects = 3;
/** Maximum number of upstreams that a request is sent to, including those that refuse it. */
const maxSentAttempts = 3;

/** Retry options of a request; see `DirectRequestState`. */
export interface RetryOptions {
    isRepeatable: boolean;
    isResumable: boolean;
    maxRuns: number;
}

/** Creates the state of a request that has not been sent. */
export function createDirectRequestState(options: RetryOptions): DirectRequestState {
    return {
        ...options,
        runs: 0,
        sentAttempts: 0,
        failedConnects: 0,
        hasSentHead: false,
        isMoving: false,
        isFinished: false,
    };
}

type EventHandlers = {
    [K in DirectRequestEvent["kind"]]: (
        state: DirectRequestState,
        event: Extract<DirectRequestEvent, { kind: K; }>,
    ) => DirectRequestAction[];
};

const eventHandlers: EventHandlers = {
    sent: state => {
        state.failedConnects = 0;
        state.sentAttempts += 1;
        state.runs += 1;
        return [];
    },
    began: state => {
        state.hasSentHead = true;
        return endMove(state, { kind: "cancel-held" });
    },
    completed: state => {
        state.isFinished = true;
        return [{ kind: "finish" }];
    },
    silent: state => {
        state.isMoving = true;
        return [{ kind: "place" }];
    },
    continued: state => endMove(state, { kind: "cancel-held" }),
    returned: state => endMove(state, { kind: "resume-held" }),
    "held-ended": (state, { isRefused }) => {
        state.runs -= Number(isRefused);
        return endMove(state, { kind: "cancel-held" });
    },
    ended: (state, event) => endHandlers[event.end](state, event),
    expired: state => abandon(state),
    stopped: state => abandonAll(state),
    obstructed: state => abandon(state),
    timeout: state => [{ kind: "cancel" }, ...abandonAll(state, 504)],
    fault: state => [{ kind: "cancel" }, ...abandonAll(state)],
    "caller-gone": state => {
        state.isFinished = true;
        return [{ kind: "cancel" }, { kind: "finish" }];
    },
};

type EndHandler = (state: DirectRequestState, conditions: RetryConditions) => DirectRequestAction[];

const endHandlers: Record<AttemptEnd, EndHandler> = {
    unconnected: state => {
        state.failedConnects += 1;
        return [{ kind: state.failedConnects < maxImmediateConnects ? "place" : "wait" }];
    },
    exhausted: () => [{ kind: "wait" }],
    full: (state, { hasRetryBudget }) => retryRefused(state, hasRetryBudget),
    misdirected: (state, { hasRetryBudget }) => retryRefused(state, hasRetryBudget),
    "group-broken": state => {
        state.runs -= 1;
        return state.sentAttempts < maxSentAttempts ? [{ kind: "wait-for-group" }] : abandon(state);
    },
    lost: (state, conditions) => isRetryAllowed(state, conditions) ? [{ kind: "place" }] : abandon(state),
    failed: (state, conditions) => {
        if (isRetryAllowed(state, conditions)) {
            return [{ kind: "place" }];
        }
        if (state.isMoving) {
            return abandon(state);
        }
        // An error response cannot be relayed behind the head of another response.
        if (state.hasSentHead) {
            return abandon(state);
        }
        state.isFinished = true;
        return [{ kind: "relay-failure" }, { kind: "finish" }];
    },
};

/** Applies an event and returns the actions to execute, in order; none once the request is finished. */
export function advanceDirectRequest(state: DirectRequestState, event: DirectRequestEvent): DirectRequestAction[] {
    return state.isFinished ? [] : eventHandlers[event.kind](state, event as never);
}

/** Retries a request that an upstream has refused and therefore not run. */
function retryRefused(state: DirectRequestState, hasRetryBudget: boolean): DirectRequestAction[] {
    state.runs -= 1;
    return hasRetryBudget && state.sentAttempts < maxSentAttempts ? [{ kind: "place" }] : abandon(state);
}

function isRetryAllowed(state: DirectRequestState, { hasRetryBudget, canContinue }: RetryConditions): boolean {
    return hasRetryBudget && isRunAllowed(state, canContinue);
}

/** Whether the request may run once more after it may have run, provided that the retry budget allows it. */
export function isRunAllowed(state: DirectRequestState, canContinue: boolean): boolean {
    const isAllowed = state.isRepeatable && (!state.hasSentHead || (state.isResumable && canContinue));
    return isAllowed && state.runs < state.maxRuns && state.sentAttempts < maxSentAttempts;
}

/** Ends a move to another upstream, if there is one. */
function endMove(state: DirectRequestState, action: DirectRequestAction): DirectRequestAction[] {
    const wasMoving = state.isMoving;
    state.isMoving = false;
    return wasMoving ? [action] : [];
}

/** Gives up the current attempt: the run that is held goes on, or the request ends. */
function abandon(state: DirectRequestState): DirectRequestAction[] {
    return state.isMoving ? endMove(state, { kind: "resume-held" }) : abandonAll(state);
}

/** Ends the request without a response from an upstream; `status` is used if the request may have run. */
function abandonAll(state: DirectRequestState, status: 502 | 504 = 502): DirectRequestAction[] {
    state.isFinished = true;
    if (state.hasSentHead) {
        return [{ kind: "cut" }, { kind: "finish" }];
    }
    return [state.runs > 0 ? { kind: "fail", status } : { kind: "refuse" }, { kind: "finish" }];
}
