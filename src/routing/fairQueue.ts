/** Queue of a slot that workspaces share by weight; picking the next costs a look at each workspace that waits. */

export interface Waiting {
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
    levels: Map<string, Waiting>[];
}

export interface FairQueue {
    byId: Map<string, Waiting>;
    workspaces: Map<string, WorkspaceQueue>;
    /** Virtual finish time of each workspace's last started request. */
    finished: Map<string, number>;
    virtualTime: number;
}

const urgencyLevels = 8;
/** Head start of a request over one that is less urgent by one level, in milliseconds. */
export const urgencyStepMs = 1000;
const maxFinished = 1024;

/** Creates an empty queue. */
export function createFairQueue(): FairQueue {
    return { byId: new Map(), workspaces: new Map(), finished: new Map(), virtualTime: 0 };
}

/** Adds a request. */
export function addWaiting(queue: FairQueue, item: Waiting): void {
    const own = queue.workspaces.get(item.workspace) ?? createWorkspaceQueue();
    queue.workspaces.set(item.workspace, own);
    queue.byId.set(item.id, item);
    own.weight = item.weight;
    own.tokens += countCost(item);
    own.levels[item.urgency].set(item.id, item);
}

/** Removes a request; undefined when it does not wait. */
export function removeWaiting(queue: FairQueue, id: string): Waiting | undefined {
    const item = queue.byId.get(id);
    const own = queue.workspaces.get(item?.workspace ?? "");
    if (item === undefined || own === undefined) {
        return undefined;
    }
    queue.byId.delete(id);
    own.tokens -= countCost(item);
    own.levels[item.urgency].delete(id);
    if (own.levels.every(level => level.size === 0)) {
        queue.workspaces.delete(item.workspace);
    }
    return item;
}

/** Picks the request to start next: of the eligible workspace that has had least for its weight, the first by urgency. */
export function pickNext(
    queue: FairQueue,
    isEligible: (workspace: string, weight: number) => boolean,
): Waiting | undefined {
    let best: WorkspaceQueue | undefined;
    let bestStart = Infinity;
    for (const [workspace, own] of queue.workspaces) {
        const start = computeStart(queue, workspace);
        if (start < bestStart && isEligible(workspace, own.weight)) {
            best = own;
            bestStart = start;
        }
    }
    return best === undefined ? undefined : findFirst(best);
}

/** Charges a workspace for a request that starts. */
export function noteStarted(queue: FairQueue, item: Waiting): void {
    const start = computeStart(queue, item.workspace);
    queue.virtualTime = Math.max(queue.virtualTime, start);
    queue.finished.set(item.workspace, start + countCost(item) / item.weight);
    if (queue.finished.size > maxFinished) {
        queue.finished.forEach((at, workspace) => at <= queue.virtualTime && queue.finished.delete(workspace));
    }
}

/** Picks the waiting workspace whose waiting and running tokens are the most for its weight. */
export function pickOverloaded(queue: FairQueue, getRunningTokens: (workspace: string) => number): string {
    let most = "";
    let mostTokens = -1;
    for (const [workspace, own] of queue.workspaces) {
        const tokens = (own.tokens + getRunningTokens(workspace)) / own.weight;
        if (tokens > mostTokens) {
            most = workspace;
            mostTokens = tokens;
        }
    }
    return most;
}

/** Finds the request of a workspace that would start last. */
export function findWorst(queue: FairQueue, workspace: string): Waiting {
    let worst: Waiting | undefined;
    for (const level of queue.workspaces.get(workspace)!.levels) {
        for (const item of level.values()) {
            if (worst === undefined || computeRank(item) >= computeRank(worst)) {
                worst = item;
            }
        }
    }
    return worst!;
}

/** Sums the weights of the workspaces that wait. */
export function sumWeights(queue: FairQueue): number {
    let weight = 0;
    for (const own of queue.workspaces.values()) {
        weight += own.weight;
    }
    return weight;
}

function createWorkspaceQueue(): WorkspaceQueue {
    return { weight: 1, tokens: 0, levels: Array.from({ length: urgencyLevels }, () => new Map()) };
}

function computeStart(queue: FairQueue, workspace: string): number {
    return Math.max(queue.virtualTime, queue.finished.get(workspace) ?? 0);
}

function findFirst(own: WorkspaceQueue): Waiting | undefined {
    let first: Waiting | undefined;
    for (const level of own.levels) {
        const [head] = level.values();
        if (head !== undefined && (first === undefined || computeRank(head) < computeRank(first))) {
            first = head;
        }
    }
    return first;
}

/** Orders the requests of one workspace: by arrival, with a head start for urgency. */
function computeRank(item: Waiting): number {
    return item.arrivedAt + item.urgency * urgencyStepMs;
}

function countCost(item: Waiting): number {
    return Math.max(1, item.tokens);
}
