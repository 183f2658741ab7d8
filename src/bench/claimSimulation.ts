/**
 * Simulates requests with idempotency keys under a seeded random schedule of faults of the log and the slots, which
 * claim keys in the log before they run requests. Not simulated: entries, admission, and responses of upstreams; a run
 * (execution at an upstream) takes effect immediately or not at all.
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

/** Rules: the decision functions under test; tests replace single ones by faulty variants. */
export interface ClaimRules {
    handleClaimEvent: typeof handleClaimEvent;
    registerKey: typeof registerKey;
    formatIncarnation: (slot: number, start: number) => string;
    /** Whether a run with this outcome releases its key. */
    releasesKey: (outcome: RunOutcome) => boolean;
}

interface SimulatedSlot {
    index: number;
    /** Number of processes that the slot has started; part of the incarnation. */
    startCount: number;
    claims: ClaimState;
    keyedRuns: KeyedRuns;
    /** Offset of the slot's clock from the log's, in milliseconds. */
    clockSkewMs: number;
    /** Calls of the current process that wait for a verdict. */
    pendingCalls: Set<object>;
    /** Callbacks that respond to the caller, by claim that the current process has to settle. */
    settleCallbacks: Map<Claim, (verdict: ClaimVerdict) => void>;
}

interface SimulatedStream {
    records: LogRecord[];
    /** Offset of the next record. */
    next: number;
}

const slotCount = 3;
const callTimeoutMs = 1000;
const requestCount = 12;
/** Time for which the log retains records, in milliseconds. */
const retentionMs = 20 * 60_000;
/** Simulated start time, Unix time in milliseconds. */
const startTime = 1_760_000_000_000;
const workspaces = ["cascadia", "thistlebrook"];

export interface ClaimSimulationResult {
    /** Violated invariants. */
    violations: string[];
    /** Number of runs that may have taken effect, by workspace and key. */
    effects: Map<string, number>;
    /** Workspaces and keys that were requested. */
    requested: Set<string>;
}

/** Runs the schedule of `seed`; nothing fails unless `hasFaults`. */
export function simulateClaims(rules: ClaimRules, seed: number, hasFaults = true): ClaimSimulationResult {
    return new ClaimSimulation(rules, createRandom(seed), hasFaults).run();
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
            const maxDelayMs = this.hasFaults && this.random.next() < 0.3 ? 40 * 60_000 : 5000;
            this.queue.schedule(this.random.next() * maxDelayMs, () => this.beginRequest(`r${index}`, workspace, text));
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
            this.violations.push(`${this.pendingCallCount} calls never ended`);
        }
        return { violations: this.violations, effects: this.effects, requested: this.requested };
    }

    private createKey(): string {
        const timestamp = Math.floor(this.queue.now - this.random.next() * 20_000).toString(16).padStart(12, "0");
        const randomPart = Math.floor(this.random.next() * 2 ** 31).toString(16).padStart(12, "0");
        return `${timestamp.slice(0, 8)}-${timestamp.slice(8)}-7000-8000-${randomPart}`;
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
        const beginResult = beginRun(createRunStore("i"), params, this.queue.now);
        if (beginResult.kind !== "begin") {
            return;
        }
        const registered = this.rules.registerKey(
            slot.keyedRuns,
            params,
            beginResult.record,
            this.queue.now + slot.clockSkewMs,
        );
        if (registered.kind === "claim") {
            const { key } = registered;
            this.callAppender(
                slot,
                key,
                false,
                verdict => this.handleVerdict(slot, key, verdict, `${workspace}/${text}`),
            );
        }
    }

    /** Calls a random process, perhaps the caller itself, to settle a claim; the request or response may be lost. */
    private callAppender(
        slot: SimulatedSlot,
        key: ClaimKey,
        release: boolean,
        onVerdict: (verdict: ClaimVerdict) => void,
    ): void {
        const call = {};
        const { pendingCalls: calls } = slot;
        const claim: Claim = { claimant: slot.claims.incarnation, key, release };
        const endCall = (verdict: ClaimVerdict) => {
            if (slot.pendingCalls === calls && calls.delete(call)) {
                this.pendingCallCount -= 1;
                onVerdict(verdict);
            }
        };
        const isLost = () => this.hasFaults && this.random.next() < 0.1;
        calls.add(call);
        this.pendingCallCount += 1;
        this.queue.schedule(callTimeoutMs, () => endCall("failed"));
        if (!isLost()) {
            this.queue.schedule(this.sampleDelay(), () => {
                const appender = this.slots[this.random.pickIndex(slotCount)];
                appender.settleCallbacks.set(claim, verdict => {
                    if (!isLost()) {
                        this.queue.schedule(this.sampleDelay(), () => endCall(verdict));
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

    private handleVerdict(slot: SimulatedSlot, key: ClaimKey, verdict: ClaimVerdict, workspaceKey: string): void {
        if (verdict !== "won") {
            removeKey(slot.keyedRuns, key);
            return;
        }
        const draw = this.hasFaults ? this.random.next() : 1;
        const outcome = draw < 0.25 ? RunOutcome.notRun : draw < 0.4 ? RunOutcome.unknown : RunOutcome.run;
        if (outcome !== RunOutcome.notRun) {
            this.effects.set(workspaceKey, (this.effects.get(workspaceKey) ?? 0) + 1);
        }
        if (this.rules.releasesKey(outcome)) {
            this.callAppender(slot, key, true, releaseVerdict => {
                if (releaseVerdict === "won") {
                    removeKey(slot.keyedRuns, key);
                }
            });
        }
    }

    /** Executes actions of a process, unless it has crashed in the meantime. */
    private executeActions(slot: SimulatedSlot, claims: ClaimState, actions: ClaimAction[]): void {
        for (const action of actions) {
            if (slot.claims === claims) {
                this.executeAction(slot, claims, action);
            }
        }
    }

    private executeAction(slot: SimulatedSlot, claims: ClaimState, action: ClaimAction): void {
        const scheduleEvent = (delayMs: number, event: () => Parameters<typeof handleClaimEvent>[1]) =>
            this.queue.schedule(delayMs, () => {
                if (slot.claims === claims) {
                    this.executeActions(slot, claims, this.rules.handleClaimEvent(claims, event()));
                }
            });
        if (action.kind === "schedule") {
            scheduleEvent(action.delayMs, () => ({ kind: "flush", stream: action.stream }));
        }
        else if (action.kind === "append") {
            const delayMs = this.appendRecord(action.stream, action.record);
            scheduleEvent(delayMs, () => ({ kind: "appended", stream: action.stream }));
        }
        else if (action.kind === "read") {
            scheduleEvent(this.random.next() * 10, () => {
                const result = this.readStream(action.stream, action.from);
                return { kind: "read", stream: action.stream, result };
            });
        }
        else {
            slot.settleCallbacks.get(action.claim)?.(action.verdict);
            slot.settleCallbacks.delete(action.claim);
        }
    }

    /** Appends a record soon, late or never; returns the delay after which the append ends for its caller. */
    private appendRecord(name: string, record: { id: string; data: unknown; }): number {
        const draw = this.hasFaults ? this.random.next() : 1;
        const delayMs = this.random.next() * 20;
        if (!this.isLogDown && draw > 0.1) {
            const appendDelayMs = draw < 0.2 ? this.random.next() * 20_000 : delayMs / 2;
            this.queue.schedule(appendDelayMs, () => {
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
