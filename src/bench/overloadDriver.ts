/**
 * Drives admission, choice, ejection, the attempt machine and the retry budget over faked time. A slot runs each
 * request for a time of its own, whatever else runs. Left out: connections (a call takes a fixed time), frames of
 * the answer between its head and its end, deadlines at the upstream, configuration, gossip and data centres.
 */
import { createRandom, type Random } from "../core/random.js";
import type { LoadReport } from "../core/types.js";
import {
    advanceAttempt,
    type AttemptAction,
    type AttemptEvent,
    type AttemptState,
    createAttemptState,
} from "../entry/attempt.js";
import { admitRetry, countRequest, createRetryBudget, type RetryBudget } from "../entry/retryBudget.js";
import {
    type AdmissionLimits,
    type AdmissionState,
    admitRequest,
    cancelQueued,
    computeRetryAfter,
    countQueued,
    createAdmission,
    releaseRequest,
    sumTokens,
} from "../routing/admission.js";
import { chooseUpstream } from "../routing/choose.js";
import type { QueuedRequest } from "../routing/fairQueue.js";
import { chooseProbeTargets } from "../routing/probes.js";
import {
    createUpstreamTable,
    markUnreachable,
    recordFinishedTokens,
    recordSentTokens,
    recordUpstreamOutcome,
    updateInstances,
    updateReport,
    type UpstreamTable,
} from "../routing/upstreamTable.js";
import type { FrameBody } from "../wire/messages.js";

export interface Workspace {
    name: string;
    weight: number;
    /** Requests a second over all entries. */
    rate: number;
}

export interface Fault {
    slot: number;
    kind: "gone" | "slow" | "failing";
    /** Times in milliseconds. */
    from: number;
    until: number;
}

export interface Scenario {
    entries: number;
    slots: number;
    limits: AdmissionLimits;
    workspaces: Workspace[];
    faults: Fault[];
    durationMs: number;
    /** Whether callers come back once when told to. */
    returning: boolean;
    ejection: boolean;
    seed: number;
}

/** What became of one request. */
export interface Ending {
    workspace: string;
    arrivedAt: number;
    endedAt: number;
    status: number;
    retries: number;
}

interface Slot {
    admission: AdmissionState;
    /** Answers of what runs or waits, by request and attempt. */
    calls: Map<string, Call>;
    incarnation: number;
}

interface Call {
    waiting: QueuedRequest;
    serviceMs: number;
    onEvent: (event: AttemptEvent) => void;
}

interface Entry {
    table: UpstreamTable;
    budget: RetryBudget;
}

export const meanServiceMs = 200;
const serviceSigma = 0.6;
const callMs = 1;
const resumeMs = 50;
const deadlineMs = 4000;
const slowFactor = 5;
const probeMs = 1000;
const retryRatio = 0.1;
const retryFloorPerSecond = 1;
const maxRetryAfterSeconds = 4;
const tokensPerRequest = 100;

/** Runs a scenario and returns how each request ended. */
export function driveOverload(scenario: Scenario): Ending[] {
    return new OverloadDriver(scenario).run();
}

class OverloadDriver {
    private readonly random: Random;
    private readonly events: (() => void)[][] = [];
    private readonly slots: Slot[];
    private readonly entries: Entry[];
    private readonly endings: Ending[] = [];
    private now = 0;
    private count = 0;

    constructor(private readonly scenario: Scenario) {
        this.random = createRandom(scenario.seed);
        this.slots = Array.from({ length: scenario.slots }, () => this.createSlot());
        this.entries = Array.from({ length: scenario.entries }, () => this.createEntry());
    }

    run(): Ending[] {
        const { workspaces, faults, durationMs } = this.scenario;
        workspaces.forEach(workspace => this.scheduleArrival(workspace));
        faults.filter(f => f.kind === "gone").forEach(f => this.schedule(f.from, () => this.stopSlot(f.slot)));
        this.entries.forEach(entry => this.schedule(this.random.pickIndex(probeMs), () => this.probe(entry)));
        for (; this.now < durationMs + deadlineMs; this.now++) {
            const due = this.events[this.now] ?? [];
            due.forEach(event => event());
            delete this.events[this.now];
        }
        return this.endings;
    }

    private schedule(at: number, event: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(at));
        (this.events[tick] ??= []).push(event);
    }

    private scheduleArrival(workspace: Workspace): void {
        const at = this.now + this.random.sampleExponential(1000 / workspace.rate);
        if (at < this.scenario.durationMs) {
            this.schedule(at, () => {
                this.startRequest(workspace, !this.scenario.returning);
                this.scheduleArrival(workspace);
            });
        }
    }

    private startRequest(workspace: Workspace, returned: boolean): void {
        const entry = this.entries[this.random.pickIndex(this.entries.length)];
        const id = String(this.count++);
        const serviceMs = meanServiceMs * this.sampleFactor();
        countRequest(entry.budget, this.now);
        const request = new DrivenRequest(id, workspace, this.now, serviceMs, returned);
        this.schedule(this.now + deadlineMs, () => this.apply(entry, request, { kind: "deadline" }));
        this.choose(entry, request);
    }

    private choose(entry: Entry, request: DrivenRequest): void {
        const { table, budget } = entry;
        const retryAfterSeconds = 1 + this.random.pickIndex(maxRetryAfterSeconds);
        if (request.state.attempt > 1 && !admitRetry(budget, this.now)) {
            this.apply(entry, request, { kind: "retry-refused", retryAfterSeconds });
            return;
        }
        const choice = {
            pool: "p",
            dataCentre: "a",
            spill: "never" as const,
            tokens: tokensPerRequest,
            excluded: request.tried,
            avoidsFull: request.refused,
        };
        const upstream = chooseUpstream(table, choice, this.now, this.random.next);
        if (upstream === undefined) {
            this.apply(entry, request, { kind: "no-candidate", retryAfterSeconds });
            return;
        }
        request.slot = Number(upstream.instance);
        request.tried.add(upstream.instance);
        recordSentTokens(table, upstream.instance, tokensPerRequest, this.now);
        this.apply(entry, request, { kind: "chosen" });
    }

    private apply(entry: Entry, request: DrivenRequest, event: AttemptEvent): void {
        for (const action of advanceAttempt(request.state, event, this.now)) {
            this.execute(entry, request, action);
        }
    }

    private execute(entry: Entry, request: DrivenRequest, action: AttemptAction): void {
        switch (action.kind) {
            case "choose":
                this.choose(entry, request);
                return;
            case "send":
                request.sends += 1;
                this.schedule(this.now + callMs, () => this.call(entry, request));
                return;
            case "resume":
                this.schedule(this.now + resumeMs, () => this.apply(entry, request, { kind: "unreachable" }));
                return;
            case "relay":
                this.relay(entry, request, action.frame);
                return;
            case "retry":
                this.release(entry, request);
                request.refused = action.reason === "refused";
                this.noteLoss(entry, request, action.reason !== "refused");
                return;
            case "finish":
                this.finish(entry, request, request.status);
                return;
            case "fail":
                this.noteLoss(entry, request, action.status === 502);
                this.finish(entry, request, action.status, action.retryAfterSeconds);
                return;
        }
    }

    private relay(
        entry: Entry,
        request: DrivenRequest,
        frame: Extract<AttemptAction, { kind: "relay"; }>["frame"],
    ): void {
        const { table } = entry;
        const instance = String(request.slot);
        if (frame.kind === "head") {
            request.status = frame.status;
            if (this.scenario.ejection) {
                const outcome = { failed: frame.status >= 500, latencyMs: this.now - request.sentAt };
                recordUpstreamOutcome(table, instance, outcome, this.now);
            }
        }
        if (frame.kind === "end") {
            updateReport(table, instance, frame.load, this.now);
        }
    }

    private noteLoss({ table }: Entry, { slot }: DrivenRequest, lost: boolean): void {
        if (lost) {
            markUnreachable(table, String(slot), this.now);
            recordUpstreamOutcome(table, String(slot), { failed: true }, this.now);
        }
    }

    private call(entry: Entry, request: DrivenRequest): void {
        const slot = this.slots[request.slot];
        const { attempt } = request.state;
        request.sentAt = this.now;
        let sequence = 0;
        const send = (body: FrameBody) =>
            this.schedule(this.now + callMs, () => {
                const frame = { ...body, requestId: request.id, attempt, sequence: sequence++ };
                this.apply(entry, request, { kind: "frame", frame });
            });
        if (this.hasFault(request.slot, "gone")) {
            this.apply(entry, request, { kind: "unreachable" });
            return;
        }
        if (this.hasFault(request.slot, "failing")) {
            send({ kind: "head", status: 500, headers: {} });
            send({ kind: "end", length: 0, load: this.report(slot) });
            return;
        }
        this.admit(
            slot,
            request,
            event =>
                event.kind === "frame" ?
                    send(event.frame) :
                    attempt === request.state.attempt && this.apply(entry, request, event),
        );
    }

    private admit(slot: Slot, request: DrivenRequest, onEvent: (event: AttemptEvent) => void): void {
        const { name, weight } = request.workspace;
        const id = `${request.id}/${request.state.attempt}`;
        const expiresAt = this.now + (request.state.deadline - this.now) / 2;
        const waiting = {
            id,
            workspace: name,
            weight,
            urgency: 3,
            tokens: tokensPerRequest,
            arrivedAt: this.now,
            expiresAt,
        };
        const serviceMs = request.serviceMs * (this.hasFault(request.slot, "slow") ? slowFactor : 1);
        slot.calls.set(id, { waiting, serviceMs, onEvent });
        const { decision, evicted } = admitRequest(slot.admission, waiting, this.now);
        if (decision === "run") {
            this.runCall(slot, id);
        }
        else if (decision === "refuse") {
            this.refuse(slot, waiting);
        }
        else {
            this.schedule(expiresAt, () => cancelQueued(slot.admission, id) && this.refuse(slot, waiting));
        }
        evicted.forEach(other => this.refuse(slot, other));
    }

    private runCall(slot: Slot, id: string): void {
        const call = slot.calls.get(id)!;
        const { incarnation } = slot;
        this.schedule(this.now + call.serviceMs, () => {
            if (slot.incarnation !== incarnation) {
                return;
            }
            slot.calls.delete(id);
            const { started, expired } = releaseRequest(slot.admission, id, this.now);
            call.onEvent(createFrame({ kind: "head", status: 200, headers: {} }));
            call.onEvent(createFrame({ kind: "end", length: 0, load: this.report(slot) }));
            started.forEach(item => this.runCall(slot, item.id));
            expired.forEach(item => this.refuse(slot, item));
        });
    }

    private refuse(slot: Slot, { id, workspace, weight }: QueuedRequest): void {
        const call = slot.calls.get(id);
        slot.calls.delete(id);
        const retryAfterSeconds = computeRetryAfter(slot.admission, workspace, weight, this.random.next());
        call?.onEvent(createFrame({ kind: "failed", outcome: "not-run", status: 503, title: "", retryAfterSeconds }));
    }

    private stopSlot(index: number): void {
        const slot = this.slots[index];
        const calls = [...slot.calls.values()];
        slot.admission = createAdmission(this.scenario.limits);
        slot.calls = new Map();
        slot.incarnation += 1;
        calls.forEach(call => call.onEvent({ kind: "broken" }));
    }

    private finish(entry: Entry, request: DrivenRequest, status: number, retryAfterSeconds?: number): void {
        this.release(entry, request);
        const { workspace, arrivedAt, sends } = request;
        this.endings.push({
            workspace: workspace.name,
            arrivedAt,
            endedAt: this.now,
            status,
            retries: Math.max(0, sends - 1),
        });
        if (retryAfterSeconds !== undefined && !request.returned) {
            this.schedule(this.now + retryAfterSeconds * 1000, () => this.startRequest(workspace, true));
        }
    }

    private release({ table }: Entry, request: DrivenRequest): void {
        if (request.slot >= 0) {
            recordFinishedTokens(table, String(request.slot), tokensPerRequest, this.now);
        }
    }

    private probe(entry: Entry): void {
        for (const { instance } of chooseProbeTargets(entry.table.upstreams.values(), this.now)) {
            if (!this.hasFault(Number(instance), "gone")) {
                updateReport(entry.table, instance, this.report(this.slots[Number(instance)]), this.now);
            }
        }
        this.schedule(this.now + probeMs, () => this.probe(entry));
    }

    private report({ admission, incarnation }: Slot): LoadReport {
        return {
            incarnation: String(incarnation),
            tokensInFlight: sumTokens(admission),
            requestsInFlight: admission.running.size,
            queued: countQueued(admission),
            state: "live",
            serviceMs: meanServiceMs,
        };
    }

    private hasFault(slot: number, kind: Fault["kind"]): boolean {
        return this.scenario.faults.some(f =>
            f.slot === slot && f.kind === kind && this.now >= f.from && this.now < f.until
        );
    }

    private createSlot(): Slot {
        return { admission: createAdmission(this.scenario.limits), calls: new Map(), incarnation: 0 };
    }

    private createEntry(): Entry {
        const table = createUpstreamTable();
        const record = { role: "slot" as const, dataCentre: "a", url: "", state: "live" as const, pool: "p" };
        updateInstances(table, this.slots.map((slot, index) => ({ ...record, instance: String(index) })));
        this.slots.forEach((slot, index) => updateReport(table, String(index), this.report(slot), 0));
        return { table, budget: createRetryBudget(retryRatio, retryFloorPerSecond) };
    }

    /** Samples a log-normal factor with mean 1. */
    private sampleFactor(): number {
        const { next } = this.random;
        const normal = Math.sqrt(-2 * Math.log(1 - next())) * Math.cos(2 * Math.PI * next());
        return Math.exp(serviceSigma * normal - serviceSigma ** 2 / 2);
    }
}

class DrivenRequest {
    readonly state: AttemptState;
    readonly tried = new Set<string>();
    slot = -1;
    sentAt = 0;
    sends = 0;
    refused = false;
    status = 0;

    constructor(
        readonly id: string,
        readonly workspace: Workspace,
        readonly arrivedAt: number,
        readonly serviceMs: number,
        /** Whether the caller has been told before to come back, or never does. */
        readonly returned: boolean,
    ) {
        this.state = createAttemptState(true, arrivedAt + deadlineMs, id);
    }
}

/** Wraps a frame; its sequence is set when it is sent. */
function createFrame(body: FrameBody): Extract<AttemptEvent, { kind: "frame"; }> {
    return { kind: "frame", frame: { ...body, requestId: "", attempt: 0, sequence: 0 } };
}
