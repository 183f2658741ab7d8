/**
 * Plans of maps that a process remembers by their versions, so that a prepare need only tell what differs from the map
 * in force. Answers the load pattern of a large group whose lead has a narrow link: whole maps for all ranks fill it
 * for half a second, and the lead is not heard in that time.
 */
import type { ExpertPlan, RankOrder } from "./rankTypes.js";

/** Experts that a rank has of a set, where they differ from the base: set, rank, experts. */
export type PlanDelta = [number, number, number[]];

export interface PlanCache {
    plans: Map<number, ExpertPlan>;
}

/** A prepare that tells what differs from the map of version `base`. */
export interface DeltaPrepare {
    kind: "prepare";
    version: number;
    base: number;
    changes: PlanDelta[];
}

/** Plans that are remembered: the one in force, the one that is prepared, and two that a takeover may meet. */
const maxCachedPlans = 4;

/** Creates a book without plans. */
export function createPlanCache(): PlanCache {
    return { plans: new Map() };
}

/** Remembers a plan; the ones that were not used for longest are forgotten. */
export function storePlan({ plans }: PlanCache, version: number, plan: ExpertPlan): void {
    plans.delete(version);
    plans.set(version, plan);
    for (const old of [...plans.keys()].slice(0, Math.max(0, plans.size - maxCachedPlans))) {
        plans.delete(old);
    }
}

/** Shortens a prepare when the map in force is remembered; other orders stay as they are. */
export function packOrder(book: PlanCache, order: RankOrder, mapVersion: number | undefined): RankOrder | DeltaPrepare {
    const base = mapVersion === undefined ? undefined : book.plans.get(mapVersion);
    if (order.kind !== "prepare" || base === undefined || mapVersion === undefined) {
        return order;
    }
    return { kind: "prepare", version: order.version, base: mapVersion, changes: diffPlans(base, order.plan) };
}

/** Restores an order; undefined when the base of a prepare is not remembered. */
export function unpackOrder(book: PlanCache, order: RankOrder | DeltaPrepare): RankOrder | undefined {
    if (!("base" in order)) {
        return order;
    }
    const { version, base, changes } = order;
    const plan = book.plans.get(base);
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
