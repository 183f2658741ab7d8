/** Shares the memory account of a process among its servers, and ends what the account gives up. */
import {
    addHolding,
    createMemoryAccount,
    type Holding,
    HoldingStage,
    removeHolding,
    setHoldingBytes,
} from "../routing/memoryAccount.js";

/** Memory that a process holds for the callers of all its servers. */
export interface CallerMemory {
    /**
     * Opens a reservation without bytes; `onEvicted` is called at most once, after which the reservation is closed, and must
     * release what is held.
     */
    open: (onEvicted: () => void) => MemoryReservation;
    getUsedBytes: () => number;
    /** Returns the number of reservations that were evicted. */
    countEvicted: () => number;
}

/** Memory that is held for one request. */
export interface MemoryReservation {
    /** Changes the size by `bytes`; returns whether the reservation is still open. */
    add: (bytes: number) => boolean;
    /** Changes what happens to the request; it counts as progress. */
    setStage: (stage: HoldingStage) => void;
    /** Records that bytes were received from the caller, or taken by it. */
    recordProgress: () => void;
    getBytes: () => number;
    isOpen: () => boolean;
    close: () => void;
}

/** Creates the memory of a process; `now` returns milliseconds. */
export function createCallerMemory(limitBytes: number, now: () => number): CallerMemory {
    const account = createMemoryAccount(limitBytes);
    const evictors = new Map<Holding, () => void>();
    let evictedCount = 0;
    const evict = (holding: Holding) => {
        const evictor = evictors.get(holding);
        evictors.delete(holding);
        evictedCount += 1;
        evictor?.();
    };
    return {
        open: onEvicted => {
            const holding = addHolding(account, HoldingStage.arriving, now());
            evictors.set(holding, onEvicted);
            return {
                add: bytes => {
                    setHoldingBytes(account, holding, holding.bytes + bytes, now()).forEach(evict);
                    return evictors.has(holding);
                },
                setStage: stage => {
                    holding.stage = stage;
                    holding.progressedAt = now();
                },
                recordProgress: () => {
                    holding.progressedAt = now();
                },
                getBytes: () => holding.bytes,
                isOpen: () => evictors.has(holding),
                close: () => {
                    evictors.delete(holding);
                    removeHolding(account, holding);
                },
            };
        },
        getUsedBytes: () => account.usedBytes,
        countEvicted: () => evictedCount,
    };
}
