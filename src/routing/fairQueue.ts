/** Queue of a slot that workspaces share by weight; picking the next costs a look at each workspace that waits. */

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
    /** Tokens of the waiting requests. */
    tokens: number;
    /** Waiting requests by urgency, each in the order of arrival. */
    byUrgency: Map<string, QueuedRequest>[];
}

export interface FairQueue {
    byId: Map<string, QueuedRequest>;
    workspaces: Map<string, WorkspaceQueue>;
    /** Virtual finish time of each workspace's last started request. */
    finishTags: Map<string, number>;
    virtualTime: number;
}

const urgencyLevels = 8;
/** Head start of a request over one that is less urgent by one level, in milliseconds. */
export const urgencyStepMs = 1000;
const maxFinishTags = 1024;

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
    return { byId: new Map(), workspaces: new Map(), finishTags: new Map(), virtualTime: 0 };
}

/** Adds a request. */
export function enqueueRequest(queue: FairQueue, item: QueuedRequest): void {
    const workspaceQueue = queue.workspaces.get(item.workspace) ?? createWorkspaceQueue();
    queue.workspaces.set(item.workspace, workspaceQueue);
    queue.byId.set(item.id, item);
    workspaceQueue.weight = item.weight;
    workspaceQueue.tokens += computeCost(item);
    workspaceQueue.byUrgency[item.urgency].set(item.id, item);
}

/** Removes a request; undefined when it does not wait. */
export function removeRequest(queue: FairQueue, id: string): QueuedRequest | undefined {
    const item = queue.byId.get(id);
    const workspaceQueue = queue.workspaces.get(item?.workspace ?? "");
    if (item === undefined || workspaceQueue === undefined) {
        return undefined;
    }
    queue.byId.delete(id);
    workspaceQueue.tokens -= computeCost(item);
    workspaceQueue.byUrgency[item.urgency].delete(id);
    if (workspaceQueue.byUrgency.every(level => level.size === 0)) {
        queue.workspaces.delete(item.workspace);
    }
    return item;
}

/** Picks the request to start next: of the eligible workspace that has had least for its weight, the first by urgency. */
export function pickNext(
    queue: FairQueue,
    isEligible: (workspace: string, weight: number) => boolean,
): QueuedRequest | undefined {
    let best: WorkspaceQueue | undefined;
    let lowestStartTag = Infinity;
    for (const [workspace, own] of queue.workspaces) {
        const startTag = computeStartTag(queue, workspace);
        if (startTag < lowestStartTag && isEligible(workspace, own.weight)) {
            best = own;
            lowestStartTag = startTag;
        }
    }
    return best === undefined ? undefined : findFirst(best);
}

/** Charges a workspace for a request that starts. */
export function recordStart(queue: FairQueue, item: QueuedRequest): void {
    const startTag = computeStartTag(queue, item.workspace);
    queue.virtualTime = Math.max(queue.virtualTime, startTag);
    queue.finishTags.set(item.workspace, startTag + computeCost(item) / item.weight);
    if (queue.finishTags.size > maxFinishTags) {
        queue.finishTags.forEach((finishTag, workspace) =>
            finishTag <= queue.virtualTime && queue.finishTags.delete(workspace)
        );
    }
}

/** Picks the waiting workspace whose waiting and running tokens are the most for its weight. */
export function pickHeaviestWorkspace(queue: FairQueue, getRunningTokens: (workspace: string) => number): string {
    let heaviest = "";
    let heaviestTokens = -1;
    for (const [workspace, own] of queue.workspaces) {
        const tokens = (own.tokens + getRunningTokens(workspace)) / own.weight;
        if (tokens > heaviestTokens) {
            heaviest = workspace;
            heaviestTokens = tokens;
        }
    }
    return heaviest;
}

/** Finds the request of a workspace that would start last. */
export function findLowestPriority(queue: FairQueue, workspace: string): QueuedRequest {
    let last: QueuedRequest | undefined;
    for (const level of queue.workspaces.get(workspace)!.byUrgency) {
        for (const item of level.values()) {
            if (last === undefined || computeSortKey(item) >= computeSortKey(last)) {
                last = item;
            }
        }
    }
    return last!;
}

/** Sums the weights of the workspaces that wait. */
export function sumQueuedWeights(queue: FairQueue): number {
    let weight = 0;
    for (const own of queue.workspaces.values()) {
        weight += own.weight;
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

/** Orders the requests of one workspace: by arrival, with a head start for urgency. */
function computeSortKey(item: QueuedRequest): number {
    return item.arrivedAt + item.urgency * urgencyStepMs;
}

function computeCost(item: QueuedRequest): number {
    return Math.max(1, item.tokens);
}
