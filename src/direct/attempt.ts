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

export interface DirectAttemptState {
    readonly isRepeatable: boolean;
    readonly isResumable: boolean;
    /** Upstreams that the request may run on. */
    readonly maxRuns: number;
    /** Attempts that may have run. */
    runs: number;
    /** Attempts that reached an upstream. */
    arrivals: number;
    /** Whether the head of an answer has gone to the caller. */
    hasBegun: boolean;
    isOver: boolean;
}

export type DirectAttemptEvent =
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

export type DirectAttemptAction =
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
const maxArrivals = 3;

export interface AttemptTerms {
    isRepeatable: boolean;
    isResumable: boolean;
    maxRuns: number;
}

/** Creates the state of a request that has been sent nowhere. */
export function createDirectAttempt(terms: AttemptTerms): DirectAttemptState {
    return { ...terms, runs: 0, arrivals: 0, hasBegun: false, isOver: false };
}

type Handlers = {
    [K in DirectAttemptEvent["kind"]]: (
        state: DirectAttemptState,
        event: Extract<DirectAttemptEvent, { kind: K; }>,
    ) => DirectAttemptAction[];
};

const handlers: Handlers = {
    sent: state => {
        state.arrivals += 1;
        state.runs += 1;
        return [];
    },
    began: state => {
        state.hasBegun = true;
        return [];
    },
    completed: state => {
        state.isOver = true;
        return [{ kind: "finish" }];
    },
    ended: (state, event) => endHandlers[event.end](state, event.hasRetryBudget),
    hopeless: state => abandon(state),
    timeout: state => [{ kind: "cancel" }, ...abandon(state, 504)],
    "caller-gone": state => {
        state.isOver = true;
        return [{ kind: "cancel" }, { kind: "finish" }];
    },
};

type EndHandler = (state: DirectAttemptState, hasRetryBudget: boolean) => DirectAttemptAction[];

const endHandlers: Record<AttemptEnd, EndHandler> = {
    unconnected: () => [{ kind: "place" }],
    full: (state, hasRetryBudget) => placeRefused(state, hasRetryBudget),
    misdirected: (state, hasRetryBudget) => placeRefused(state, hasRetryBudget),
    "group-broken": state => {
        state.runs -= 1;
        return state.arrivals < maxArrivals ? [{ kind: "wait-for-group" }] : abandon(state);
    },
    lost: (state, hasRetryBudget) => isRepeatAllowed(state, hasRetryBudget) ? [{ kind: "place" }] : abandon(state),
    failed: (state, hasRetryBudget) => {
        if (!state.hasBegun && isRepeatAllowed(state, hasRetryBudget)) {
            return [{ kind: "place" }];
        }
        state.isOver = true;
        return state.hasBegun ? [{ kind: "cut" }, { kind: "finish" }] : [{ kind: "relay-failure" }, { kind: "finish" }];
    },
};

/** Applies an event and returns what to do, in order. */
export function advanceDirectAttempt(state: DirectAttemptState, event: DirectAttemptEvent): DirectAttemptAction[] {
    return state.isOver ? [] : handlers[event.kind](state, event as never);
}

/** Places a request again that an upstream has refused. */
function placeRefused(state: DirectAttemptState, hasRetryBudget: boolean): DirectAttemptAction[] {
    state.runs -= 1;
    return hasRetryBudget && state.arrivals < maxArrivals ? [{ kind: "place" }] : abandon(state);
}

function isRepeatAllowed(state: DirectAttemptState, hasRetryBudget: boolean): boolean {
    const isAllowed = state.isRepeatable && (!state.hasBegun || state.isResumable);
    return isAllowed && hasRetryBudget && state.runs < state.maxRuns && state.arrivals < maxArrivals;
}

function abandon(state: DirectAttemptState, status: 502 | 504 = 502): DirectAttemptAction[] {
    state.isOver = true;
    if (state.hasBegun) {
        return [{ kind: "cut" }, { kind: "finish" }];
    }
    return [state.runs > 0 ? { kind: "fail", status } : { kind: "refuse" }, { kind: "finish" }];
}
