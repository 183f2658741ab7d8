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
    advanceClaims: typeof handleClaimEvent;
    enterKey: typeof registerKey;
    formatIncarnation: (slot: number, start: number) => string;
    /** Whether a run that ended so gives its key up. */
    isReleased: (outcome: RunOutcome) => boolean;
}

interface Slot {
    index: number;
    starts: number;
    claims: ClaimState;
    keyed: KeyedRuns;
    /** Difference between the slot's clock and the log's, in milliseconds. */
    skewMs: number;
    /** Calls of this process that wait for a verdict. */
    calls: Set<object>;
    /** Claims that this process settles, with the way of their answer. */
    settling: Map<Claim, (verdict: ClaimVerdict) => void>;
}

interface Stream {
    records: LogRecord[];
    next: number;
}

const slotCount = 3;
const callTimeoutMs = 1000;
const requestCount = 12;
const retentionMs = 20 * 60_000;
const startMs = 1_760_000_000_000;
const workspaces = ["cascadia", "thistlebrook"];

export interface ClaimResult {
    findings: string[];
    /** Effects at upstreams by workspace and key. */
    effects: Map<string, number>;
    /** Workspaces and keys that were asked for. */
    requested: Set<string>;
}

/** Runs one schedule; without `faulty` nothing fails. */
export function driveClaims(rules: ClaimRules, seed: number, faulty = true): ClaimResult {
    return new ClaimDriver(rules, createRandom(seed), faulty).run();
}

class ClaimDriver {
    private readonly queue = new EventQueue();
    private readonly slots: Slot[];
    private readonly streams = new Map<string, Stream>();
    private readonly effects = new Map<string, number>();
    private readonly findings: string[] = [];
    private readonly requested = new Set<string>();
    private isDown = false;
    private open = 0;

    constructor(
        private readonly rules: ClaimRules,
        private readonly random: Random,
        private readonly faulty: boolean,
    ) {
        this.queue.now = startMs;
        this.slots = Array.from({ length: slotCount }, (slot, index) => ({
            ...this.createProcess(index, 1),
            index,
            starts: 1,
            skewMs: faulty ? (random.next() - 0.5) * 30_000 : 0,
        }));
    }

    run(): ClaimResult {
        const keys = Array.from({ length: 3 }, () => this.createKey());
        for (let index = 0; index < requestCount; index++) {
            const text = keys[this.random.pickIndex(keys.length)];
            const workspace = workspaces[this.random.pickIndex(workspaces.length)];
            const late = this.faulty && this.random.next() < 0.3 ? 40 * 60_000 : 5000;
            this.queue.schedule(this.random.next() * late, () => this.request(`r${index}`, workspace, text));
        }
        if (this.faulty) {
            this.scheduleFaults();
        }
        this.queue.run();
        for (const [key, count] of this.effects) {
            if (count > 1) {
                this.findings.push(`${key} ran ${count} times`);
            }
        }
        if (this.open > 0) {
            this.findings.push(`${this.open} requests were never answered`);
        }
        return { findings: this.findings, effects: this.effects, requested: this.requested };
    }

    private createKey(): string {
        const time = Math.floor(this.queue.now - this.random.next() * 20_000).toString(16).padStart(12, "0");
        const rest = Math.floor(this.random.next() * 2 ** 31).toString(16).padStart(12, "0");
        return `${time.slice(0, 8)}-${time.slice(8)}-7000-8000-${rest}`;
    }

    private createProcess(index: number, starts: number) {
        return {
            claims: createClaimState(this.rules.formatIncarnation(index, starts)),
            keyed: createKeyedRuns(),
            calls: new Set<object>(),
            settling: new Map(),
        };
    }

    private scheduleFaults(): void {
        for (const slot of this.slots) {
            if (this.random.next() < 0.5) {
                this.queue.schedule(this.random.next() * 5000, () => {
                    slot.starts += 1;
                    this.open -= slot.calls.size;
                    Object.assign(slot, this.createProcess(slot.index, slot.starts));
                });
            }
        }
        if (this.random.next() < 0.5) {
            this.queue.schedule(this.random.next() * 5000, () => this.isDown = true);
            this.queue.schedule(5000 + this.random.next() * 5000, () => this.isDown = false);
        }
    }

    private request(id: string, workspace: string, text: string): void {
        const slot = this.slots[this.random.pickIndex(slotCount)];
        this.requested.add(`${workspace}/${text}`);
        const params = createParams(id, workspace, text);
        const begun = beginRun(createRunStore("i"), params, this.queue.now);
        if (begun.kind !== "begin") {
            return;
        }
        const entered = this.rules.enterKey(slot.keyed, params, begun.record, this.queue.now + slot.skewMs);
        if (entered.kind === "claim") {
            const { key } = entered;
            this.call(slot, key, false, verdict => this.finishClaim(slot, key, verdict, `${workspace}/${text}`));
        }
    }

    /** Asks a process, which may be the same, to settle a claim; the question or its answer may be lost. */
    private call(slot: Slot, key: ClaimKey, release: boolean, onVerdict: (verdict: ClaimVerdict) => void): void {
        const call = {};
        const { calls } = slot;
        const claim: Claim = { claimant: slot.claims.incarnation, key, release };
        const end = (verdict: ClaimVerdict) => {
            if (slot.calls === calls && calls.delete(call)) {
                this.open -= 1;
                onVerdict(verdict);
            }
        };
        const isLost = () => this.faulty && this.random.next() < 0.1;
        calls.add(call);
        this.open += 1;
        this.queue.schedule(callTimeoutMs, () => end("failed"));
        if (!isLost()) {
            this.queue.schedule(this.sampleDelay(), () => {
                const appender = this.slots[this.random.pickIndex(slotCount)];
                appender.settling.set(claim, verdict => {
                    if (!isLost()) {
                        this.queue.schedule(this.sampleDelay(), () => end(verdict));
                    }
                });
                const { claims } = appender;
                this.apply(appender, claims, this.rules.advanceClaims(claims, { kind: "claim", claim }));
            });
        }
    }

    private sampleDelay(): number {
        return this.faulty && this.random.next() < 0.1 ? this.random.next() * 10_000 : this.random.next() * 5;
    }

    private finishClaim(slot: Slot, key: ClaimKey, verdict: ClaimVerdict, name: string): void {
        if (verdict !== "won") {
            removeKey(slot.keyed, key);
            return;
        }
        const fate = this.faulty ? this.random.next() : 1;
        const outcome = fate < 0.25 ? RunOutcome.notRun : fate < 0.4 ? RunOutcome.unknown : RunOutcome.run;
        if (outcome !== RunOutcome.notRun) {
            this.effects.set(name, (this.effects.get(name) ?? 0) + 1);
        }
        if (this.rules.isReleased(outcome)) {
            this.call(slot, key, true, released => {
                if (released === "won") {
                    removeKey(slot.keyed, key);
                }
            });
        }
    }

    /** Carries out actions of a process; those of one that has crashed meanwhile are dropped. */
    private apply(slot: Slot, claims: ClaimState, actions: ClaimAction[]): void {
        for (const action of actions) {
            if (slot.claims === claims) {
                this.execute(slot, claims, action);
            }
        }
    }

    private execute(slot: Slot, claims: ClaimState, action: ClaimAction): void {
        const advance = (delayMs: number, event: () => Parameters<typeof handleClaimEvent>[1]) =>
            this.queue.schedule(delayMs, () => {
                if (slot.claims === claims) {
                    this.apply(slot, claims, this.rules.advanceClaims(claims, event()));
                }
            });
        if (action.kind === "schedule") {
            advance(action.delayMs, () => ({ kind: "flush", stream: action.stream }));
        }
        else if (action.kind === "append") {
            const delayMs = this.append(action.stream, action.record);
            advance(delayMs, () => ({ kind: "appended", stream: action.stream }));
        }
        else if (action.kind === "read") {
            advance(this.random.next() * 10, () => {
                const result = this.read(action.stream, action.from);
                return { kind: "read", stream: action.stream, result };
            });
        }
        else {
            slot.settling.get(action.claim)?.(action.verdict);
            slot.settling.delete(action.claim);
        }
    }

    /** Appends now, late or not at all, and returns when the append ends, with or without an answer. */
    private append(name: string, record: { id: string; data: unknown; }): number {
        const fate = this.faulty ? this.random.next() : 1;
        const delayMs = this.random.next() * 20;
        if (!this.isDown && fate > 0.1) {
            const effectMs = fate < 0.2 ? this.random.next() * 20_000 : delayMs / 2;
            this.queue.schedule(effectMs, () => {
                const stream = this.streams.get(name) ?? { records: [], next: 0 };
                this.streams.set(name, stream);
                stream.records.push({ ...record, offset: stream.next++, time: this.queue.now });
            });
        }
        return delayMs;
    }

    private read(name: string, from: number): ReadResult | undefined {
        if (this.isDown || (this.faulty && this.random.next() < 0.05)) {
            return undefined;
        }
        const stream = this.streams.get(name) ?? { records: [], next: 0 };
        stream.records = stream.records.filter(record => record.time > this.queue.now - retentionMs);
        const oldest = stream.records[0]?.offset ?? stream.next;
        const records = stream.records.filter(record => record.offset >= from);
        return { records, oldest, next: records.length > 0 ? stream.next : Math.max(from, oldest) };
    }
}

function createParams(requestId: string, workspace: string, idempotencyKey: string): RunParams {
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
