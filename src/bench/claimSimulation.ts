/**
 * Drives the decisions about keyed requests through one seeded schedule of faults of the log and the slots.
 * Left out: entries, admission and the upstream's answers; a run takes effect at once or not at all.
 */
import { createRandom, type Random } from "../core/random.js";
import { RunOutcome } from "../core/types.js";
import type { LogRecord, ReadResult } from "../log/types.js";
import {
    type Claim,
    type ClaimAction,
    type ClaimKey,
    type ClaimState,
    type ClaimVerdict,
    createClaimState,
    type handleClaimEvent,
} from "../slot/claims.js";
import { createKeyedRuns, type KeyedRuns, type registerKey, removeKey } from "../slot/keyedRuns.js";
import { beginRun, createRunStore } from "../slot/runStore.js";
import type { RunParams } from "../wire/messages.js";
import { EventQueue } from "./eventQueue.js";

/** The decisions under test; tests replace single ones by wrong variants. */
export interface ClaimRules {
    handleClaimEvent: typeof handleClaimEvent;
    registerKey: typeof registerKey;
    formatIncarnation: (slot: number, start: number) => string;
    /** Whether a run that ended so gives its key up. */
    releasesKey: (outcome: RunOutcome) => boolean;
}

interface SimulatedSlot {
    index: number;
    startCount: number;
    claims: ClaimState;
    keyedRuns: KeyedRuns;
    /** Difference between the slot's clock and the log's, in milliseconds. */
    clockSkewMs: number;
    /** Calls of this process that wait for a verdict. */
    pendingCalls: Set<object>;
    /** Claims that this process settles, with the way of their answer. */
    settleCallbacks: Map<Claim, (verdict: ClaimVerdict) => void>;
}

interface SimulatedStream {
    records: LogRecord[];
    next: number;
}

const slotCount = 3;
const callTimeoutMs = 1000;
const requestCount = 12;
const retentionMs = 20 * 60_000;
const startTime = 1_760_000_000_000;
const workspaces = ["cascadia", "thistlebrook"];

export interface ClaimSimulationResult {
    violations: string[];
    /** Effects at upstreams by workspace and key. */
    effects: Map<string, number>;
    /** Workspaces and keys that were asked for. */
    requested: Set<string>;
}

/** Runs one schedule; without `faulty` nothing fails. */
export function simulateClaims(rules: ClaimRules, seed: number, faulty = true): ClaimSimulationResult {
    return new ClaimSimulation(rules, createRandom(seed), faulty).run();
}

class ClaimSimulation {
    private readonly queue = new EventQueue();
    private readonly slots: SimulatedSlot[];
    private readonly streams = new Map<string, SimulatedStream>();
    private readonly effects = new Map<string, number>();
    private readonly violations: string[] = [];
    private readonly requested = new Set<string>();
    private isLogDown = false;
    private pendingCallCount = 0;

    constructor(
        private readonly rules: ClaimRules,
        private readonly random: Random,
        private readonly hasFaults: boolean,
    ) {
        this.queue.now = startTime;
        this.slots = Array.from({ length: slotCount }, (slot, index) => ({
            ...this.createProcess(index, 1),
            index,
            startCount: 1,
            clockSkewMs: hasFaults ? (random.next() - 0.5) * 30_000 : 0,
        }));
    }

    run(): ClaimSimulationResult {
        const keys = Array.from({ length: 3 }, () => this.createKey());
        for (let index = 0; index < requestCount; index++) {
            const text = keys[this.random.pickIndex(keys.length)];
            const workspace = workspaces[this.random.pickIndex(workspaces.length)];
            const late = this.hasFaults && this.random.next() < 0.3 ? 40 * 60_000 : 5000;
            this.queue.schedule(this.random.next() * late, () => this.beginRequest(`r${index}`, workspace, text));
        }
        if (this.hasFaults) {
            this.scheduleFaults();
        }
        this.queue.run();
        for (const [key, count] of this.effects) {
            if (count > 1) {
                this.violations.push(`${key} ran ${count} times`);
            }
        }
        if (this.pendingCallCount > 0) {
            this.violations.push(`${this.pendingCallCount} requests were never answered`);
        }
        return { violations: this.violations, effects: this.effects, requested: this.requested };
    }

    private createKey(): string {
        const time = Math.floor(this.queue.now - this.random.next() * 20_000).toString(16).padStart(12, "0");
        const rest = Math.floor(this.random.next() * 2 ** 31).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
    }

    private createProcess(index: number, starts: number) {
        return {
            claims: createClaimState(this.rules.formatIncarnation(index, starts)),
            keyedRuns: createKeyedRuns(),
            pendingCalls: new Set<object>(),
            settleCallbacks: new Map(),
        };
    }

    private scheduleFaults(): void {
        for (const slot of this.slots) {
            if (this.random.next() < 0.5) {
                this.queue.schedule(this.random.next() * 5000, () => {
                    slot.startCount += 1;
                    this.pendingCallCount -= slot.pendingCalls.size;
                    Object.assign(slot, this.createProcess(slot.index, slot.startCount));
                });
            }
        }
        if (this.random.next() < 0.5) {
            this.queue.schedule(this.random.next() * 5000, () => this.isLogDown = true);
            this.queue.schedule(5000 + this.random.next() * 5000, () => this.isLogDown = false);
        }
    }

    private beginRequest(id: string, workspace: string, text: string): void {
        const slot = this.slots[this.random.pickIndex(slotCount)];
        this.requested.add(`${workspace}/${text}`);
        const params = createRunParams(id, workspace, text);
        const begun = beginRun(createRunStore("i"), params, this.queue.now);
        if (begun.kind !== "begin") {
            return;
        }
        const entered = this.rules.registerKey(slot.keyedRuns, params, begun.record, this.queue.now + slot.clockSkewMs);
        if (entered.kind === "claim") {
            const { key } = entered;
            this.callAppender(
                slot,
                key,
                false,
                verdict => this.handleVerdict(slot, key, verdict, `${workspace}/${text}`),
            );
        }
    }

    /** Asks a process, which may be the same, to settle a claim; the question or its answer may be lost. */
    private callAppender(
        slot: SimulatedSlot,
        key: ClaimKey,
        release: boolean,
        onVerdict: (verdict: ClaimVerdict) => void,
    ): void {
        const call = {};
        const { pendingCalls: calls } = slot;
        const claim: Claim = { claimant: slot.claims.incarnation, key, release };
        const end = (verdict: ClaimVerdict) => {
            if (slot.pendingCalls === calls && calls.delete(call)) {
                this.pendingCallCount -= 1;
                onVerdict(verdict);
            }
        };
        const isLost = () => this.hasFaults && this.random.next() < 0.1;
        calls.add(call);
        this.pendingCallCount += 1;
        this.queue.schedule(callTimeoutMs, () => end("failed"));
        if (!isLost()) {
            this.queue.schedule(this.sampleDelay(), () => {
                const appender = this.slots[this.random.pickIndex(slotCount)];
                appender.settleCallbacks.set(claim, verdict => {
                    if (!isLost()) {
                        this.queue.schedule(this.sampleDelay(), () => end(verdict));
                    }
                });
                const { claims } = appender;
                this.executeActions(appender, claims, this.rules.handleClaimEvent(claims, { kind: "claim", claim }));
            });
        }
    }

    private sampleDelay(): number {
        return this.hasFaults && this.random.next() < 0.1 ? this.random.next() * 10_000 : this.random.next() * 5;
    }

    private handleVerdict(slot: SimulatedSlot, key: ClaimKey, verdict: ClaimVerdict, name: string): void {
        if (verdict !== "won") {
            removeKey(slot.keyedRuns, key);
            return;
        }
        const fate = this.hasFaults ? this.random.next() : 1;
        const outcome = fate < 0.25 ? RunOutcome.notRun : fate < 0.4 ? RunOutcome.unknown : RunOutcome.run;
        if (outcome !== RunOutcome.notRun) {
            this.effects.set(name, (this.effects.get(name) ?? 0) + 1);
        }
        if (this.rules.releasesKey(outcome)) {
            this.callAppender(slot, key, true, released => {
                if (released === "won") {
                    removeKey(slot.keyedRuns, key);
                }
            });
        }
    }

    /** Carries out actions of a process; those of one that has crashed meanwhile are dropped. */
    private executeActions(slot: SimulatedSlot, claims: ClaimState, actions: ClaimAction[]): void {
        for (const action of actions) {
            if (slot.claims === claims) {
                this.executeAction(slot, claims, action);
            }
        }
    }

    private executeAction(slot: SimulatedSlot, claims: ClaimState, action: ClaimAction): void {
        const advance = (delayMs: number, event: () => Parameters<typeof handleClaimEvent>[1]) =>
            this.queue.schedule(delayMs, () => {
                if (slot.claims === claims) {
                    this.executeActions(slot, claims, this.rules.handleClaimEvent(claims, event()));
                }
            });
        if (action.kind === "schedule") {
            advance(action.delayMs, () => ({ kind: "flush", stream: action.stream }));
        }
        else if (action.kind === "append") {
            const delayMs = this.appendRecord(action.stream, action.record);
            advance(delayMs, () => ({ kind: "appended", stream: action.stream }));
        }
        else if (action.kind === "read") {
            advance(this.random.next() * 10, () => {
                const result = this.readStream(action.stream, action.from);
                return { kind: "read", stream: action.stream, result };
            });
        }
        else {
            slot.settleCallbacks.get(action.claim)?.(action.verdict);
            slot.settleCallbacks.delete(action.claim);
        }
    }

    /** Appends now, late or not at all, and returns when the append ends, with or without an answer. */
    private appendRecord(name: string, record: { id: string; data: unknown; }): number {
        const fate = this.hasFaults ? this.random.next() : 1;
        const delayMs = this.random.next() * 20;
        if (!this.isLogDown && fate > 0.1) {
            const effectMs = fate < 0.2 ? this.random.next() * 20_000 : delayMs / 2;
            this.queue.schedule(effectMs, () => {
                const stream = this.streams.get(name) ?? { records: [], next: 0 };
                this.streams.set(name, stream);
                stream.records.push({ ...record, offset: stream.next++, time: this.queue.now });
            });
        }
        return delayMs;
    }

    private readStream(name: string, from: number): ReadResult | undefined {
        if (this.isLogDown || (this.hasFaults && this.random.next() < 0.05)) {
            return undefined;
        }
        const stream = this.streams.get(name) ?? { records: [], next: 0 };
        stream.records = stream.records.filter(record => record.time > this.queue.now - retentionMs);
        const oldest = stream.records[0]?.offset ?? stream.next;
        const records = stream.records.filter(record => record.offset >= from);
        return { records, oldest, next: records.length > 0 ? stream.next : Math.max(from, oldest) };
    }
}

function createRunParams(requestId: string, workspace: string, idempotencyKey: string): RunParams {
    return {
        requestId,
        attempt: 1,
        incarnation: "i",
        workspace,
        method: "POST",
        path: "/",
        headers: {},
        body: "",
        idempotent: false,
        idempotencyKey,
        urgency: 3,
        tokens: 1,
        deadlineMs: 1000,
    };
}
