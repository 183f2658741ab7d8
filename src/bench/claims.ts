/**
 * Benchmark of idempotency key claims, which slots append to the log before they run a request: appends, read bytes
 * (of the JSON records returned) and added latency with a log that handles 300 appends per second:
 * `npm run bench -- claims`. Simulates the claim decisions of the slots, over which requests are spread uniformly, and
 * a single queue in front of the log. Not simulated: entries, upstreams, lost responses, and batching in the log.
 */
import { build as buildHistogram } from "hdr-histogram-js";
import { createRandom, type Random } from "../core/random.js";
import type { LogRecord } from "../log/types.js";
import { chooseAppenderSlot } from "../slot/claimRelay.js";
import {
    type Claim,
    type ClaimAction,
    type ClaimOptions,
    type ClaimState,
    createClaimState,
    defaultClaimOptions,
    handleClaimEvent,
    safeParseIdempotencyKey,
} from "../slot/claims.js";
import { EventQueue } from "./eventQueue.js";
import { printTable, type Row } from "./table.js";
import type { BenchOptions } from "./types.js";

/** Time that the log takes for an append, in milliseconds. */
const appendMs = 1000 / 300;
/** One-way network latency, in milliseconds. */
const networkMs = 1;
const warmUpMs = 5000;
const durationMs = 10_000;
const claimTimeoutMs = 1000;
/** Simulated start time, Unix time in milliseconds. */
const startTime = 1_760_000_000_000;

const { partitions } = defaultClaimOptions;
/** Compared ways to append claims: by each slot itself, or relayed to one appender slot per partition. */
const appendModes = [
    {
        name: "own append per key",
        isRelayed: false,
        options: { ...defaultClaimOptions, maxBatchKeys: 1, batchDelayMs: 0 },
    },
    { name: "own append per flush", isRelayed: false, options: defaultClaimOptions },
    { name: "own, 64 partitions", isRelayed: false, options: { ...defaultClaimOptions, partitions: 64 } },
    { name: `relayed, ${partitions} partitions`, isRelayed: true, options: defaultClaimOptions },
];
const clusterSizes = [
    { slots: 19, dataCentres: 3, rates: [50, 200, 500] },
    { slots: 860, dataCentres: 4, rates: [100, 330] },
];

interface ClaimScenario {
    slots: number;
    keysPerSecond: number;
    /** Number of data centres, each with one appender slot per partition; 0 if every slot appends its own claims. */
    dataCentres: number;
    options: ClaimOptions;
}

/** Runs all scenarios, prints a table and returns its rows. */
export async function runBench({ seed }: BenchOptions): Promise<object> {
    const rows: Row[] = [];
    for (const { slots, dataCentres, rates } of clusterSizes) {
        for (const keysPerSecond of rates) {
            for (const mode of appendModes) {
                const scenario = {
                    slots,
                    keysPerSecond,
                    options: mode.options,
                    dataCentres: mode.isRelayed ? dataCentres : 0,
                };
                rows.push({ way: mode.name, ...new ClaimLoadSimulation(scenario, createRandom(seed)).run() });
            }
        }
    }
    printTable("Claims against a log of 300 appends a second", rows);
    return { claims: rows };
}

class ClaimLoadSimulation {
    private readonly queue = new EventQueue();
    private readonly slots: { claims: ClaimState; settleCallbacks: Map<Claim, () => void>; readBytes: number; }[];
    /** Records by stream, with the size of their JSON. */
    private readonly streams = new Map<string, { record: LogRecord; bytes: number; }[]>();
    /** Index of the appender slot, by data centre and stream. */
    private readonly appenders = new Map<string, number>();
    private readonly latency = buildHistogram();
    /** Time at which the log has finished all appends sent so far. */
    private logFreeAt = startTime;
    /** Number of appends after the warm-up. */
    private appends = 0;
    /** Number of claims whose latency is measured. */
    private measuredClaims = 0;
    /** Number of measured claims settled within `claimTimeoutMs`. */
    private settledInTime = 0;

    constructor(private readonly scenario: ClaimScenario, private readonly random: Random) {
        this.queue.now = startTime;
        this.slots = Array.from({ length: scenario.slots }, (slot, index) => ({
            claims: createClaimState(`11111111-2222-4333-8444-${String(index).padStart(12, "0")}`, scenario.options),
            settleCallbacks: new Map(),
            readBytes: 0,
        }));
    }

    run(): Row {
        this.scheduleNextClaim();
        this.queue.run(startTime + warmUpMs + durationMs);
        const { slots, keysPerSecond } = this.scenario;
        const seconds = durationMs / 1000;
        return {
            slots,
            keysPerSecond,
            appendsPerSecond: this.appends / seconds,
            within1s: this.settledInTime / Math.max(1, this.measuredClaims),
            p50Ms: this.latency.getValueAtPercentile(50) / 1000,
            p99Ms: this.latency.getValueAtPercentile(99) / 1000,
            meanReadBytesPerSecond: this.sumReadBytes() / seconds / slots,
            maxReadBytesPerSecond: Math.max(...this.slots.map(slot => slot.readBytes)) / seconds,
        };
    }

    private sumReadBytes(): number {
        return this.slots.reduce((sum, slot) => sum + slot.readBytes, 0);
    }

    private get isMeasuring(): boolean {
        return this.queue.now >= startTime + warmUpMs;
    }

    private scheduleNextClaim(): void {
        this.queue.schedule(this.random.sampleExponential(1000 / this.scenario.keysPerSecond), () => {
            this.claimKey();
            this.scheduleNextClaim();
        });
    }

    private claimKey(): void {
        const timestamp = Math.floor(this.queue.now).toString(16).padStart(12, "0");
        const randomPart = Math.floor(this.random.next() * 2 ** 31).toString(16).padStart(12, "0");
        const text = `${timestamp.slice(0, 8)}-${timestamp.slice(8)}-7000-8000-${randomPart}`;
        const parsed = safeParseIdempotencyKey("w", text, this.queue.now, this.scenario.options);
        if (!parsed.success) {
            throw new Error(parsed.reason);
        }
        const claimantIndex = this.random.pickIndex(this.slots.length);
        const claim = { claimant: this.slots[claimantIndex].claims.incarnation, key: parsed.key, release: false };
        const isRelayed = this.scenario.dataCentres > 0;
        const slot = this.slots[isRelayed ? this.chooseAppender(parsed.key.stream, claimantIndex) : claimantIndex];
        const relayMs = isRelayed ? networkMs : 0;
        const startedAt = this.queue.now;
        const isMeasured = this.isMeasuring && startedAt < startTime + warmUpMs + durationMs - claimTimeoutMs;
        this.measuredClaims += isMeasured ? 1 : 0;
        slot.settleCallbacks.set(claim, () => {
            const latencyMs = this.queue.now + relayMs - startedAt;
            if (isMeasured) {
                this.latency.recordValue(Math.round(latencyMs * 1000));
                this.settledInTime += latencyMs <= claimTimeoutMs ? 1 : 0;
            }
        });
        this.queue.schedule(
            relayMs,
            () => this.executeActions(slot, handleClaimEvent(slot.claims, { kind: "claim", claim })),
        );
    }

    /** Chooses the appender slot of a stream in the claimant's data centre, with the production function. */
    private chooseAppender(stream: string, claimant: number): number {
        const { dataCentres } = this.scenario;
        const cacheKey = `${claimant % dataCentres}/${stream}`;
        const cached = this.appenders.get(cacheKey);
        if (cached !== undefined) {
            return cached;
        }
        const candidates = this.slots
            .map((slot, index) => ({ instance: `slot-${index}`, url: String(index) }))
            .filter((slot, index) => index % dataCentres === claimant % dataCentres);
        const chosen = Number(chooseAppenderSlot(stream, candidates, new Set())!.url);
        this.appenders.set(cacheKey, chosen);
        return chosen;
    }

    private executeActions(slot: (typeof this.slots)[number], actions: ClaimAction[]): void {
        actions.forEach(action => this.executeAction(slot, action));
    }

    private executeAction(slot: (typeof this.slots)[number], action: ClaimAction): void {
        const scheduleEvent = (delayMs: number, event: () => Parameters<typeof handleClaimEvent>[1]) =>
            this.queue.schedule(delayMs, () => this.executeActions(slot, handleClaimEvent(slot.claims, event())));
        if (action.kind === "schedule") {
            scheduleEvent(action.delayMs, () => ({ kind: "flush", stream: action.stream }));
        }
        else if (action.kind === "append") {
            this.logFreeAt = Math.max(this.logFreeAt, this.queue.now + networkMs) + appendMs;
            this.appends += this.isMeasuring ? 1 : 0;
            this.queue.schedule(this.logFreeAt - this.queue.now, () => {
                const records = this.streams.get(action.stream) ?? [];
                this.streams.set(action.stream, records);
                const record = { ...action.record, offset: records.length, time: Math.floor(this.queue.now) };
                records.push({ record, bytes: JSON.stringify(record).length });
            });
            scheduleEvent(
                this.logFreeAt + networkMs - this.queue.now,
                () => ({ kind: "appended", stream: action.stream }),
            );
        }
        else if (action.kind === "read") {
            scheduleEvent(2 * networkMs, () => {
                const storedRecords = (this.streams.get(action.stream) ?? []).slice(action.from);
                slot.readBytes += this.isMeasuring ? storedRecords.reduce((sum, { bytes }) => sum + bytes, 0) : 0;
                const records = storedRecords.map(({ record }) => record);
                const result = { records, next: action.from + records.length, oldest: 0 };
                return { kind: "read", stream: action.stream, result };
            });
        }
        else if (action.kind === "settle") {
            slot.settleCallbacks.get(action.claim)?.();
            slot.settleCallbacks.delete(action.claim);
        }
    }
}
