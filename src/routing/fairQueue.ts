/**
 * Start-time fair queue that divides a slot's work between workspaces (tenants) by weight. Each started request
 * advances its workspace's finish tag by cost / weight; the workspace with the lowest start tag is next. Picking a
 * request takes time linear in the number of workspaces with queued requests.
 */

export interface QueuedRequest {
    id: string;
    workspace: string;
    weight: number;
    /** Urgency of RFC 9218: 0 is the most urgent. */
    urgency: number;
    tokens: number;
    /** Time of arrival, in milliseconds. */
    arrivedAt: number;
    /** Time after which the request is refused, in milliseconds. */
    expiresAt: number;
}

interface WorkspaceQueue {
    weight: number;
    /** Cost of the queued requests in tokens. */
    tokens: number;
    /** Queued requests by urgency, each in the order of arrival. */
    byUrgency: Map<string, QueuedRequest>[];
}

export interface FairQueue {
    byId: Map<string, QueuedRequest>;
    workspaces: Map<string, WorkspaceQueue>;
    /** Virtual finish time of the last started request, by workspace. */
    finishTags: Map<string, number>;
    virtualTime: number;
}

const urgencyLevels = 8;
/** Time by which a request may overtake one that is less urgent by one level, in milliseconds. */
export const urgencyStepMs = 1000;
/** Number of finish tags above which those that no longer have an effect are removed. */
const maxFinishTags = 1024;

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
    return { byId: new Map(), workspaces: new Map(), finishTags: new Map(), virtualTime: 0 };
}

/** Adds a request to its workspace's queue. */
export function enqueueRequest(queue: FairQueue, request: QueuedRequest): void {
    const workspaceQueue = queue.workspaces.get(request.workspace) ?? createWorkspaceQueue();
    queue.workspaces.set(request.workspace, workspaceQueue);
    queue.byId.set(request.id, request);
    workspaceQueue.weight = request.weight;
    workspaceQueue.tokens += computeCost(request);
    workspaceQueue.byUrgency[request.urgency].set(request.id, request);
}

/** Removes a request and returns it; undefined when it is not queued. */
export function removeRequest(queue: FairQueue, id: string): QueuedRequest | undefined {
    const request = queue.byId.get(id);
    const workspaceQueue = queue.workspaces.get(request?.workspace ?? "");
    if (request === undefined || workspaceQueue === undefined) {
        return undefined;
    }
    queue.byId.delete(id);
    workspaceQueue.tokens -= computeCost(request);
    workspaceQueue.byUrgency[request.urgency].delete(id);
    if (workspaceQueue.byUrgency.every(level => level.size === 0)) {
        queue.workspaces.delete(request.workspace);
    }
    return request;
}

/** Picks the request to start next, from the eligible workspace that has received least for its weight. */
export function pickNext(
    queue: FairQueue,
    isEligible: (workspace: string, weight: number) => boolean,
): QueuedRequest | undefined {
    let best: WorkspaceQueue | undefined;
    let lowestStartTag = Infinity;
    for (const [workspace, candidate] of queue.workspaces) {
        const startTag = computeStartTag(queue, workspace);
        if (startTag < lowestStartTag && isEligible(workspace, candidate.weight)) {
            best = candidate;
            lowestStartTag = startTag;
        }
    }
    return best === undefined ? undefined : findFirst(best);
}

/** Records the start of a request and charges its cost to its workspace. */
export function recordStart(queue: FairQueue, request: QueuedRequest): void {
    const startTag = computeStartTag(queue, request.workspace);
    queue.virtualTime = Math.max(queue.virtualTime, startTag);
    queue.finishTags.set(request.workspace, startTag + computeCost(request) / request.weight);
    if (queue.finishTags.size > maxFinishTags) {
        queue.finishTags.forEach((finishTag, workspace) =>
            finishTag <= queue.virtualTime && queue.finishTags.delete(workspace)
        );
    }
}

/** Picks the workspace whose queued and running tokens are the highest relative to its weight. */
export function pickHeaviestWorkspace(queue: FairQueue, getRunningTokens: (workspace: string) => number): string {
    let heaviest = "";
    let heaviestTokens = -1;
    for (const [workspace, workspaceQueue] of queue.workspaces) {
        const tokens = (workspaceQueue.tokens + getRunningTokens(workspace)) / workspaceQueue.weight;
        if (tokens > heaviestTokens) {
            heaviest = workspace;
            heaviestTokens = tokens;
        }
    }
    return heaviest;
}

/** Finds the queued request of a workspace that would start last. */
export function findLowestPriority(queue: FairQueue, workspace: string): QueuedRequest {
    let last: QueuedRequest | undefined;
    for (const level of queue.workspaces.get(workspace)!.byUrgency) {
        for (const request of level.values()) {
            if (last === undefined || computeSortKey(request) >= computeSortKey(last)) {
                last = request;
            }
        }
    }
    return last!;
}

/** Sums the weights of the workspaces that have queued requests. */
export function sumQueuedWeights(queue: FairQueue): number {
    let weight = 0;
    for (const workspaceQueue of queue.workspaces.values()) {
        weight += workspaceQueue.weight;
    }
    return weight;
}

function createWorkspaceQueue(): WorkspaceQueue {
    return { weight: 1, tokens: 0, byUrgency: Array.from({ length: urgencyLevels }, () => new Map()) };
}

function computeStartTag(queue: FairQueue, workspace: string): number {
    return Math.max(queue.virtualTime, queue.finishTags.get(workspace) ?? 0);
}

function findFirst(workspaceQueue: WorkspaceQueue): QueuedRequest | undefined {
    let first: QueuedRequest | undefined;
    for (const level of workspaceQueue.byUrgency) {
        const [head] = level.values();
        if (head !== undefined && (first === undefined || computeSortKey(head) < computeSortKey(first))) {
            first = head;
        }
    }
    return first;
}

/** Computes the sort key of a request within its workspace: its arrival, delayed for each level of lower urgency. */
function computeSortKey(request: QueuedRequest): number {
    return request.arrivedAt + request.urgency * urgencyStepMs;
}

function computeCost(request: QueuedRequest): number {
    return Math.max(1, request.tokens);
}
