/**
 * Drives the choice of upstreams over faked time: entries choose, engines share their processing rate among the
 * requests that they run. Left out: data centres, failures, queues at slots, the network's delay, prefix caches,
 * and ranks within an upstream.
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

export interface Arrival {
    /** Time in milliseconds. */
    at: number;
    entry: number;
    promptTokens: number;
    /** Prefix that the prompt begins with. */
    prefix: number;
    decodeTokens: number;
    /** What entries believe the request costs, in tokens. */
    estimate: number;
}

export interface Size {
    entries: number;
    upstreams: number;
    /** Time that is driven. */
    seconds: number;
}

export interface RoutingFigures {
    /** 99th percentile of the token load of upstreams over their mean. */
    p99OverMean: number;
    firstTokenP95Ms: number;
    firstTokenP99Ms: number;
    /** Share of requests whose prefix was cached. */
    hitShare: number;
    /** Mean over time of the slowest upstream's step time over the mean. */
    stepSkew: number;
}

/** Chooses the index of an upstream and hears when requests end. */
export interface Chooser {
    choose: (arrival: Arrival, now: number) => number;
    finish: (arrival: Arrival, upstream: number, now: number) => void;
    /** Takes in the tokens in flight by upstream as they were at `takenAt`. */
    report: (tokens: Float64Array, takenAt: number) => void;
}

interface Running {
    arrival: Arrival;
    prefillLeft: number;
    /** Value of the engine's `decoded` at which the request ends. */
    endsAt: number;
}

interface Engine {
    prefilling: Running[];
    decoding: Running[];
    /** Tokens decoded for each request since the start. */
    decoded: number;
    /** Least `endsAt` of the decoding requests. */
    nextEnd: number;
    /** Cached prefixes, least recently used first. */
    cache: Set<number>;
    trueTokens: number;
    estimatedTokens: number;
}

export const requestsPerUpstream = 3.84; // 1/s
const meanPrompt = 800;
const meanDecode = 212;
const sizeSigma = 1.1;
const estimateSigma = 0.5;
const maxTokens = 16_384;
const tickMs = 50;
const stepBaseMs = 20;
const stepPerRequestMs = 0.4;
const prefillTokensPerMs = 20;
const maxPrefillShare = 0.6;
const sampleMs = 250;
const prefixes = 2000;
const prefixShare = 0.5;
const cachedPrefixes = 32;
const reportIntervalMs = 1000;

/** Creates the arrivals of a run. */
export function createArrivals(size: Size, durationMs: number, seed: number): Arrival[] {
    const random = createRandom(seed);
    const prefixRandom = createRandom(seed + 1);
    const meanGapMs = 1000 / (requestsPerUpstream * size.upstreams);
    const arrivals: Arrival[] = [];
    for (let at = random.sampleExponential(meanGapMs); at < durationMs; at += random.sampleExponential(meanGapMs)) {
        const promptTokens = sampleSize(random, meanPrompt, sizeSigma);
        const expectedDecode = sampleSize(random, meanDecode, sizeSigma);
        const decodeTokens = Math.min(maxTokens, Math.max(1, expectedDecode * sampleFactor(random, estimateSigma)));
        const entry = random.pickIndex(size.entries);
        arrivals.push({
            at,
            entry,
            promptTokens,
            prefix: samplePrefix(prefixRandom),
            decodeTokens,
            estimate: promptTokens + expectedDecode,
        });
    }
    return arrivals;
}

/** Runs the arrivals through a chooser; figures leave out the first `warmupMs`. */
export function driveRouting(
    size: Size,
    arrivals: Arrival[],
    chooser: Chooser,
    lagMs: number,
    warmupMs: number,
    caches = false,
): RoutingFigures {
    const engines = Array.from({ length: size.upstreams }, createEngine);
    const reports: { tokens: Float64Array; takenAt: number; }[] = [];
    const ratios: number[] = [];
    const firstTokens: number[] = [];
    const skews: number[] = [];
    let hits = 0;
    const intervalMs = Math.min(lagMs, reportIntervalMs);
    const endsAt = arrivals.at(-1)!.at;
    let next = 0;
    for (let now = 0; now < endsAt; now += tickMs) {
        while (reports.length > 0 && reports[0].takenAt + lagMs <= now) {
            const report = reports.shift()!;
            chooser.report(report.tokens, report.takenAt);
        }
        for (; next < arrivals.length && arrivals[next].at < now + tickMs; next++) {
            hits += startRequest(engines[chooser.choose(arrivals[next], now)], arrivals[next], caches) ? 1 : 0;
        }
        engines.forEach((engine, index) =>
            advanceEngine(engine, now + tickMs, {
                onFirstToken: a => a.at >= warmupMs && firstTokens.push(now + tickMs - a.at),
                onEnd: a => chooser.finish(a, index, now + tickMs),
            })
        );
        if (now % intervalMs < tickMs) {
            reports.push({ tokens: Float64Array.from(engines, e => e.estimatedTokens), takenAt: now + tickMs });
        }
        if (now >= warmupMs && now % sampleMs < tickMs) {
            sampleEngines(engines, ratios, skews);
        }
    }
    return {
        p99OverMean: pickQuantile(ratios, 0.99),
        firstTokenP95Ms: pickQuantile(firstTokens, 0.95),
        firstTokenP99Ms: pickQuantile(firstTokens, 0.99),
        hitShare: hits / next,
        stepSkew: skews.reduce((a, b) => a + b, 0) / skews.length,
    };
}

/** Creates the chooser that the entries run; `subsets` holds indexes of upstreams by entry. */
export function createTableChooser(
    subsets: number[][],
    policy: ChoicePolicy,
    serviceMs: number,
    seed: number,
    affinity = false,
): Chooser {
    const random = createRandom(seed);
    const tables = subsets.map(subset => createTable(subset, serviceMs));
    return {
        choose: (arrival, now) => {
            const table = tables[arrival.entry];
            const choice = {
                pool: "engines",
                dataCentre: "dc",
                spill: "never" as const,
                tokens: arrival.estimate,
                excluded: new Set<string>(),
                prefix: affinity ? arrival.prefix : undefined,
            };
            const { instance } = chooseUpstream(table, choice, now, random.next, policy)!;
            recordSentTokens(table, instance, arrival.estimate, now);
            return Number(instance);
        },
        finish: (arrival, upstream, now) =>
            recordFinishedTokens(tables[arrival.entry], String(upstream), arrival.estimate, now),
        report: (tokens, takenAt) =>
            tables.forEach((table, entry) =>
                subsets[entry].forEach(upstream =>
                    updateReport(table, String(upstream), createReport(tokens[upstream], serviceMs), takenAt)
                )
            ),
    };
}

/** Picks a quantile of unsorted values; 0 of none. */
export function pickQuantile(values: number[], share: number): number {
    const sorted = Float64Array.from(values).sort();
    return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0;
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
        decoded: 0,
        nextEnd: Infinity,
        cache: new Set(),
        trueTokens: 0,
        estimatedTokens: 0,
    };
}

/** Starts a request and tells whether its prefix was cached. */
function startRequest(engine: Engine, arrival: Arrival, caches: boolean): boolean {
    const hit = caches && engine.cache.delete(arrival.prefix);
    engine.cache.add(arrival.prefix);
    if (engine.cache.size > cachedPrefixes) {
        engine.cache.delete(engine.cache.values().next().value!);
    }
    const prefillLeft = arrival.promptTokens * (hit ? 1 - prefixShare : 1);
    engine.prefilling.push({ arrival, prefillLeft, endsAt: 0 });
    engine.trueTokens += arrival.promptTokens + arrival.decodeTokens;
    engine.estimatedTokens += arrival.estimate;
    return hit;
}

/** Samples a prefix; the n-th is used 1/n times as often as the first. */
function samplePrefix(random: Random): number {
    return Math.floor(prefixes ** random.next());
}

function computeStepMs(engine: Engine): number {
    return stepBaseMs + stepPerRequestMs * engine.decoding.length;
}

function advanceEngine(
    engine: Engine,
    now: number,
    events: { onFirstToken: (arrival: Arrival) => void; onEnd: (arrival: Arrival) => void; },
): void {
    const budget = tickMs * maxPrefillShare * prefillTokensPerMs;
    let left = budget;
    while (left > 0 && engine.prefilling.length > 0) {
        const head = engine.prefilling[0];
        const done = Math.min(left, head.prefillLeft);
        head.prefillLeft -= done;
        left -= done;
        if (head.prefillLeft <= 0) {
            engine.prefilling.shift();
            head.endsAt = engine.decoded + head.arrival.decodeTokens;
            engine.nextEnd = Math.min(engine.nextEnd, head.endsAt);
            engine.decoding.push(head);
            events.onFirstToken(head.arrival);
        }
    }
    engine.decoded += (tickMs - (budget - left) / prefillTokensPerMs) / computeStepMs(engine);
    if (engine.decoded >= engine.nextEnd) {
        endRequests(engine, events.onEnd);
    }
}

function endRequests(engine: Engine, onEnd: (arrival: Arrival) => void): void {
    const ended = engine.decoding.filter(running => running.endsAt <= engine.decoded);
    engine.decoding = engine.decoding.filter(running => running.endsAt > engine.decoded);
    engine.nextEnd = engine.decoding.reduce((least, running) => Math.min(least, running.endsAt), Infinity);
    for (const { arrival } of ended) {
        engine.trueTokens -= arrival.promptTokens + arrival.decodeTokens;
        engine.estimatedTokens -= arrival.estimate;
        onEnd(arrival);
    }
}

function sampleEngines(engines: Engine[], ratios: number[], skews: number[]): void {
    const mean = engines.reduce((sum, e) => sum + e.trueTokens, 0) / engines.length;
    engines.forEach(e => ratios.push(e.trueTokens / mean));
    const steps = engines.map(computeStepMs);
    skews.push(Math.max(...steps) / (steps.reduce((a, b) => a + b, 0) / steps.length));
}

function sampleSize(random: Random, mean: number, sigma: number): number {
    return Math.min(maxTokens, Math.max(1, mean * sampleFactor(random, sigma)));
}

/** Samples a log-normal factor with mean 1. */
function sampleFactor(random: Random, sigma: number): number {
    const normal = Math.sqrt(-2 * Math.log(1 - random.next())) * Math.cos(2 * Math.PI * random.next());
    return Math.exp(sigma * normal - sigma * sigma / 2);
}
