/**
 * Simulates the choice of upstreams: entries (ingress proxies) choose, and engines share their processing rate among
 * the requests that they run. Not simulated: data centres, failures, queues at slots (the upstreams' sidecars), network
 * delay and ranks within an upstream. Prefix caches are simulated only on request.
 */
import { createRandom, type Random } from "../core/random.js";
import { type ChoicePolicy, chooseUpstream } from "../routing/choose.js";
import {
    createUpstreamTable,
    recordFinishedTokens,
    recordSentTokens,
    updateInstances,
    updateReport,
    type UpstreamTable,
} from "../routing/upstreamTable.js";

/** A request that arrives at an entry. */
export interface Arrival {
    /** Time in milliseconds. */
    arrivedAt: number;
    entry: number;
    promptTokens: number;
    /** Number of the prefix that the prompt begins with. */
    prefix: number;
    decodeTokens: number;
    /** Work that the entry expects, in tokens; the actual work differs. */
    estimatedTokens: number;
}

/** Size of a simulated cluster, and length of the simulation. */
export interface ClusterSize {
    entries: number;
    upstreams: number;
    durationSeconds: number;
}

export interface RoutingFigures {
    /** 99th percentile of the tokens in flight at an upstream, as a multiple of the mean of all upstreams. */
    p99OverMean: number;
    firstTokenP95Ms: number;
    firstTokenP99Ms: number;
    /** Share of requests whose prefix was in the engine's cache. */
    hitShare: number;
    /** Mean over time of the longest step time of an upstream, as a multiple of the mean step time. */
    stepSkew: number;
}

/** Load-balancing algorithm under test; upstreams are known by index, times are in milliseconds. */
export interface Balancer {
    choose: (arrival: Arrival, now: number) => number;
    recordFinished: (arrival: Arrival, upstream: number, now: number) => void;
    /** Updates the tokens in flight by upstream, which were measured at `takenAt`. */
    updateReports: (tokens: Float64Array, takenAt: number) => void;
}

interface RunningRequest {
    arrival: Arrival;
    remainingPrefillTokens: number;
    /** Value of the engine's `decodedPerRequest` at which the request ends. */
    endsAtDecoded: number;
}

interface Engine {
    prefilling: RunningRequest[];
    decoding: RunningRequest[];
    /** Tokens decoded per request since the start of the simulation. */
    decodedPerRequest: number;
    /** Minimum `endsAtDecoded` of the decoding requests. */
    nextEndsAtDecoded: number;
    /** Cached prefixes, least recently used first. */
    cachedPrefixes: Set<number>;
    /** Prompt and output tokens of the requests that the engine holds. */
    actualTokens: number;
    /** Estimated tokens of the same requests; the load reports contain this figure. */
    estimatedTokens: number;
}

/** Mean rate of requests divided by the number of upstreams. */
export const requestsPerSecondPerUpstream = 3.84;
const meanPromptTokens = 800;
const meanDecodeTokens = 212;
/** Standard deviation of the logarithm of token counts. */
const tokensSigma = 1.1;
/** Standard deviation of the logarithm of the actual output tokens over the estimated ones. */
const estimateSigma = 0.5;
const maxTokens = 16_384;
const tickMs = 50;
/** Duration of a decoding step without any request. */
const stepBaseMs = 20;
/** Time by which each decoding request lengthens a step. */
const stepPerRequestMs = 0.4;
/** Rate of prefill when an engine does nothing else. */
const prefillTokensPerMs = 20;
/** Maximum share of an engine's time that is spent on prefill. */
const maxPrefillShare = 0.6;
const sampleIntervalMs = 250;
const prefixCount = 2000;
/** Share of a prompt that its prefix makes up, and whose prefill a cache hit saves. */
const prefixShareOfPrompt = 0.5;
/** Prefixes that an engine's cache holds. */
const maxCachedPrefixes = 32;
const reportIntervalMs = 1000;

/** Creates the arrivals of a simulation: a Poisson process with log-normal numbers of tokens. */
export function createArrivals(size: ClusterSize, durationMs: number, seed: number): Arrival[] {
    const random = createRandom(seed);
    const prefixRandom = createRandom(seed + 1);
    const meanGapMs = 1000 / (requestsPerSecondPerUpstream * size.upstreams);
    const arrivals: Arrival[] = [];
    for (let at = random.sampleExponential(meanGapMs); at < durationMs; at += random.sampleExponential(meanGapMs)) {
        const promptTokens = sampleTokens(random, meanPromptTokens, tokensSigma);
        const expectedDecode = sampleTokens(random, meanDecodeTokens, tokensSigma);
        const decodeTokens = Math.min(maxTokens, Math.max(1, expectedDecode * sampleLogNormal(random, estimateSigma)));
        const entry = random.pickIndex(size.entries);
        arrivals.push({
            arrivedAt: at,
            entry,
            promptTokens,
            prefix: samplePrefix(prefixRandom),
            decodeTokens,
            estimatedTokens: promptTokens + expectedDecode,
        });
    }
    return arrivals;
}

/**
 * Simulates the arrivals with a load-balancing algorithm that receives each load report `lagMs` after it was taken.
 * Except for the hit share, the figures leave out the first `warmUpMs`.
 */
export function simulateRouting(
    size: ClusterSize,
    arrivals: Arrival[],
    balancer: Balancer,
    lagMs: number,
    warmUpMs: number,
    cachesPrefixes = false,
): RoutingFigures {
    const engines = Array.from({ length: size.upstreams }, createEngine);
    const reports: { tokens: Float64Array; takenAt: number; }[] = [];
    const loadRatios: number[] = [];
    const firstTokenMs: number[] = [];
    const stepSkews: number[] = [];
    let hits = 0;
    const reportEveryMs = Math.min(lagMs, reportIntervalMs);
    const endsAt = arrivals.at(-1)!.arrivedAt;
    let next = 0;
    for (let now = 0; now < endsAt; now += tickMs) {
        while (reports.length > 0 && reports[0].takenAt + lagMs <= now) {
            const report = reports.shift()!;
            balancer.updateReports(report.tokens, report.takenAt);
        }
        for (; next < arrivals.length && arrivals[next].arrivedAt < now + tickMs; next++) {
            hits += startRequest(engines[balancer.choose(arrivals[next], now)], arrivals[next], cachesPrefixes) ? 1 : 0;
        }
        engines.forEach((engine, index) =>
            advanceEngine(engine, now + tickMs, {
                onFirstToken: a => a.arrivedAt >= warmUpMs && firstTokenMs.push(now + tickMs - a.arrivedAt),
                onFinish: a => balancer.recordFinished(a, index, now + tickMs),
            })
        );
        if (now % reportEveryMs < tickMs) {
            reports.push({ tokens: Float64Array.from(engines, e => e.estimatedTokens), takenAt: now + tickMs });
        }
        if (now >= warmUpMs && now % sampleIntervalMs < tickMs) {
            sampleEngines(engines, loadRatios, stepSkews);
        }
    }
    return {
        p99OverMean: computeQuantile(loadRatios, 0.99),
        firstTokenP95Ms: computeQuantile(firstTokenMs, 0.95),
        firstTokenP99Ms: computeQuantile(firstTokenMs, 0.99),
        hitShare: hits / next,
        stepSkew: stepSkews.reduce((a, b) => a + b, 0) / stepSkews.length,
    };
}

/** Creates the algorithm that the entries use in production; `subsets` holds indexes of upstreams by entry. */
export function createTableBalancer(
    subsets: number[][],
    policy: ChoicePolicy,
    serviceMs: number,
    seed: number,
    affinity = false,
): Balancer {
    const random = createRandom(seed);
    const tables = subsets.map(subset => createTable(subset, serviceMs));
    return {
        choose: (arrival, now) => {
            const table = tables[arrival.entry];
            const choice = {
                pool: "engines",
                dataCentre: "dc",
                spill: "never" as const,
                tokens: arrival.estimatedTokens,
                excluded: new Set<string>(),
                prefix: affinity ? arrival.prefix : undefined,
            };
            const { instance } = chooseUpstream(table, choice, now, random.next, policy)!;
            recordSentTokens(table, instance, arrival.estimatedTokens, now);
            return Number(instance);
        },
        recordFinished: (arrival, upstream, now) =>
            recordFinishedTokens(tables[arrival.entry], String(upstream), arrival.estimatedTokens, now),
        updateReports: (tokens, takenAt) =>
            tables.forEach((table, entry) =>
                subsets[entry].forEach(upstream =>
                    updateReport(table, String(upstream), createReport(tokens[upstream], serviceMs), takenAt)
                )
            ),
    };
}

/** Picks a quantile of unsorted values; 0 if there are none. */
export function computeQuantile(values: number[], quantile: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * quantile))] ?? 0;
}

function createTable(subset: number[], serviceMs: number): UpstreamTable {
    const table = createUpstreamTable();
    updateInstances(
        table,
        subset.map(index => ({
            instance: String(index),
            role: "slot",
            dataCentre: "dc",
            url: "",
            state: "live",
            pool: "engines",
        })),
    );
    subset.forEach(index => updateReport(table, String(index), createReport(0, serviceMs), 0));
    return table;
}

function createReport(tokensInFlight: number, serviceMs: number) {
    return { incarnation: "", tokensInFlight, requestsInFlight: 0, queued: 0, state: "live" as const, serviceMs };
}

function createEngine(): Engine {
    return {
        prefilling: [],
        decoding: [],
        decodedPerRequest: 0,
        nextEndsAtDecoded: Infinity,
        cachedPrefixes: new Set(),
        actualTokens: 0,
        estimatedTokens: 0,
    };
}

/** Starts a request and returns whether its prefix was cached. */
function startRequest(engine: Engine, arrival: Arrival, cachesPrefixes: boolean): boolean {
    const isHit = cachesPrefixes && engine.cachedPrefixes.delete(arrival.prefix);
    engine.cachedPrefixes.add(arrival.prefix);
    if (engine.cachedPrefixes.size > maxCachedPrefixes) {
        engine.cachedPrefixes.delete(engine.cachedPrefixes.values().next().value!);
    }
    const remainingPrefillTokens = arrival.promptTokens * (isHit ? 1 - prefixShareOfPrompt : 1);
    engine.prefilling.push({ arrival, remainingPrefillTokens, endsAtDecoded: 0 });
    engine.actualTokens += arrival.promptTokens + arrival.decodeTokens;
    engine.estimatedTokens += arrival.estimatedTokens;
    return isHit;
}

/** Samples a prefix, roughly by Zipf's law: the n-th is used about 1/n times as often as the first. */
function samplePrefix(random: Random): number {
    return Math.floor(prefixCount ** random.next());
}

function computeStepMs(engine: Engine): number {
    return stepBaseMs + stepPerRequestMs * engine.decoding.length;
}

function advanceEngine(
    engine: Engine,
    now: number,
    events: { onFirstToken: (arrival: Arrival) => void; onFinish: (arrival: Arrival) => void; },
): void {
    const budget = tickMs * maxPrefillShare * prefillTokensPerMs;
    let remaining = budget;
    while (remaining > 0 && engine.prefilling.length > 0) {
        const head = engine.prefilling[0];
        const processed = Math.min(remaining, head.remainingPrefillTokens);
        head.remainingPrefillTokens -= processed;
        remaining -= processed;
        if (head.remainingPrefillTokens <= 0) {
            engine.prefilling.shift();
            head.endsAtDecoded = engine.decodedPerRequest + head.arrival.decodeTokens;
            engine.nextEndsAtDecoded = Math.min(engine.nextEndsAtDecoded, head.endsAtDecoded);
            engine.decoding.push(head);
            events.onFirstToken(head.arrival);
        }
    }
    engine.decodedPerRequest += (tickMs - (budget - remaining) / prefillTokensPerMs) / computeStepMs(engine);
    if (engine.decodedPerRequest >= engine.nextEndsAtDecoded) {
        finishRequests(engine, events.onFinish);
    }
}

function finishRequests(engine: Engine, onFinish: (arrival: Arrival) => void): void {
    const finished = engine.decoding.filter(running => running.endsAtDecoded <= engine.decodedPerRequest);
    engine.decoding = engine.decoding.filter(running => running.endsAtDecoded > engine.decodedPerRequest);
    engine.nextEndsAtDecoded = engine.decoding.reduce(
        (min, running) => Math.min(min, running.endsAtDecoded),
        Infinity,
    );
    for (const { arrival } of finished) {
        engine.actualTokens -= arrival.promptTokens + arrival.decodeTokens;
        engine.estimatedTokens -= arrival.estimatedTokens;
        onFinish(arrival);
    }
}

function sampleEngines(engines: Engine[], loadRatios: number[], stepSkews: number[]): void {
    const mean = engines.reduce((sum, e) => sum + e.actualTokens, 0) / engines.length;
    engines.forEach(e => loadRatios.push(e.actualTokens / mean));
    const steps = engines.map(computeStepMs);
    stepSkews.push(Math.max(...steps) / (steps.reduce((a, b) => a + b, 0) / steps.length));
}

function sampleTokens(random: Random, mean: number, sigma: number): number {
    return Math.min(maxTokens, Math.max(1, mean * sampleLogNormal(random, sigma)));
}

/** Samples a log-normal factor with mean 1. */
function sampleLogNormal(random: Random, sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return Math.exp(sigma * normal - sigma * sigma / 2);
}
