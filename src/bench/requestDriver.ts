/**
 * Drives the entry's attempt machine and the slots' ledgers through one seeded schedule of faults.
 * Left out: HTTP, JSON, admission queues and configuration. A connection belongs to the process that it was made
 * to; copies of its bytes may reach later processes too, whose answers nobody hears.
 */
import { createRandom, type Random } from "../core/random.js";
import { RunOutcome } from "../core/types.js";
import type { advanceAttempt, AttemptAction, AttemptEvent } from "../entry/attempt.js";
import { createRunStore, expireRecords, recordFrame, type RunRecord, selectFrames } from "../slot/runStore.js";
import type { beginRun, resumeRun } from "../slot/runStore.js";
import type { Frame, FrameBody, RunParams } from "../wire/messages.js";
import { EventQueue } from "./eventQueue.js";
import {
    type Connection,
    createParams,
    createParts,
    createRequest,
    type Request,
    requestDeadlineMs,
    type Slot,
} from "./requestWorld.js";

/** The decisions under test; tests replace single ones by wrong variants. */
export interface RequestRules {
    advanceAttempt: typeof advanceAttempt;
    beginRun: typeof beginRun;
    resumeRun: typeof resumeRun;
    /** Whether a copy of a call that was sent `ageMs` ago is accepted. */
    isFresh: (ageMs: number) => boolean;
}

const slotCount = 3;
const requestCount = 4;
const silenceMs = 1500;
const lateCopyMs = 400_000;

/** Runs one schedule and returns the broken invariants. */
export function driveRequests(rules: RequestRules, seed: number): string[] {
    return new RequestDriver(rules, createRandom(seed)).run();
}

class RequestDriver {
    private readonly queue = new EventQueue();
    private readonly slots: Slot[];
    private readonly requests: Request[] = [];
    private readonly findings: string[] = [];

    constructor(private readonly rules: RequestRules, private readonly random: Random) {
        this.slots = Array.from({ length: slotCount }, () => this.startSlot(1));
    }

    run(): string[] {
        this.scheduleFaults();
        for (let index = 0; index < requestCount; index++) {
            this.schedule(this.random.next() * 3000, () => this.beginRequest(`r${index}`));
        }
        this.queue.run();
        this.requests.forEach(request => this.checkRequest(request));
        return this.findings;
    }

    private get now(): number {
        return this.queue.now;
    }

    private schedule(delayMs: number, run: () => void): void {
        this.queue.schedule(delayMs, run);
    }

    private startSlot(incarnation: number): Slot {
        return { incarnation, ledger: createRunStore(`i${incarnation}`), listeners: new Map() };
    }

    private scheduleFaults(): void {
        for (const slot of this.slots) {
            if (this.random.next() < 0.4) {
                this.schedule(this.random.next() * 5000, () => this.crashSlot(slot));
            }
            if (this.random.next() < 0.15) {
                this.schedule(this.random.next() * 5000, () => {
                    if (slot.ledger !== undefined) {
                        slot.ledger.leaving = true;
                    }
                });
            }
        }
    }

    private crashSlot(slot: Slot): void {
        slot.ledger = undefined;
        slot.listeners.clear();
        this.schedule(this.random.next() * 2000, () => {
            slot.incarnation += 1;
            slot.ledger = createRunStore(`i${slot.incarnation}`);
        });
        for (const request of this.requests) {
            const { connection } = request;
            if (connection?.slot === slot && !connection.silent) {
                this.schedule(this.random.next() * 20, () => this.breakConnection(request, connection));
            }
        }
    }

    private beginRequest(id: string): void {
        const request = createRequest(id, this.random.next() < 0.4, this.now);
        this.requests.push(request);
        this.schedule(requestDeadlineMs, () => this.apply(request, { kind: "deadline" }));
        this.choose(request);
    }

    private apply(request: Request, event: AttemptEvent): void {
        for (const action of this.rules.advanceAttempt(request.state, event, this.now)) {
            this.execute(request, action);
        }
    }

    private execute(request: Request, action: AttemptAction): void {
        if (action.kind === "choose") {
            this.choose(request);
        }
        else if (action.kind === "send") {
            this.send(request);
        }
        else if (action.kind === "resume") {
            this.schedule(50, () => this.resume(request, action.nextSequence));
        }
        else if (action.kind === "relay") {
            this.relay(request, action.frame);
        }
        else if (action.kind === "finish") {
            this.finish(request, RunOutcome.run);
        }
        else if (action.kind === "fail") {
            this.finish(request, action.outcome);
        }
    }

    private finish(request: Request, outcome: RunOutcome): void {
        if (request.told !== undefined) {
            this.findings.push(`${request.id} was answered twice`);
        }
        request.told = outcome;
    }

    private relay(request: Request, frame: Frame): void {
        if (frame.kind === "data") {
            request.body += frame.data;
            request.bodyAttempt = frame.attempt;
        }
        request.whole = request.whole || frame.kind === "end";
    }

    private choose(request: Request): void {
        const usable = this.slots.filter(slot => !request.tried.has(slot));
        if (usable.length === 0) {
            this.apply(request, { kind: "no-candidate" });
            return;
        }
        request.slot = usable[this.random.pickIndex(usable.length)];
        request.tried.add(request.slot);
        const known = [request.slot.incarnation, request.slot.incarnation, Math.max(1, request.slot.incarnation - 1)];
        request.incarnation = this.random.next() < 0.1 ? undefined : `i${known[this.random.pickIndex(3)]}`;
        this.apply(request, { kind: "chosen" });
    }

    /** Opens a connection; undefined when the slot's process is down. */
    private connect(request: Request): Connection | undefined {
        const slot = request.slot!;
        if (request.connection !== undefined) {
            request.connection.over = true;
        }
        if (slot.ledger === undefined) {
            const { attempt } = request.state;
            this.schedule(20, () => attempt === request.state.attempt && this.apply(request, { kind: "unreachable" }));
            return undefined;
        }
        const connection: Connection = {
            slot,
            incarnation: slot.incarnation,
            silent: false,
            over: false,
            lastFrameAt: this.now,
        };
        request.connection = connection;
        if (this.random.next() < 0.25) {
            this.schedule(this.random.next() * 500, () => connection.silent = true);
        }
        this.watch(request, connection);
        return connection;
    }

    private watch(request: Request, connection: Connection): void {
        this.schedule(silenceMs, () => {
            if (this.now - connection.lastFrameAt >= silenceMs) {
                this.breakConnection(request, connection);
            }
            else if (!connection.over) {
                this.watch(request, connection);
            }
        });
    }

    private breakConnection(request: Request, connection: Connection): void {
        if (!connection.over) {
            connection.over = true;
            this.apply(request, { kind: "broken" });
        }
    }

    private send(request: Request): void {
        const connection = this.connect(request);
        if (connection === undefined) {
            return;
        }
        const params = createParams(request);
        const sentAt = this.now;
        const fate = this.random.next();
        if (fate < 0.8) {
            this.schedule(this.sampleDelay(), () => this.deliverRun(request, connection, params, sentAt));
        }
        if (fate > 0.65) {
            const late = this.random.next() < 0.5 ? lateCopyMs : 4000;
            this.schedule(this.random.next() * late, () => this.deliverRun(request, connection, params, sentAt));
        }
    }

    private sampleDelay(): number {
        return this.random.next() < 0.2 ? this.random.next() * 4000 : this.random.next() * 20;
    }

    private deliverRun(request: Request, connection: Connection, params: RunParams, sentAt: number): void {
        const { slot } = connection;
        if (slot.ledger === undefined || !this.rules.isFresh(this.now - sentAt)) {
            return;
        }
        expireRecords(slot.ledger, this.now);
        const result = this.rules.beginRun(slot.ledger, params, this.now);
        const heard = connection.incarnation === slot.incarnation ? connection : undefined;
        if (result.kind === "refuse") {
            this.refuse(request, heard, params, RunOutcome.notRun);
            return;
        }
        this.subscribe(request, slot, result.record, heard, 0);
        if (result.kind === "begin") {
            this.startRun(request, slot, result.record);
        }
    }

    private resume(request: Request, nextSequence: number): void {
        if (request.told !== undefined) {
            return;
        }
        const connection = this.connect(request);
        if (connection === undefined) {
            return;
        }
        const { id: requestId, incarnation, state: { attempt } } = request;
        const params = { requestId, attempt, incarnation, nextSequence };
        this.schedule(this.sampleDelay(), () => {
            const { slot } = connection;
            if (slot.ledger === undefined || connection.incarnation !== slot.incarnation) {
                return;
            }
            expireRecords(slot.ledger, this.now);
            const result = this.rules.resumeRun(slot.ledger, params, this.now);
            if (result.kind === "refuse") {
                this.refuse(request, connection, params, result.outcome);
                return;
            }
            this.subscribe(request, slot, result.record, connection, nextSequence);
        });
    }

    private refuse(
        request: Request,
        connection: Connection | undefined,
        run: { requestId: string; attempt: number; },
        outcome: RunOutcome,
    ): void {
        const { requestId, attempt } = run;
        this.deliver(request, connection, {
            requestId,
            attempt,
            sequence: 0,
            kind: "failed",
            outcome,
            status: 503,
            title: "refused",
        });
    }

    private subscribe(
        request: Request,
        slot: Slot,
        record: RunRecord,
        connection: Connection | undefined,
        from: number,
    ): void {
        const listeners = slot.listeners.get(record) ?? new Set();
        slot.listeners.set(record, listeners);
        listeners.add(frame => this.deliver(request, connection, frame));
        selectFrames(record, from).forEach(frame => this.deliver(request, connection, frame));
    }

    /** Delivers a frame late, twice, out of order or cut short, unless the connection has gone silent. */
    private deliver(request: Request, connection: Connection | undefined, frame: Frame): void {
        if (connection === undefined || connection.silent) {
            return;
        }
        const copies = this.random.next() < 0.05 ? 2 : 1;
        const cut = frame.kind === "data" && this.random.next() < 0.01;
        const sent: Frame = cut ? { ...frame, data: frame.data.slice(1) } : frame;
        for (let copy = 0; copy < copies; copy++) {
            const delayMs = this.random.next() < 0.03 ? this.random.next() * 5000 : 1;
            this.schedule(delayMs, () => {
                connection.lastFrameAt = this.now;
                if (sent.kind === "accepted" && sent.attempt === request.state.attempt) {
                    request.incarnation = sent.incarnation;
                }
                this.apply(request, { kind: "frame", frame: sent });
            });
        }
    }

    /** Runs a request at the upstream; its effect may come late, and also after the slot has ended. */
    private startRun(request: Request, slot: Slot, record: RunRecord): void {
        const { incarnation, ledger } = slot;
        const emit = (frame: FrameBody) => {
            if (slot.incarnation === incarnation && slot.ledger === ledger) {
                const { requestId, attempt, next: sequence } = record;
                const whole = { ...frame, requestId, attempt, sequence } as Frame;
                recordFrame(ledger!, record, whole, this.now);
                slot.listeners.get(record)?.forEach(listener => listener(whole));
            }
        };
        emit({ kind: "accepted", incarnation: ledger!.incarnation });
        const fate = this.random.next();
        if (fate < 0.15) {
            this.schedule(
                5,
                () => emit({ kind: "failed", outcome: RunOutcome.notRun, status: 503, title: "full or unreachable" }),
            );
            return;
        }
        const failed = { kind: "failed", outcome: RunOutcome.unknown, status: 502, title: "lost" } as const;
        if (fate < 0.25) {
            this.schedule(5, () => emit(failed));
            return;
        }
        this.schedule(this.random.next() * 800, () => {
            if (slot.incarnation === incarnation && slot.ledger === ledger || this.random.next() < 0.5) {
                request.effects += 1;
            }
        });
        this.scheduleAnswer(emit, record, fate < 0.35 ? failed : undefined);
    }

    private scheduleAnswer(
        emit: (frame: FrameBody) => void,
        record: RunRecord,
        failed: FrameBody | undefined,
    ): void {
        const parts = createParts(record.requestId, record.attempt);
        let at = 800;
        this.schedule(at, () => emit({ kind: "head", status: 200, headers: {} }));
        for (const [index, data] of parts.entries()) {
            at += 300;
            if (failed === undefined || index < 2) {
                this.schedule(at, () => emit({ kind: "data", data }));
            }
        }
        const length = parts.join("").length;
        const load = {
            incarnation: "",
            tokensInFlight: 0,
            requestsInFlight: 0,
            queued: 0,
            state: "live",
            serviceMs: 0,
        } as const;
        this.schedule(at + 1, () => emit(failed ?? { kind: "end", length, load }));
    }

    private checkRequest(request: Request): void {
        const { id, told, effects, whole, body, bodyAttempt, state } = request;
        if (told === undefined) {
            this.findings.push(`${id} was never answered`);
        }
        if (told === RunOutcome.notRun && effects > 0) {
            this.findings.push(`${id} was told not-run and has ${effects} effects`);
        }
        if (!state.idempotent && effects > 1) {
            this.findings.push(`${id} is not idempotent and has ${effects} effects`);
        }
        if (whole && body !== createParts(id, bodyAttempt).join("")) {
            this.findings.push(`${id} has a wrong answer presented as whole`);
        }
    }
}
