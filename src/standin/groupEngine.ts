/** Stand-ins for the engines of a group: they step in lock-step and record the map that each rank uses in each step. */
import { createRandom, type Random } from "../core/random.js";
import { applyOrder, copyEngineState, createEngineState, enterStep, getNextVersion } from "../group/engineRules.js";
import type { EngineOrder, EngineState, ExpertMap } from "../group/types.js";
import { type EngineOptions, startEngineStandin, type UpstreamStandin } from "./engine.js";
import { type Handler, sendJson } from "./http.js";

const msPerToken = 0.01;

export interface GroupEngineOptions {
    ranks: number;
    layers: number;
    experts: number;
    stepMs: number;
    /** Whether the engines refuse orders that carry an old fencing number. */
    fenced: boolean;
    seed: number;
    engine: EngineOptions;
}

interface RankEngine {
    state: EngineState;
    maps: Map<string, ExpertMap>;
    /** Tokens of the rank's experts since the last report: by layer, then expert. */
    counts: number[][];
    reportedStep: number;
}

export interface GroupEngines {
    upstreams: UpstreamStandin[];
    states: () => EngineState[];
    /** Steps that ran on more than one map, or on a map that a rank had not loaded. */
    countMixedSteps: () => number;
    countSteps: () => number;
    /** Versions that ran, in order. */
    listVersions: () => string[];
    /** Mean of the largest rank load over the mean one, since the last call. */
    takeSkew: () => number;
    /** Longest time between two steps since the last call, in milliseconds. */
    takeLongestGapMs: () => number;
    close: () => void;
}

interface Hub {
    options: GroupEngineOptions;
    ranks: RankEngine[];
    random: Random;
    popularity: number[][];
    /** Version by generation and step. */
    record: Map<string, string>;
    versions: string[];
    mixed: number;
    skews: number[];
    lastStepAt: number;
    longestGapMs: number;
}

/** Starts one engine a rank. */
export async function startGroupEngines(options: GroupEngineOptions): Promise<GroupEngines> {
    const random = createRandom(options.seed);
    const createTable = (fill: () => number) =>
        Array.from({ length: options.layers }, () => Array.from({ length: options.experts }, fill));
    const hub: Hub = {
        options,
        ranks: Array.from({ length: options.ranks }, () => ({
            state: { ...createEngineState(), stepMs: options.stepMs },
            maps: new Map(),
            counts: createTable(() => 0),
            reportedStep: 0,
        })),
        random,
        popularity: createTable(() => Math.exp(random.next() * 3)),
        record: new Map(),
        versions: [],
        mixed: 0,
        skews: [],
        lastStepAt: 0,
        longestGapMs: 0,
    };
    const upstreams = await Promise.all(
        hub.ranks.map(rank => startEngineStandin(0, options.engine, createHandlers(hub, rank))),
    );
    const timer = setInterval(() => advanceHub(hub), options.stepMs);
    return {
        upstreams,
        states: () => hub.ranks.map(rank => copyEngineState(rank.state)),
        countMixedSteps: () => hub.mixed,
        countSteps: () => hub.record.size,
        listVersions: () => [...hub.versions],
        takeSkew: () => {
            const skews = hub.skews.splice(0);
            return skews.length === 0 ? 1 : skews.reduce((sum, skew) => sum + skew, 0) / skews.length;
        },
        takeLongestGapMs: () => {
            const gap = hub.longestGapMs;
            hub.longestGapMs = 0;
            return gap;
        },
        close: () => {
            clearInterval(timer);
            upstreams.forEach(upstream => upstream.close());
        },
    };
}

function createHandlers(hub: Hub, rank: RankEngine): Record<string, Handler> {
    return {
        "POST /orders": (message, body, response) => {
            const order = JSON.parse(body) as EngineOrder;
            applyOrder(rank.state, order, { fenced: hub.options.fenced, matchesHolds: true });
            if (order.kind === "load") {
                rank.maps.set(order.version, order.map);
            }
            sendJson(response, 200, rank.state);
        },
        "GET /map": (message, body, response) => {
            sendJson(response, 200, { map: rank.maps.get(rank.state.version ?? "") });
        },
        "GET /counts": (message, body, response) => {
            const counts = rank.counts.map(layer => layer.map(Math.round));
            rank.counts.forEach(layer => layer.fill(0));
            const tokens = counts.flat().reduce((sum, count) => sum + count, 0);
            const steps = Math.max(1, rank.state.step - rank.reportedStep);
            rank.reportedStep = rank.state.step;
            sendJson(response, 200, { counts, busyMs: tokens / steps * msPerToken, step: rank.state.step });
        },
    };
}

/** Lets every rank enter its next step that may: all ranks must have entered the step before. */
function advanceHub(hub: Hub): void {
    const generation = Math.max(...hub.ranks.map(rank => rank.state.generation));
    const before = hub.record.size;
    for (let rank = 0; rank < hub.ranks.length; rank++) {
        const { state } = hub.ranks[rank];
        const version = getNextVersion(state);
        const mayEnter = hub.ranks.every(r => r.state.generation === state.generation && r.state.step >= state.step);
        if (state.generation === generation && version !== undefined && mayEnter) {
            recordStep(hub, hub.ranks[rank], version);
        }
    }
    if (hub.record.size > before) {
        const now = performance.now();
        hub.longestGapMs = hub.lastStepAt === 0 ? 0 : Math.max(hub.longestGapMs, now - hub.lastStepAt);
        hub.lastStepAt = now;
        countTokens(hub);
    }
}

function recordStep(hub: Hub, rank: RankEngine, version: string): void {
    const key = `${rank.state.generation}/${rank.state.step}`;
    const other = hub.record.get(key);
    const isLoaded = rank.state.loaded.includes(version);
    hub.mixed += (other === undefined || other === version) && isLoaded ? 0 : 1;
    hub.record.set(key, version);
    if (hub.versions[hub.versions.length - 1] !== version) {
        hub.versions.push(version);
    }
    enterStep(rank.state);
}

/** Spreads a step's tokens by popularity, which drifts, and notes the skew of rank loads. */
function countTokens(hub: Hub): void {
    const tokensPerStep = 1000;
    hub.popularity.forEach((layer, index) => {
        layer.forEach((weight, expert) => layer[expert] = weight * Math.exp((hub.random.next() - 0.5) * 0.04));
        const total = layer.reduce((sum, weight) => sum + weight, 0);
        const loads = hub.ranks.map(() => 0);
        const map = hub.ranks[0].maps.get(hub.ranks[0].state.version ?? "");
        const placed = map?.layers[index] ?? [];
        const copies = placed.reduce((counts, expert) => counts.set(expert, (counts.get(expert) ?? 0) + 1), new Map());
        placed.forEach((expert, slot) => {
            const rank = Math.floor(slot / map!.slotsPerRank);
            const tokens = tokensPerStep * layer[expert] / total / copies.get(expert)!;
            loads[rank] += tokens;
            hub.ranks[rank].counts[index][expert] += tokens;
        });
        const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
        hub.skews.push(mean === 0 ? 1 : Math.max(...loads) / mean);
    });
}
