/**
 * Plans expert maps at intervals on the coordinating slot: collects token counts, forecasts the next ones, proposes
 * moves.
 */
import { request } from "undici";
import type { Group } from "../config/schemas.js";
import { type AuditEvent, AuditKind } from "../observe/audit.js";
import { requestRpc, type RpcIdentity, type RpcMethods } from "../wire/rpc.js";
import { encodeCounts, type EncodedCounts, sumLayerCounts, sumRankTokens } from "./counts.js";
import type { SwitchDriver } from "./driverSwitch.js";
import { createForecast, forecastShares, type ForecastState, observeCounts } from "./forecast.js";
import { type LayerPlacement, packLayer } from "./placement.js";
import { planLayer, planPresets } from "./plan.js";
import { createStragglerState, getPlanSpeeds, observeRanks, type StragglerState } from "./stragglers.js";
import type { ExpertMap } from "./types.js";

/** Response of an engine to `GET /counts`. */
interface EngineCounts extends Omit<CountsReport, "counts"> {
    /** Tokens of the rank's experts by layer, then expert. */
    counts: number[][];
}

/** Result of a slot's RPC method `groupCounts`. */
interface CountsReport {
    counts: EncodedCounts;
    /** Mean time per step that the rank spent computing, in milliseconds. */
    busyMs: number;
    /** Step that the rank enters next. */
    step: number;
}

export interface PlanDriver {
    methods: RpcMethods;
    /** Sets the group's configuration; nothing is planned while it is undefined. */
    setGroup: (group: Group | undefined) => void;
    close: () => void;
}

/** Starts planning. Every slot serves `groupCounts`, but only the coordinating one proposes maps. */
export function startPlanDriver(
    identity: RpcIdentity,
    ordersUrl: string,
    driver: SwitchDriver,
    audit: (event: AuditEvent) => void,
): PlanDriver {
    let group: Group | undefined;
    let forecasts: ForecastState[] = [];
    let stragglers: StragglerState = createStragglerState(0);
    /** Moves of each layer that may be used now; unused ones accumulate up to a limit, as in a token bucket. */
    let budget = 0;
    let timer: NodeJS.Timeout | undefined;

    const runPlan = async () => {
        if (group === undefined || !driver.isSteady()) {
            forecasts = [];
            return;
        }
        const { ranks, layers, experts, slotsPerRank } = group;
        if (driver.needsMap()) {
            const evenCounts = new Array<number>(experts).fill(1);
            const layer = Array.from(packLayer(evenCounts, ranks, slotsPerRank).experts);
            driver.propose({ slotsPerRank, layers: Array.from({ length: layers }, () => layer) }, "first map");
            return;
        }
        const reports = await Promise.all(
            driver.getMemberUrls().map(url => requestRpc<CountsReport>(identity, url, "groupCounts", {})),
        );
        const { map } = await fetchMap(ordersUrl);
        if (map === undefined) {
            return;
        }
        if (forecasts.length === 0) {
            forecasts = map.layers.map(() => createForecast(experts));
            stragglers = createStragglerState(ranks);
        }
        auditStragglers(reports, group.name);
        forecasts.forEach((forecast, layer) =>
            observeCounts(forecast, sumLayerCounts(reports.map(report => report.counts), layer, experts))
        );
        const planned = planMoves(map, group);
        if (planned !== undefined) {
            driver.propose(planned.map, planned.reason);
        }
    };
    const auditStragglers = (reports: CountsReport[], subject: string) => {
        const observations = reports.map(({ counts, busyMs, step }) => ({
            tokens: sumRankTokens(counts),
            busyMs,
            step,
        }));
        for (const { rank, verdict, speed, load, step } of observeRanks(stragglers, observations)) {
            const measurements = `speed ${speed.toFixed(2)} of the median, load ${
                load.toFixed(2)
            } of the mean, step ${step}`;
            audit({ kind: AuditKind.straggler, subject, reason: `rank ${rank} is ${verdict}: ${measurements}` });
        }
    };
    const planMoves = (map: ExpertMap, { ranks, preset }: Group) => {
        const parameters = planPresets[preset];
        const earned = parameters.movesPerInterval * ranks * map.slotsPerRank;
        budget = Math.min(Math.max(1, earned * parameters.burstIntervals), budget + earned);
        const speeds = getPlanSpeeds(stragglers);
        let moved = 0;
        const layers = map.layers.map((layer, index) => {
            const placement: LayerPlacement = {
                ranks,
                slotsPerRank: map.slotsPerRank,
                experts: Int32Array.from(layer),
            };
            const forecast = forecastShares(forecasts[index], parameters.errorMultiple);
            const result = planLayer({ placement, forecast, budget, speeds }, parameters);
            moved += result.kind === "move" ? result.moves.length : 0;
            return result.kind === "move" ? Array.from(result.placement.experts) : layer;
        });
        budget -= moved / layers.length;
        return moved === 0 ?
            undefined :
            { map: { ...map, layers }, reason: `${moved} experts move (preset ${preset})` };
    };
    const scheduleNextPlan = () => {
        timer = setTimeout(
            () => void runPlan().catch(() => undefined).finally(scheduleNextPlan),
            getPlanIntervalMs(group, driver),
        );
    };
    scheduleNextPlan();
    return {
        methods: { groupCounts: () => fetchCounts(ordersUrl) },
        setGroup: value => {
            group = value;
        },
        close: () => clearTimeout(timer),
    };
}

/** Interval in milliseconds while the group is unknown or has no map. */
const firstMapIntervalMs = 200;

function getPlanIntervalMs(group: Group | undefined, driver: SwitchDriver): number {
    return group === undefined || driver.needsMap() ? firstMapIntervalMs : group.planIntervalSeconds * 1000;
}

async function fetchCounts(ordersUrl: string): Promise<CountsReport> {
    const response = await request(`${ordersUrl}/counts`, { signal: AbortSignal.timeout(1000) });
    const { counts, busyMs, step } = await response.body.json() as EngineCounts;
    return { counts: encodeCounts(counts), busyMs, step };
}

/** Fetches the map in force from the slot's own engine. */
async function fetchMap(ordersUrl: string): Promise<{ map?: ExpertMap; }> {
    const response = await request(`${ordersUrl}/map`, { signal: AbortSignal.timeout(1000) });
    return await response.body.json() as { map?: ExpertMap; };
}
