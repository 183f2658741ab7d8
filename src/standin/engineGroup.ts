/** Fake engines of an expert-parallel group that run in lockstep and record the map version of each step. */
import { createRandom, type Random } from "../core/random.js";
import { applyOrder, copyEngineState, createEngineState, enterStep, getNextVersion } from "../group/engineRules.js";
import type { EngineOrder, EngineState, ExpertMap } from "../group/types.js";
import { type FakeEngineOptions, type FakeUpstream, startFakeEngine } from "./engine.js";
import { type RequestHandler, sendJson } from "./http.js";

/** Compute time of a token in the reported `busyMs`, in milliseconds. */
const msPerToken = 0.01;

export interface FakeEngineGroupOptions {
    ranks: number;
    layers: number;
    experts: number;
    /** Interval between two steps, in milliseconds. */
    stepMs: number;
    /** Whether the engines refuse orders with a stale fencing token. */
    fenced: boolean;
    seed: number;
    engine: FakeEngineOptions;
}

interface RankEngine {
    state: EngineState;
    /** Loaded maps by version. */
    maps: Map<string, ExpertMap>;
    /** Tokens that the rank's experts processed since the last report, by layer, then expert. */
    counts: number[][];
    reportedStep: number;
}

export interface FakeEngineGroup {
    upstreams: FakeUpstream[];
    getStates: () => EngineState[];
    /** Counts steps that a rank ran on another map version than the rank before it, or on one it had not loaded. */
    countMixedSteps: () => number;
    countSteps: () => number;
    /** Lists the map versions that steps ran on, in order. */
    listMapVersions: () => string[];
    /** Returns the ratio of the largest to the mean rank load, averaged since the last call. */
    takeMeanSkew: () => number;
    /** Returns the longest time between two steps since the last call, in milliseconds. */
    takeLongestGapMs: () => number;
    close: () => void;
}

interface EngineGroupState {
    options: FakeEngineGroupOptions;
    ranks: RankEngine[];
    random: Random;
    /** Relative share of the tokens, by layer, then expert. */
    expertPopularity: number[][];
    /** Map version by `GENERATION/STEP`. */
    versionByStep: Map<string, string>;
    /** Map versions in the order of their use. */
    versions: string[];
    mixedSteps: number;
    skews: number[];
    lastStepAt: number;
    longestGapMs: number;
}

/** Starts one engine per rank on free ports of the loopback interface. */
export async function startFakeEngineGroup(options: FakeEngineGroupOptions): Promise<FakeEngineGroup> {
    const random = createRandom(options.seed);
    const createExpertTable = (fill: () => number) =>
        Array.from({ length: options.layers }, () => Array.from({ length: options.experts }, fill));
    const group: EngineGroupState = {
        options,
        ranks: Array.from({ length: options.ranks }, () => ({
            state: { ...createEngineState(), stepMs: options.stepMs },
            maps: new Map(),
            counts: createExpertTable(() => 0),
            reportedStep: 0,
        })),
        random,
        expertPopularity: createExpertTable(() => Math.exp(random.next() * 3)),
        versionByStep: new Map(),
        versions: [],
        mixedSteps: 0,
        skews: [],
        lastStepAt: 0,
        longestGapMs: 0,
    };
    const upstreams = await Promise.all(
        group.ranks.map(rank => startFakeEngine(0, options.engine, createHandlers(group, rank))),
    );
    const timer = setInterval(() => advanceGroup(group), options.stepMs);
    return {
        upstreams,
        getStates: () => group.ranks.map(rank => copyEngineState(rank.state)),
        countMixedSteps: () => group.mixedSteps,
        countSteps: () => group.versionByStep.size,
        listMapVersions: () => [...group.versions],
        takeMeanSkew: () => {
            const skews = group.skews.splice(0);
            return skews.length === 0 ? 1 : skews.reduce((sum, skew) => sum + skew, 0) / skews.length;
        },
        takeLongestGapMs: () => {
            const gap = group.longestGapMs;
            group.longestGapMs = 0;
            return gap;
        },
        close: () => {
            clearInterval(timer);
            upstreams.forEach(upstream => upstream.close());
        },
    };
}

function createHandlers(group: EngineGroupState, rank: RankEngine): Record<string, RequestHandler> {
    return {
        "POST /orders": (request, body, response) => {
            const order = JSON.parse(body) as EngineOrder;
            applyOrder(rank.state, order, { fenced: group.options.fenced, matchesHolds: true });
            if (order.kind === "load") {
                rank.maps.set(order.version, order.map);
            }
            sendJson(response, 200, rank.state);
        },
        "GET /map": (request, body, response) => {
            sendJson(response, 200, { map: rank.maps.get(rank.state.version ?? "") });
        },
        "GET /counts": (request, body, response) => {
            const counts = rank.counts.map(layer => layer.map(Math.round));
            rank.counts.forEach(layer => layer.fill(0));
            const tokens = counts.flat().reduce((sum, count) => sum + count, 0);
            const steps = Math.max(1, rank.state.step - rank.reportedStep);
            rank.reportedStep = rank.state.step;
            sendJson(response, 200, { counts, busyMs: tokens / steps * msPerToken, step: rank.state.step });
        },
    };
}

/** Lets each rank enter its next step once all ranks have reached its current one. */
function advanceGroup(group: EngineGroupState): void {
    const generation = Math.max(...group.ranks.map(rank => rank.state.generation));
    const stepsBefore = group.versionByStep.size;
    for (let rank = 0; rank < group.ranks.length; rank++) {
        const { state } = group.ranks[rank];
        const version = getNextVersion(state);
        const mayEnter = group.ranks.every(r => r.state.generation === state.generation && r.state.step >= state.step);
        if (state.generation === generation && version !== undefined && mayEnter) {
            recordStep(group, group.ranks[rank], version);
        }
    }
    if (group.versionByStep.size > stepsBefore) {
        const now = performance.now();
        group.longestGapMs = group.lastStepAt === 0 ? 0 : Math.max(group.longestGapMs, now - group.lastStepAt);
        group.lastStepAt = now;
        routeTokens(group);
    }
}

function recordStep(group: EngineGroupState, rank: RankEngine, version: string): void {
    const key = `${rank.state.generation}/${rank.state.step}`;
    const recordedVersion = group.versionByStep.get(key);
    const isLoaded = rank.state.loaded.includes(version);
    group.mixedSteps += (recordedVersion === undefined || recordedVersion === version) && isLoaded ? 0 : 1;
    group.versionByStep.set(key, version);
    if (group.versions[group.versions.length - 1] !== version) {
        group.versions.push(version);
    }
    enterStep(rank.state);
}

/** Routes the tokens of a step to experts by their drifting popularity and records the skew of rank loads. */
function routeTokens(group: EngineGroupState): void {
    const tokensPerStep = 1000;
    group.expertPopularity.forEach((layer, index) => {
        layer.forEach((weight, expert) => layer[expert] = weight * Math.exp((group.random.next() - 0.5) * 0.04));
        const total = layer.reduce((sum, weight) => sum + weight, 0);
        const loads = group.ranks.map(() => 0);
        const map = group.ranks[0].maps.get(group.ranks[0].state.version ?? "");
        const placedExperts = map?.layers[index] ?? [];
        const replicaCounts = placedExperts.reduce(
            (counts, expert) => counts.set(expert, (counts.get(expert) ?? 0) + 1),
            new Map(),
        );
        placedExperts.forEach((expert, slot) => {
            const rank = Math.floor(slot / map!.slotsPerRank);
            const tokens = tokensPerStep * layer[expert] / total / replicaCounts.get(expert)!;
            loads[rank] += tokens;
            group.ranks[rank].counts[index][expert] += tokens;
        });
        const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
        group.skews.push(mean === 0 ? 1 : Math.max(...loads) / mean);
    });
}
