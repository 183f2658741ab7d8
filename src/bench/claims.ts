/**
 * Appends and added latency of claims against a log that takes 300 appends a second: `npm run bench -- claims`.
 * Drives the slots' claim decisions with one queue for the log. Left out: entries, upstreams, lost answers and the
 * log's own batching; slots are chosen uniformly. Bytes are those of the JSON records that reads return.
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

const appendMs = 1000 / 300;
const networkMs = 1;
const warmUpMs = 5000;
const durationMs = 10_000;
const claimTimeoutMs = 1000;
const startTime = 1_760_000_000_000;

const { partitions } = defaultClaimOptions;
const appendModes = [
    {
        name: "own append per key",
        relayed: false,
        options: { ...defaultClaimOptions, maxBatchKeys: 1, batchDelayMs: 0 },
    },
    { name: "own append per flush", relayed: false, options: defaultClaimOptions },
    { name: "own, 64 partitions", relayed: false, options: { ...defaultClaimOptions, partitions: 64 } },
    { name: `relayed, ${partitions} partitions`, relayed: true, options: defaultClaimOptions },
];
const clusterSizes = [
    { slots: 19, dataCentres: 3, rates: [50, 200, 500] },
    { slots: 860, dataCentres: 4, rates: [100, 330] },
];

interface Scenario {
    slots: number;
    keysPerSecond: number;
    /** Data centres within which claims go through one slot a partition; 0 when every slot appends its own. */
    dataCentres: number;
    options: ClaimOptions;
}

/** Prints a table for people and returns the figures. */
export async function runBench({ seed }: BenchOptions): Promise<object> {
    const rows: Row[] = [];
    for (const { slots, dataCentres, rates } of clusterSizes) {
        for (const keysPerSecond of rates) {
            for (const way of appendModes) {
                const plan = { slots, keysPerSecond, options: way.options, dataCentres: way.relayed ? dataCentres : 0 };
                rows.push({ way: way.name, ...new ClaimBench(plan, createRandom(seed)).run() });
            }
        }
    }
    printTable("Claims against a log of 300 appends a second", rows);
    return { claims: rows };
}

class ClaimBench {
    private readonly queue = new EventQueue();
    private readonly slots: { claims: ClaimState; settleCallbacks: Map<Claim, () => void>; readBytes: number; }[];
    private readonly streams = new Map<string, { record: LogRecord; bytes: number; }[]>();
    private readonly appenders = new Map<string, number>();
    private readonly latency = buildHistogram();
    private logFreeAt = startTime;
    private appends = 0;
    private claimed = 0;
    private settledInTime = 0;

    constructor(private readonly scenario: Scenario, private readonly random: Random) {
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
            within1s: this.settledInTime / Math.max(1, this.claimed),
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
        const time = Math.floor(this.queue.now).toString(16).padStart(12, "0");
        const rest = Math.floor(this.random.next() * 2 ** 31).toString(16).padStart(12, "0");
        const text = `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
        const parsed = safeParseIdempotencyKey("w", text, this.queue.now, this.scenario.options);
        if (!parsed.success) {
            throw new Error(parsed.reason);
        }
        const claimantIndex = this.random.pickIndex(this.slots.length);
        const claim = { claimant: this.slots[claimantIndex].claims.incarnation, key: parsed.key, release: false };
        const relayed = this.scenario.dataCentres > 0;
        const slot = this.slots[relayed ? this.chooseAppender(parsed.key.stream, claimantIndex) : claimantIndex];
        const hopMs = relayed ? networkMs : 0;
        const begunAt = this.queue.now;
        const measured = this.isMeasuring && begunAt < startTime + warmUpMs + durationMs - claimTimeoutMs;
        this.claimed += measured ? 1 : 0;
        slot.settleCallbacks.set(claim, () => {
            const ms = this.queue.now + hopMs - begunAt;
            if (measured) {
                this.latency.recordValue(Math.round(ms * 1000));
                this.settledInTime += ms <= claimTimeoutMs ? 1 : 0;
            }
        });
        this.queue.schedule(
            hopMs,
            () => this.executeActions(slot, handleClaimEvent(slot.claims, { kind: "claim", claim })),
        );
    }

    /** Chooses among the slots of the claimant's data centre, as the slots do. */
    private chooseAppender(stream: string, claimant: number): number {
        const { dataCentres } = this.scenario;
        const name = `${claimant % dataCentres}/${stream}`;
        const known = this.appenders.get(name);
        if (known !== undefined) {
            return known;
        }
        const near = this.slots
            .map((slot, index) => ({ instance: `slot-${index}`, url: String(index) }))
            .filter((slot, index) => index % dataCentres === claimant % dataCentres);
        const chosen = Number(chooseAppenderSlot(stream, near, new Set())!.url);
        this.appenders.set(name, chosen);
        return chosen;
    }

    private executeActions(slot: (typeof this.slots)[number], actions: ClaimAction[]): void {
        actions.forEach(action => this.executeAction(slot, action));
    }

    private executeAction(slot: (typeof this.slots)[number], action: ClaimAction): void {
        const advance = (delayMs: number, event: () => Parameters<typeof handleClaimEvent>[1]) =>
            this.queue.schedule(delayMs, () => this.executeActions(slot, handleClaimEvent(slot.claims, event())));
        if (action.kind === "schedule") {
            advance(action.delayMs, () => ({ kind: "flush", stream: action.stream }));
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
            advance(this.logFreeAt + networkMs - this.queue.now, () => ({ kind: "appended", stream: action.stream }));
        }
        else if (action.kind === "read") {
            advance(2 * networkMs, () => {
                const stored = (this.streams.get(action.stream) ?? []).slice(action.from);
                slot.readBytes += this.isMeasuring ? stored.reduce((sum, { bytes }) => sum + bytes, 0) : 0;
                const records = stored.map(({ record }) => record);
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
