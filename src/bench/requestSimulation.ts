/**
 * Simulates an entry's attempt state machine and the slots' run stores (records of each run at an upstream, with
 * buffered responses) under a seeded random schedule of faults. Not simulated: HTTP, JSON, admission queues and
 * configuration. A connection belongs to the process that accepted it; late copies of calls on it may reach later
 * processes of the slot, but the responses of these are discarded.
 */
import { createRandom, type Random } from "../core/random.js";
import { RunOutcome } from "../core/types.js";
import type { advanceAttempt, AttemptAction, AttemptEvent } from "../entry/attempt.js";
import { createRunStore, expireRecords, recordFrame, type RunRecord, selectFrames } from "../slot/runStore.js";
import type { beginRun, resumeRun } from "../slot/runStore.js";
import type { Frame, FrameBody, RunParams } from "../wire/messages.js";
import { EventQueue } from "./eventQueue.js";
import {
    createRequest,
    createResponseChunks,
    createRunParams,
    requestDeadlineMs,
    type SimulatedConnection,
    type SimulatedRequest,
    type SimulatedSlot,
} from "./requestSimulationState.js";

/** Rules: the decision functions under test; tests replace single ones by faulty variants. */
export interface RequestRules {
    advanceAttempt: typeof advanceAttempt;
    beginRun: typeof beginRun;
    resumeRun: typeof resumeRun;
    /** Whether a slot accepts a copy of a call that was sent `ageMs` ago. */
    isFresh: (ageMs: number) => boolean;
}

const slotCount = 3;
const requestCount = 4;
/** Time without a frame after which the entry closes a connection, in milliseconds. */
const idleTimeoutMs = 1500;
/** Maximum delay of a late copy of a call, in milliseconds. */
const maxCopyDelayMs = 400_000;

/** Runs the schedule of `seed` and returns the violated invariants. */
export function simulateRequests(rules: RequestRules, seed: number): string[] {
    return new RequestSimulation(rules, createRandom(seed)).run();
}

class RequestSimulation {
    private readonly queue = new EventQueue();
    private readonly slots: SimulatedSlot[];
    private readonly requests: SimulatedRequest[] = [];
    private readonly violations: string[] = [];

    constructor(private readonly rules: RequestRules, private readonly random: Random) {
        this.slots = Array.from({ length: slotCount }, () => this.createSlot(1));
    }

    run(): string[] {
        this.scheduleFaults();
        for (let index = 0; index < requestCount; index++) {
            this.schedule(this.random.next() * 3000, () => this.beginRequest(`r${index}`));
        }
        this.queue.run();
        this.requests.forEach(request => this.checkRequest(request));
        return this.violations;
    }

    private get now(): number {
        return this.queue.now;
    }

    private schedule(delayMs: number, run: () => void): void {
        this.queue.schedule(delayMs, run);
    }

    private createSlot(incarnation: number): SimulatedSlot {
        return { incarnation, runStore: createRunStore(`i${incarnation}`), listeners: new Map() };
    }

    private scheduleFaults(): void {
        for (const slot of this.slots) {
            if (this.random.next() < 0.4) {
                this.schedule(this.random.next() * 5000, () => this.crashSlot(slot));
            }
            if (this.random.next() < 0.15) {
                this.schedule(this.random.next() * 5000, () => {
                    if (slot.runStore !== undefined) {
                        slot.runStore.leaving = true;
                    }
                });
            }
        }
    }

    private crashSlot(slot: SimulatedSlot): void {
        slot.runStore = undefined;
        slot.listeners.clear();
        this.schedule(this.random.next() * 2000, () => {
            slot.incarnation += 1;
            slot.runStore = createRunStore(`i${slot.incarnation}`);
        });
        for (const request of this.requests) {
            const { connection } = request;
            if (connection?.slot === slot && !connection.isSilent) {
                this.schedule(this.random.next() * 20, () => this.breakConnection(request, connection));
            }
        }
    }

    private beginRequest(id: string): void {
        const request = createRequest(id, this.random.next() < 0.4, this.now);
        this.requests.push(request);
        this.schedule(requestDeadlineMs, () => this.handleEvent(request, { kind: "deadline" }));
        this.chooseSlot(request);
    }

    private handleEvent(request: SimulatedRequest, event: AttemptEvent): void {
        for (const action of this.rules.advanceAttempt(request.state, event, this.now)) {
            this.executeAction(request, action);
        }
    }

    private executeAction(request: SimulatedRequest, action: AttemptAction): void {
        if (action.kind === "choose") {
            this.chooseSlot(request);
        }
        else if (action.kind === "send") {
            this.sendRun(request);
        }
        else if (action.kind === "resume") {
            this.schedule(50, () => this.sendResume(request, action.nextSequence));
        }
        else if (action.kind === "relay") {
            this.receiveFrame(request, action.frame);
        }
        else if (action.kind === "finish") {
            this.recordOutcome(request, RunOutcome.run);
        }
        else if (action.kind === "fail") {
            this.recordOutcome(request, action.outcome);
        }
    }

    private recordOutcome(request: SimulatedRequest, outcome: RunOutcome): void {
        if (request.outcome !== undefined) {
            this.violations.push(`${request.id} got two responses`);
        }
        request.outcome = outcome;
    }

    private receiveFrame(request: SimulatedRequest, frame: Frame): void {
        if (frame.kind === "data") {
            request.body += frame.data;
            request.bodyAttempt = frame.attempt;
        }
        request.isComplete = request.isComplete || frame.kind === "end";
    }

    private chooseSlot(request: SimulatedRequest): void {
        const candidates = this.slots.filter(slot => !request.triedSlots.has(slot));
        if (candidates.length === 0) {
            this.handleEvent(request, { kind: "no-candidate" });
            return;
        }
        request.slot = candidates[this.random.pickIndex(candidates.length)];
        request.triedSlots.add(request.slot);
        const knownIncarnations = [
            request.slot.incarnation,
            request.slot.incarnation,
            Math.max(1, request.slot.incarnation - 1),
        ];
        request.incarnation = this.random.next() < 0.1 ? undefined : `i${knownIncarnations[this.random.pickIndex(3)]}`;
        this.handleEvent(request, { kind: "chosen" });
    }

    /** Opens a connection to the request's slot and closes the previous one; undefined if the slot is down. */
    private connect(request: SimulatedRequest): SimulatedConnection | undefined {
        const slot = request.slot!;
        if (request.connection !== undefined) {
            request.connection.isClosed = true;
        }
        if (slot.runStore === undefined) {
            const { attempt } = request.state;
            this.schedule(
                20,
                () => attempt === request.state.attempt && this.handleEvent(request, { kind: "unreachable" }),
            );
            return undefined;
        }
        const connection: SimulatedConnection = {
            slot,
            incarnation: slot.incarnation,
            isSilent: false,
            isClosed: false,
            lastFrameAt: this.now,
        };
        request.connection = connection;
        if (this.random.next() < 0.25) {
            this.schedule(this.random.next() * 500, () => connection.isSilent = true);
        }
        this.watchIdleTimeout(request, connection);
        return connection;
    }

    private watchIdleTimeout(request: SimulatedRequest, connection: SimulatedConnection): void {
        this.schedule(idleTimeoutMs, () => {
            if (this.now - connection.lastFrameAt >= idleTimeoutMs) {
                this.breakConnection(request, connection);
            }
            else if (!connection.isClosed) {
                this.watchIdleTimeout(request, connection);
            }
        });
    }

    private breakConnection(request: SimulatedRequest, connection: SimulatedConnection): void {
        if (!connection.isClosed) {
            connection.isClosed = true;
            this.handleEvent(request, { kind: "broken" });
        }
    }

    private sendRun(request: SimulatedRequest): void {
        const connection = this.connect(request);
        if (connection === undefined) {
            return;
        }
        const params = createRunParams(request);
        const sentAt = this.now;
        const draw = this.random.next();
        if (draw < 0.8) {
            this.schedule(this.sampleDelay(), () => this.deliverRun(request, connection, params, sentAt));
        }
        if (draw > 0.65) {
            const maxDelayMs = this.random.next() < 0.5 ? maxCopyDelayMs : 4000;
            this.schedule(this.random.next() * maxDelayMs, () => this.deliverRun(request, connection, params, sentAt));
        }
    }

    private sampleDelay(): number {
        return this.random.next() < 0.2 ? this.random.next() * 4000 : this.random.next() * 20;
    }

    private deliverRun(
        request: SimulatedRequest,
        connection: SimulatedConnection,
        params: RunParams,
        sentAt: number,
    ): void {
        const { slot } = connection;
        if (slot.runStore === undefined || !this.rules.isFresh(this.now - sentAt)) {
            return;
        }
        expireRecords(slot.runStore, this.now);
        const result = this.rules.beginRun(slot.runStore, params, this.now);
        const openConnection = connection.incarnation === slot.incarnation ? connection : undefined;
        if (result.kind === "refuse") {
            this.deliverRefusal(request, openConnection, params, RunOutcome.notRun);
            return;
        }
        this.subscribe(request, slot, result.record, openConnection, 0);
        if (result.kind === "begin") {
            this.executeRun(request, slot, result.record);
        }
    }

    private sendResume(request: SimulatedRequest, nextSequence: number): void {
        if (request.outcome !== undefined) {
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
            if (slot.runStore === undefined || connection.incarnation !== slot.incarnation) {
                return;
            }
            expireRecords(slot.runStore, this.now);
            const result = this.rules.resumeRun(slot.runStore, params, this.now);
            if (result.kind === "refuse") {
                this.deliverRefusal(request, connection, params, result.outcome);
                return;
            }
            this.subscribe(request, slot, result.record, connection, nextSequence);
        });
    }

    private deliverRefusal(
        request: SimulatedRequest,
        connection: SimulatedConnection | undefined,
        run: { requestId: string; attempt: number; },
        outcome: RunOutcome,
    ): void {
        const { requestId, attempt } = run;
        this.deliverFrame(request, connection, {
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
        request: SimulatedRequest,
        slot: SimulatedSlot,
        record: RunRecord,
        connection: SimulatedConnection | undefined,
        from: number,
    ): void {
        const listeners = slot.listeners.get(record) ?? new Set();
        slot.listeners.set(record, listeners);
        listeners.add(frame => this.deliverFrame(request, connection, frame));
        selectFrames(record, from).forEach(frame => this.deliverFrame(request, connection, frame));
    }

    /** Delivers a frame, perhaps late, twice, out of order or truncated; nothing arrives on a silent connection. */
    private deliverFrame(request: SimulatedRequest, connection: SimulatedConnection | undefined, frame: Frame): void {
        if (connection === undefined || connection.isSilent) {
            return;
        }
        const copies = this.random.next() < 0.05 ? 2 : 1;
        const isTruncated = frame.kind === "data" && this.random.next() < 0.01;
        const sentFrame: Frame = isTruncated ? { ...frame, data: frame.data.slice(1) } : frame;
        for (let copy = 0; copy < copies; copy++) {
            const delayMs = this.random.next() < 0.03 ? this.random.next() * 5000 : 1;
            this.schedule(delayMs, () => {
                connection.lastFrameAt = this.now;
                if (sentFrame.kind === "accepted" && sentFrame.attempt === request.state.attempt) {
                    request.incarnation = sentFrame.incarnation;
                }
                this.handleEvent(request, { kind: "frame", frame: sentFrame });
            });
        }
    }

    /** Runs a request at the upstream; it may take effect late, even after the slot's process has crashed. */
    private executeRun(request: SimulatedRequest, slot: SimulatedSlot, record: RunRecord): void {
        const { incarnation, runStore } = slot;
        const emit = (frame: FrameBody) => {
            if (slot.incarnation === incarnation && slot.runStore === runStore) {
                const { requestId, attempt, next: sequence } = record;
                const fullFrame = { ...frame, requestId, attempt, sequence } as Frame;
                recordFrame(runStore!, record, fullFrame, this.now);
                slot.listeners.get(record)?.forEach(listener => listener(fullFrame));
            }
        };
        emit({ kind: "accepted", incarnation: runStore!.incarnation });
        const draw = this.random.next();
        if (draw < 0.15) {
            this.schedule(
                5,
                () => emit({ kind: "failed", outcome: RunOutcome.notRun, status: 503, title: "full or unreachable" }),
            );
            return;
        }
        const failed = { kind: "failed", outcome: RunOutcome.unknown, status: 502, title: "lost" } as const;
        if (draw < 0.25) {
            this.schedule(5, () => emit(failed));
            return;
        }
        this.schedule(this.random.next() * 800, () => {
            if (slot.incarnation === incarnation && slot.runStore === runStore || this.random.next() < 0.5) {
                request.effects += 1;
            }
        });
        this.scheduleResponse(emit, record, draw < 0.35 ? failed : undefined);
    }

    private scheduleResponse(
        emit: (frame: FrameBody) => void,
        record: RunRecord,
        failed: FrameBody | undefined,
    ): void {
        const chunks = createResponseChunks(record.requestId, record.attempt);
        let delayMs = 800;
        this.schedule(delayMs, () => emit({ kind: "head", status: 200, headers: {} }));
        for (const [index, data] of chunks.entries()) {
            delayMs += 300;
            if (failed === undefined || index < 2) {
                this.schedule(delayMs, () => emit({ kind: "data", data }));
            }
        }
        const length = chunks.join("").length;
        const load = {
            incarnation: "",
            tokensInFlight: 0,
            requestsInFlight: 0,
            queued: 0,
            state: "live",
            serviceMs: 0,
        } as const;
        this.schedule(delayMs + 1, () => emit(failed ?? { kind: "end", length, load }));
    }

    private checkRequest(request: SimulatedRequest): void {
        const { id, outcome, effects, isComplete, body, bodyAttempt, state } = request;
        if (outcome === undefined) {
            this.violations.push(`${id} got no response`);
        }
        if (outcome === RunOutcome.notRun && effects > 0) {
            this.violations.push(`${id} was told not-run and has ${effects} effects`);
        }
        if (!state.idempotent && effects > 1) {
            this.violations.push(`${id} is not idempotent and has ${effects} effects`);
        }
        if (isComplete && body !== createResponseChunks(id, bodyAttempt).join("")) {
            this.violations.push(`${id} has a wrong answer presented as whole`);
        }
    }
}
