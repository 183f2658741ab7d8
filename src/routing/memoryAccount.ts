/**
 * Account of the memory that a process holds for its callers. Decides what is given up when the memory does not suffice:
 * first what does not progress, never a request that an upstream works on.
 */

/** What happens to a holding, which decides how much its loss costs. */
export const HoldingStage = {
    /** A request that has not arrived whole, or that waits behind others on its connection. */
    arriving: "arriving",
    /** A whole request that no upstream has. */
    queued: "queued",
    /** A request that an upstream may work on. */
    running: "running",
    /** A response that its caller has not read to the end. */
    responding: "responding",
} as const;
export type HoldingStage = (typeof HoldingStage)[keyof typeof HoldingStage];

/** Memory that is held for one request. */
export interface Holding {
    stage: HoldingStage;
    bytes: number;
    /** Time at which bytes were last received or taken by the caller, in milliseconds. */
    progressedAt: number;
}

export interface MemoryAccount {
    readonly limitBytes: number;
    usedBytes: number;
    holdings: Set<Holding>;
}

/** Time without progress after which a holding counts as stalled, in milliseconds. */
export const stalledAfterMs = 1000;
/** Holdings up to this size may use the whole limit, in bytes. */
export const smallHoldingBytes = 64 * 1024;
/** Share of the limit that is kept for small holdings. */
export const smallHoldingShare = 1 / 8;

/** Memory of a process besides what it holds for its callers: the program, its connections and garbage, in bytes. */
const programBytes = 112 * 1024 * 1024;
/** Least share of the memory that is held for callers. */
const minCallerShare = 0.2;

/** Computes how much a process with `memoryBytes` may hold for its callers, in bytes. */
export function computeCallerBytes(memoryBytes: number): number {
    return Math.max(memoryBytes - programBytes, memoryBytes * minCallerShare);
}

/** Ranks in the order in which holdings are given up; undefined for those that are kept. */
const stageRanks: Record<HoldingStage, (isStalled: boolean) => number | undefined> = {
    arriving: isStalled => isStalled ? 0 : 2,
    responding: isStalled => isStalled ? 1 : undefined,
    queued: () => 3,
    running: () => undefined,
};

export function createMemoryAccount(limitBytes: number): MemoryAccount {
    return { limitBytes, usedBytes: 0, holdings: new Set() };
}

/** Adds a holding without bytes. */
export function addHolding(account: MemoryAccount, stage: HoldingStage, now: number): Holding {
    const holding = { stage, bytes: 0, progressedAt: now };
    account.holdings.add(holding);
    return holding;
}

/** Removes a holding with its bytes; does nothing if it was removed. */
export function removeHolding(account: MemoryAccount, holding: Holding): void {
    if (account.holdings.delete(holding)) {
        account.usedBytes -= holding.bytes;
    }
}

/**
 * Sets the size of a holding. Returns the holdings that were removed because the limit would be exceeded, which may include
 * `holding` itself; a removed holding takes no more bytes.
 */
export function setHoldingBytes(account: MemoryAccount, holding: Holding, bytes: number, now: number): Holding[] {
    if (!account.holdings.has(holding)) {
        return [];
    }
    const hasGrown = bytes > holding.bytes;
    account.usedBytes += bytes - holding.bytes;
    holding.bytes = bytes;
    const removed: Holding[] = [];
    const limitBytes = computeLimit(account, holding);
    while (hasGrown && account.usedBytes > limitBytes && account.holdings.has(holding)) {
        const victim = findCheapest(account, now) ?? holding;
        removeHolding(account, victim);
        removed.push(victim);
    }
    return removed;
}

/** Computes how much all holdings may use when `holding` grows, in bytes. */
function computeLimit({ limitBytes }: MemoryAccount, { bytes }: Holding): number {
    return bytes > smallHoldingBytes ? limitBytes * (1 - smallHoldingShare) : limitBytes;
}

/** Returns the holding whose loss costs least; undefined if all are to be kept. */
function findCheapest({ holdings }: MemoryAccount, now: number): Holding | undefined {
    let cheapest: Holding | undefined;
    let cheapestRank = Infinity;
    let cheapestWaste = -Infinity;
    for (const holding of holdings) {
        const idleMs = now - holding.progressedAt;
        const rank = stageRanks[holding.stage](idleMs >= stalledAfterMs);
        if (rank === undefined || rank > cheapestRank || holding.bytes === 0) {
            continue;
        }
        // The product weighs a large holding that has just paused against a small one that is idle for long.
        const waste = holding.bytes * (1 + Math.max(0, idleMs));
        if (rank < cheapestRank || waste > cheapestWaste) {
            cheapest = holding;
            cheapestRank = rank;
            cheapestWaste = waste;
        }
    }
    return cheapest;
}
