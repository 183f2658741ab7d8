/** Chooses the upstream for a request. */
import type { UpstreamEntry, UpstreamTable } from "./table.js";

export interface Choice {
    pool: string;
    dataCentre: string;
    spill: "never" | "when-full" | "always";
    tokens: number;
    /** Upstreams that earlier attempts of the request have tried. */
    excluded: ReadonlySet<string>;
}

const sampleCount = 2;

/** Chooses the cheapest of a few sampled candidates; undefined when there is none. `random` yields [0, 1). */
export function chooseUpstream(
    table: UpstreamTable,
    choice: Choice,
    now: number,
    random: () => number,
): UpstreamEntry | undefined {
    const usable = [...table.upstreams.values()].filter(u =>
        u.pool === choice.pool && !u.leaving && !choice.excluded.has(u.instance)
    );
    const healthy = usable.filter(u => u.ejectedUntil <= now);
    const candidates = healthy.length > 0 ? healthy : usable;
    const near = candidates.filter(u => u.dataCentre === choice.dataCentre);
    const pickFrom = choice.spill === "always" || (near.length === 0 && choice.spill !== "never") ? candidates : near;
    let best: UpstreamEntry | undefined;
    for (let i = 0; i < sampleCount && pickFrom.length > 0; i++) {
        const sampled = pickFrom[Math.floor(random() * pickFrom.length)];
        if (best === undefined || estimateCost(sampled) < estimateCost(best)) {
            best = sampled;
        }
    }
    return best;
}

/** Estimates the tokens in flight at an upstream. */
export function estimateCost(upstream: UpstreamEntry): number {
    return Math.max(upstream.ownTokens, (upstream.report?.tokensInFlight ?? 0) + upstream.sentSinceReport);
}
