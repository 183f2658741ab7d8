/**
 * Divides the descriptors of a process between the connections of callers and those to upstreams, and decides which
 * connection of a caller closes when they do not suffice.
 */
import { stalledAfterMs } from "./memoryAccount.js";

/** What a caller's connection is used for. */
export const ConnectionState = {
    /** No request is under way on it. */
    idle: "idle",
    /** A request is arriving, which nothing works on. */
    arriving: "arriving",
    /** A whole request has arrived, or several. */
    busy: "busy",
} as const;
export type ConnectionState = (typeof ConnectionState)[keyof typeof ConnectionState];

/** Connection of a caller, as far as the decision depends on it. */
export interface CallerConnection {
    state: ConnectionState;
    /** Time of the latest progress: its opening, its last response, or bytes of a request, in milliseconds. */
    idleSince: number;
}

export interface ConnectionBudget {
    /** Maximum number of connections, of callers and to upstreams. */
    readonly maxConnections: number;
    /** Maximum number of callers' connections, which leaves some for upstreams. */
    readonly maxCallers: number;
    callers: Set<CallerConnection>;
    upstreams: number;
    /** Time up to which the operating system is assumed to have no descriptors, in milliseconds. */
    exhaustedUntil: number;
}

/** Share of the descriptors that connections may use; the others are for files, listeners and peers. */
const connectionShare = 0.85;
/** Share of the connections that callers may use. */
const callerShare = 0.8;
/** Time for which no connections to upstreams are opened after one has failed for want of descriptors, in milliseconds. */
const exhaustedMs = 100;

/** Ranks in the order in which connections are closed; undefined for those that are kept. */
const stateRanks: Record<ConnectionState, (isStalled: boolean) => number | undefined> = {
    arriving: isStalled => isStalled ? 0 : 2,
    idle: () => 1,
    busy: () => undefined,
};

export function createConnectionBudget(descriptors: number): ConnectionBudget {
    const maxConnections = Math.floor(descriptors * connectionShare);
    return {
        maxConnections,
        maxCallers: Math.floor(maxConnections * callerShare),
        callers: new Set(),
        upstreams: 0,
        exhaustedUntil: -Infinity,
    };
}

/** Adds a caller's connection; returns the one that is to close, which may be `added` itself, or undefined. */
export function addCaller(
    budget: ConnectionBudget,
    added: CallerConnection,
    now: number,
): CallerConnection | undefined {
    const { callers, maxCallers } = budget;
    callers.add(added);
    const isOver = callers.size > maxCallers || countConnections(budget) > budget.maxConnections;
    return isOver ? findCheapestConnection(budget, now, added) ?? added : undefined;
}

/** Whether no connection may be opened unless another one closes. */
export function isFull(budget: ConnectionBudget): boolean {
    return countConnections(budget) >= budget.maxConnections;
}

/** Whether a connection to an upstream may be opened. */
export function hasUpstreamRoom(budget: ConnectionBudget, now: number): boolean {
    return !isFull(budget) && now >= budget.exhaustedUntil;
}

/** Records that the operating system had no descriptor. */
export function recordExhaustion(budget: ConnectionBudget, now: number): void {
    budget.exhaustedUntil = now + exhaustedMs;
}

/**
 * Returns the caller's connection whose loss costs least, other than `excluded`: one on which a request has stalled, then
 * the one that has been idle for longest; undefined if a request has arrived on all of them.
 */
export function findCheapestConnection(
    { callers }: ConnectionBudget,
    now: number,
    excluded?: CallerConnection,
): CallerConnection | undefined {
    let cheapest: CallerConnection | undefined;
    let cheapestRank = Infinity;
    for (const connection of callers) {
        const rank = stateRanks[connection.state](now - connection.idleSince >= stalledAfterMs);
        const isCandidate = rank !== undefined && connection !== excluded;
        const isCheaper = isCandidate &&
            (rank < cheapestRank || (rank === cheapestRank && connection.idleSince < cheapest!.idleSince));
        if (isCheaper) {
            cheapest = connection;
            cheapestRank = rank;
        }
    }
    return cheapest;
}

function countConnections({ callers, upstreams }: ConnectionBudget): number {
    return callers.size + upstreams;
}
