/**
 * Simulates entries (ingress proxies) and slots (sidecars of upstreams) under overload: runs the modules for admission
 * control, choice of upstreams, ejection, attempts and retry budgets in simulated time. How long a slot runs a request
 * does not depend on its load. Not simulated: connections (each message has a fixed delay), frames of a response
 * between its head and its end, deadlines at the upstream, configuration, gossip and data centres.
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

/** A workspace that sends requests at a constant mean rate. */
export interface SimulatedWorkspace {
    name: string;
    weight: number;
    /** Requests per second at all entries together. */
    requestsPerSecond: number;
}

/** Fault of a slot: it is down, serves slowly, or responds to each request with status 500. */
export interface SlotFault {
    slot: number;
    kind: "gone" | "slow" | "failing";
    /** Start and end of the fault, in milliseconds of simulated time. */
    from: number;
    until: number;
}

/** Cluster, load and faults of a simulation. */
export interface OverloadScenario {
    entries: number;
    slots: number;
    /** Limits of each slot. */
    limits: AdmissionLimits;
    workspaces: SimulatedWorkspace[];
    faults: SlotFault[];
    durationMs: number;
    /** Whether callers retry a request once, after the time in `Retry-After`. */
    callersRetry: boolean;
    /** Whether the statuses of responses are recorded for outlier detection. */
    ejectionEnabled: boolean;
    seed: number;
}

/** Result of one request, with times in milliseconds. */
export interface RequestResult {
    workspace: string;
    arrivedAt: number;
    endedAt: number;
    status: number;
    retries: number;
}

interface SimulatedSlot {
    admission: AdmissionState;
    /** Running and queued calls, by request id and attempt. */
    calls: Map<string, SlotCall>;
    incarnation: number;
}

/** An attempt of a request at a slot. */
interface SlotCall {
    queuedRequest: QueuedRequest;
    serviceMs: number;
    onEvent: (event: AttemptEvent) => void;
}

interface SimulatedEntry {
    table: UpstreamTable;
    budget: RetryBudget;
}

/** Mean service time of a request, in milliseconds. */
export const meanServiceMs = 200;
/** Standard deviation of the logarithm of service times. */
const serviceTimeSigma = 0.6;
/** Delay of each message between an entry and a slot. */
const messageDelayMs = 1;
/** Time after which the resumption of a broken stream fails. */
const resumeTimeoutMs = 50;
const deadlineMs = 4000;
/** Factor by which a slow slot's service time is longer. */
const slowServiceFactor = 5;
const probeIntervalMs = 1000;
const retryRatio = 0.1;
const minRetriesPerSecond = 1;
const maxRetryAfterSeconds = 4;
const tokensPerRequest = 100;

/** Runs a scenario and returns the result of each request. */
export function simulateOverload(scenario: OverloadScenario): RequestResult[] {
    return new OverloadSimulation(scenario).run();
}

class OverloadSimulation {
    private readonly random: Random;
    /** Scheduled events, by the millisecond in which they are due. */
    private readonly eventsByMs: (() => void)[][] = [];
    private readonly slots: SimulatedSlot[];
    private readonly entries: SimulatedEntry[];
    private readonly results: RequestResult[] = [];
    private now = 0;
    private requestCount = 0;

    constructor(private readonly scenario: OverloadScenario) {
        this.random = createRandom(scenario.seed);
        this.slots = Array.from({ length: scenario.slots }, () => this.createSlot());
        this.entries = Array.from({ length: scenario.entries }, () => this.createEntry());
    }

    run(): RequestResult[] {
        const { workspaces, faults, durationMs } = this.scenario;
        workspaces.forEach(workspace => this.scheduleArrival(workspace));
        faults.filter(f => f.kind === "gone").forEach(f => this.scheduleAt(f.from, () => this.crashSlot(f.slot)));
        this.entries.forEach(entry =>
            this.scheduleAt(this.random.pickIndex(probeIntervalMs), () => this.probeSlots(entry))
        );
        for (; this.now < durationMs + deadlineMs; this.now++) {
            const due = this.eventsByMs[this.now] ?? [];
            due.forEach(event => event());
            delete this.eventsByMs[this.now];
        }
        return this.results;
    }

    private scheduleAt(at: number, event: () => void): void {
        const tick = Math.max(this.now + 1, Math.ceil(at));
        (this.eventsByMs[tick] ??= []).push(event);
    }

    private scheduleArrival(workspace: SimulatedWorkspace): void {
        const at = this.now + this.random.sampleExponential(1000 / workspace.requestsPerSecond);
        if (at < this.scenario.durationMs) {
            this.scheduleAt(at, () => {
                this.startRequest(workspace, !this.scenario.callersRetry);
                this.scheduleArrival(workspace);
            });
        }
    }

    private startRequest(workspace: SimulatedWorkspace, isLastTry: boolean): void {
        const entry = this.entries[this.random.pickIndex(this.entries.length)];
        const id = String(this.requestCount++);
        const serviceMs = meanServiceMs * this.sampleLogNormal();
        countRequest(entry.budget, this.now);
        const request = new SimulatedRequest(id, workspace, this.now, serviceMs, isLastTry);
        this.scheduleAt(this.now + deadlineMs, () => this.handleEvent(entry, request, { kind: "deadline" }));
        this.chooseSlot(entry, request);
    }

    private chooseSlot(entry: SimulatedEntry, request: SimulatedRequest): void {
        const { table, budget } = entry;
        const retryAfterSeconds = 1 + this.random.pickIndex(maxRetryAfterSeconds);
        if (request.state.attempt > 1 && !admitRetry(budget, this.now)) {
            this.handleEvent(entry, request, { kind: "retry-refused", retryAfterSeconds });
            return;
        }
        const choice = {
            pool: "p",
            dataCentre: "a",
            spill: "never" as const,
            tokens: tokensPerRequest,
            excluded: request.triedSlots,
            avoidsFull: request.wasRefused,
        };
        const upstream = chooseUpstream(table, choice, this.now, this.random.next);
        if (upstream === undefined) {
            this.handleEvent(entry, request, { kind: "no-candidate", retryAfterSeconds });
            return;
        }
        request.slot = Number(upstream.instance);
        request.triedSlots.add(upstream.instance);
        recordSentTokens(table, upstream.instance, tokensPerRequest, this.now);
        this.handleEvent(entry, request, { kind: "chosen" });
    }

    private handleEvent(entry: SimulatedEntry, request: SimulatedRequest, event: AttemptEvent): void {
        for (const action of advanceAttempt(request.state, event, this.now)) {
            this.executeAction(entry, request, action);
        }
    }

    private executeAction(entry: SimulatedEntry, request: SimulatedRequest, action: AttemptAction): void {
        switch (action.kind) {
            case "choose":
                this.chooseSlot(entry, request);
                return;
            case "send":
                request.sendCount += 1;
                this.scheduleAt(this.now + messageDelayMs, () => this.callSlot(entry, request));
                return;
            case "resume":
                this.scheduleAt(
                    this.now + resumeTimeoutMs,
                    () => this.handleEvent(entry, request, { kind: "unreachable" }),
                );
                return;
            case "relay":
                this.relayFrame(entry, request, action.frame);
                return;
            case "retry":
                this.releaseTokens(entry, request);
                request.wasRefused = action.reason === "refused";
                this.recordFailure(entry, request, action.reason !== "refused");
                return;
            case "finish":
                this.finishRequest(entry, request, request.status);
                return;
            case "fail":
                this.recordFailure(entry, request, action.status === 502);
                this.finishRequest(entry, request, action.status, action.retryAfterSeconds);
                return;
        }
    }

    private relayFrame(
        entry: SimulatedEntry,
        request: SimulatedRequest,
        frame: Extract<AttemptAction, { kind: "relay"; }>["frame"],
    ): void {
        const { table } = entry;
        const instance = String(request.slot);
        if (frame.kind === "head") {
            request.status = frame.status;
            if (this.scenario.ejectionEnabled) {
                const outcome = { failed: frame.status >= 500, latencyMs: this.now - request.sentAt };
                recordUpstreamOutcome(table, instance, outcome, this.now);
            }
        }
        if (frame.kind === "end") {
            updateReport(table, instance, frame.load, this.now);
        }
    }

    /** If the attempt was lost, marks its slot as unreachable and records the failure. */
    private recordFailure({ table }: SimulatedEntry, { slot }: SimulatedRequest, lost: boolean): void {
        if (lost) {
            markUnreachable(table, String(slot), this.now);
            recordUpstreamOutcome(table, String(slot), { failed: true }, this.now);
        }
    }

    private callSlot(entry: SimulatedEntry, request: SimulatedRequest): void {
        const slot = this.slots[request.slot];
        const { attempt } = request.state;
        request.sentAt = this.now;
        let sequence = 0;
        const send = (body: FrameBody) =>
            this.scheduleAt(this.now + messageDelayMs, () => {
                const frame = { ...body, requestId: request.id, attempt, sequence: sequence++ };
                this.handleEvent(entry, request, { kind: "frame", frame });
            });
        if (this.hasFault(request.slot, "gone")) {
            this.handleEvent(entry, request, { kind: "unreachable" });
            return;
        }
        if (this.hasFault(request.slot, "failing")) {
            send({ kind: "head", status: 500, headers: {} });
            send({ kind: "end", length: 0, load: this.createReport(slot) });
            return;
        }
        this.admitCall(
            slot,
            request,
            event =>
                event.kind === "frame" ?
                    send(event.frame) :
                    attempt === request.state.attempt && this.handleEvent(entry, request, event),
        );
    }

    private admitCall(slot: SimulatedSlot, request: SimulatedRequest, onEvent: (event: AttemptEvent) => void): void {
        const { name, weight } = request.workspace;
        const id = `${request.id}/${request.state.attempt}`;
        const expiresAt = this.now + (request.state.deadline - this.now) / 2;
        const queuedRequest = {
            id,
            workspace: name,
            weight,
            urgency: 3,
            tokens: tokensPerRequest,
            arrivedAt: this.now,
            expiresAt,
        };
        const serviceMs = request.serviceMs * (this.hasFault(request.slot, "slow") ? slowServiceFactor : 1);
        slot.calls.set(id, { queuedRequest, serviceMs, onEvent });
        const { decision, evicted } = admitRequest(slot.admission, queuedRequest, this.now);
        if (decision === "run") {
            this.runCall(slot, id);
        }
        else if (decision === "refuse") {
            this.refuseCall(slot, queuedRequest);
        }
        else {
            this.scheduleAt(expiresAt, () => cancelQueued(slot.admission, id) && this.refuseCall(slot, queuedRequest));
        }
        evicted.forEach(other => this.refuseCall(slot, other));
    }

    private runCall(slot: SimulatedSlot, id: string): void {
        const call = slot.calls.get(id)!;
        const { incarnation } = slot;
        this.scheduleAt(this.now + call.serviceMs, () => {
            if (slot.incarnation !== incarnation) {
                return;
            }
            slot.calls.delete(id);
            const { started, expired } = releaseRequest(slot.admission, id, this.now);
            call.onEvent(createFrame({ kind: "head", status: 200, headers: {} }));
            call.onEvent(createFrame({ kind: "end", length: 0, load: this.createReport(slot) }));
            started.forEach(item => this.runCall(slot, item.id));
            expired.forEach(item => this.refuseCall(slot, item));
        });
    }

    private refuseCall(slot: SimulatedSlot, { id, workspace, weight }: QueuedRequest): void {
        const call = slot.calls.get(id);
        slot.calls.delete(id);
        const retryAfterSeconds = computeRetryAfter(slot.admission, workspace, weight, this.random.next());
        call?.onEvent(createFrame({ kind: "failed", outcome: "not-run", status: 503, title: "", retryAfterSeconds }));
    }

    /** Restarts a slot without its calls; their connections break. */
    private crashSlot(index: number): void {
        const slot = this.slots[index];
        const calls = [...slot.calls.values()];
        slot.admission = createAdmission(this.scenario.limits);
        slot.calls = new Map();
        slot.incarnation += 1;
        calls.forEach(call => call.onEvent({ kind: "broken" }));
    }

    private finishRequest(
        entry: SimulatedEntry,
        request: SimulatedRequest,
        status: number,
        retryAfterSeconds?: number,
    ): void {
        this.releaseTokens(entry, request);
        const { workspace, arrivedAt, sendCount } = request;
        this.results.push({
            workspace: workspace.name,
            arrivedAt,
            endedAt: this.now,
            status,
            retries: Math.max(0, sendCount - 1),
        });
        if (retryAfterSeconds !== undefined && !request.isLastTry) {
            this.scheduleAt(this.now + retryAfterSeconds * 1000, () => this.startRequest(workspace, true));
        }
    }

    private releaseTokens({ table }: SimulatedEntry, request: SimulatedRequest): void {
        if (request.slot >= 0) {
            recordFinishedTokens(table, String(request.slot), tokensPerRequest, this.now);
        }
    }

    private probeSlots(entry: SimulatedEntry): void {
        for (const { instance } of chooseProbeTargets(entry.table.upstreams.values(), this.now)) {
            if (!this.hasFault(Number(instance), "gone")) {
                updateReport(entry.table, instance, this.createReport(this.slots[Number(instance)]), this.now);
            }
        }
        this.scheduleAt(this.now + probeIntervalMs, () => this.probeSlots(entry));
    }

    private createReport({ admission, incarnation }: SimulatedSlot): LoadReport {
        return {
            incarnation: String(incarnation),
            tokensInFlight: sumTokens(admission),
            requestsInFlight: admission.running.size,
            queued: countQueued(admission),
            state: "live",
            serviceMs: meanServiceMs,
        };
    }

    private hasFault(slot: number, kind: SlotFault["kind"]): boolean {
        return this.scenario.faults.some(f =>
            f.slot === slot && f.kind === kind && this.now >= f.from && this.now < f.until
        );
    }

    private createSlot(): SimulatedSlot {
        return { admission: createAdmission(this.scenario.limits), calls: new Map(), incarnation: 0 };
    }

    private createEntry(): SimulatedEntry {
        const table = createUpstreamTable();
        const record = { role: "slot" as const, dataCentre: "a", url: "", state: "live" as const, pool: "p" };
        updateInstances(table, this.slots.map((slot, index) => ({ ...record, instance: String(index) })));
        this.slots.forEach((slot, index) => updateReport(table, String(index), this.createReport(slot), 0));
        return { table, budget: createRetryBudget(retryRatio, minRetriesPerSecond) };
    }

    /** Samples a log-normal factor with mean 1. */
    private sampleLogNormal(): number {
        const { next } = this.random;
        const normal = Math.sqrt(-2 * Math.log(1 - next())) * Math.cos(2 * Math.PI * next());
        return Math.exp(serviceTimeSigma * normal - serviceTimeSigma ** 2 / 2);
    }
}

class SimulatedRequest {
    readonly state: AttemptState;
    readonly triedSlots = new Set<string>();
    /** Index of the slot chosen last; -1 before the first choice. */
    slot = -1;
    sentAt = 0;
    sendCount = 0;
    wasRefused = false;
    status = 0;

    constructor(
        readonly id: string,
        readonly workspace: SimulatedWorkspace,
        readonly arrivedAt: number,
        readonly serviceMs: number,
        /** Whether the caller will not retry: it has already retried once, or never does. */
        readonly isLastTry: boolean,
    ) {
        this.state = createAttemptState(true, arrivedAt + deadlineMs, id);
    }
}

/** Wraps a frame in an event; request id, attempt and sequence number are set when it is sent. */
function createFrame(body: FrameBody): Extract<AttemptEvent, { kind: "frame"; }> {
    return { kind: "frame", frame: { ...body, requestId: "", attempt: 0, sequence: 0 } };
}
