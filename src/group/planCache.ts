/**
 * Caches expert maps by version, so that a `prepare` order only needs to carry the difference from the active map. In a
 * large group whose leader has a narrow link, sending whole maps to all ranks saturates the link for half a second, and
 * the leader's messages are not received in that time.
 */
import type { ExpertPlan, RankOrder } from "./rankTypes.js";

/** Experts of a rank that differ from the base map: set, rank, experts. */
export type PlanDelta = [number, number, number[]];

export interface PlanCache {
    /** Maps by version, least recently stored first. */
    plans: Map<number, ExpertPlan>;
}

/** A `prepare` that carries only the difference from the map of version `base`. */
export interface DeltaPrepare {
    kind: "prepare";
    version: number;
    base: number;
    changes: PlanDelta[];
}

/** Cached maps: the active one, the prepared one, and two that a new leader may encounter after a takeover. */
const maxCachedPlans = 4;

/** Creates an empty cache. */
export function createPlanCache(): PlanCache {
    return { plans: new Map() };
}

/** Stores a map and evicts those that were stored longest ago. */
export function storePlan({ plans }: PlanCache, version: number, plan: ExpertPlan): void {
    plans.delete(version);
    plans.set(version, plan);
    for (const oldVersion of [...plans.keys()].slice(0, Math.max(0, plans.size - maxCachedPlans))) {
        plans.delete(oldVersion);
    }
}

/** Encodes a `prepare` as the difference from the active map if that map is cached; returns other orders unchanged. */
export function packOrder(
    cache: PlanCache,
    order: RankOrder,
    mapVersion: number | undefined,
): RankOrder | DeltaPrepare {
    const base = mapVersion === undefined ? undefined : cache.plans.get(mapVersion);
    if (order.kind !== "prepare" || base === undefined || mapVersion === undefined) {
        return order;
    }
    return { kind: "prepare", version: order.version, base: mapVersion, changes: diffPlans(base, order.plan) };
}

/** Restores an order encoded by `packOrder`; undefined if the base of a `prepare` is not cached. */
export function unpackOrder(cache: PlanCache, order: RankOrder | DeltaPrepare): RankOrder | undefined {
    if (!("base" in order)) {
        return order;
    }
    const { version, base, changes } = order;
    const plan = cache.plans.get(base);
    return plan === undefined ? undefined : { kind: "prepare", version, plan: applyDeltas(plan, changes) };
}

function diffPlans(base: ExpertPlan, next: ExpertPlan): PlanDelta[] {
    return next.flatMap((ranks, set) =>
        ranks.flatMap((experts, rank): PlanDelta[] =>
            String(experts) === String(base[set][rank]) ? [] : [[set, rank, experts]]
        )
    );
}

function applyDeltas(base: ExpertPlan, changes: PlanDelta[]): ExpertPlan {
    const plan = base.map(ranks => [...ranks]);
    changes.forEach(([set, rank, experts]) => plan[set][rank] = experts);
    return plan;
}
