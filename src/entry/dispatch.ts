/**
 * Last filter of an entry: sends a request to slots (the upstreams' sidecars) and relays the response, as the state
 * machine of attempts directs.
 */
import { RunOutcome } from "../core/types.js";
import type { Metrics } from "../observe/metrics.js";
import { hashPromptPrefix } from "../routing/affinity.js";
import { type ChoiceCriteria, chooseUpstream, estimateCost, isPaused } from "../routing/choose.js";
import type { AttemptOutcome } from "../routing/ejection.js";
import {
    markUnreachable,
    recordFinishedTokens,
    recordSentTokens,
    recordUpstreamOutcome,
    updateReport,
    type UpstreamState,
    type UpstreamTable,
} from "../routing/upstreamTable.js";
import { resetConnection } from "../wire/interruptResponse.js";
import type { Frame } from "../wire/messages.js";
import { findRequestedPause } from "../wire/pauseField.js";
import type { RpcIdentity } from "../wire/rpc.js";
import {
    advanceAttempt,
    type AttemptAction,
    type AttemptEvent,
    createAttemptState,
    isSlotSilent,
    Phase,
    RetryReason,
} from "./attempt.js";
import { cancelRun, type OpenRun } from "./cancelRun.js";
import { DispatchMemory } from "./dispatchMemory.js";
import { beginAttempt, beginRecord, endAttempt, endRecord, type Journal, type JournalRecord } from "./journal.js";
import { PromptObserver } from "./promptObserver.js";
import { parsePromptHead, type PromptHead, type PromptQuarantine } from "./promptQuarantine.js";
import { relayFrame, sendProblem } from "./relay.js";
import { admitRetry, countRequest, type RetryBudget } from "./retryBudget.js";
import { isIdempotent } from "./route.js";
import { createRunParams } from "./runParams.js";
import type { SlotClient, SlotStream } from "./slotClient.js";
import type { Exchange } from "./types.js";

/** A resumption is delayed by this time multiplied by its number, in milliseconds; the first one is immediate. */
const resumeBackoffMs = 50;
/** Maximum `retry-after` when the retry budget is used up or no upstream is available, in seconds; drawn at random. */
const maxRetryAfterSeconds = 4;

/**
 * Reasons of retries that add no load and may go to the same slot: the previous attempt never reached it, or its upstream
 * has asked for a pause, which the load report of the slot shows.
 */
const unbudgetedRetries = new Set<RetryReason>([RetryReason.neverArrived, RetryReason.paused]);

/** What the dispatch of requests depends on. */
export interface DispatchContext {
    identity: RpcIdentity;
    dataCentre: string;
    table: UpstreamTable;
    slots: SlotClient;
    metrics: Metrics;
    retryBudget: RetryBudget;
    journal: Journal;
    quarantine: PromptQuarantine;
    /** Called when an upstream is ejected. */
    onEjection?: (instance: string, reason: string) => void;
}

/**
 * Dispatches a request; resolves when its response was written or has failed, or the caller has disconnected. Rejects with an
 * error that a step of the request has thrown, which ends this request alone.
 */
export function dispatchRequest(context: DispatchContext, exchange: Exchange): Promise<void> {
    return new Promise((resolve, reject) => new Dispatch(context, exchange, resolve, reject).begin());
}

type ActionHandlers = {
    [K in AttemptAction["kind"]]: (action: Extract<AttemptAction, { kind: K; }>) => void;
};

/** Executes the actions of one request's state machine and feeds events back to it. */
class Dispatch {
    private readonly state;
    private readonly triedInstances = new Set<string>();
    private readonly record: JournalRecord;
    private upstream: UpstreamState | undefined;
    private incarnation: string | undefined;
    private stream: SlotStream | undefined;
    /** Run of the current attempt, from its call until its last frame. */
    private openRun: OpenRun | undefined;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private retryReason: RetryReason | undefined;
    /** Whether the retry budget has admitted the next retry. */
    private hasAcquiredRetry = false;
    private readonly prompt: PromptHead;
    private readonly promptObserver: PromptObserver;
    private sentAt = 0;
    private isStreamPaused = false;
    /** Whether the slot of the current attempt has reported that its upstream failed. */
    private hasSlotReportedFailure = false;
    private ended = false;
    private readonly memory: DispatchMemory;

    private readonly handlers: ActionHandlers = {
        choose: () => this.choose(),
        send: () => this.send(),
        resume: action => this.scheduleResume(action.nextSequence),
        relay: action => this.relay(action.frame),
        drop: () => this.context.metrics.droppedFrames.inc(),
        retry: action => this.prepareRetry(action.reason),
        cancel: () => this.cancel(),
        finish: () => this.finish("run", "answered"),
        fail: action => this.fail(action),
    };

    constructor(
        private readonly context: DispatchContext,
        private readonly exchange: Exchange,
        private readonly resolve: () => void,
        private readonly reject: (error: Error) => void,
    ) {
        const { route, message, receivedAt, requestId } = exchange;
        this.memory = new DispatchMemory(exchange);
        this.prompt = parsePromptHead(exchange);
        this.promptObserver = new PromptObserver(context.quarantine, this.prompt);
        const idempotent = isIdempotent(message.method ?? "GET", route!);
        this.state = createAttemptState(idempotent, receivedAt + route!.deadlineSeconds * 1000, requestId);
        this.record = beginRecord(context.journal, {
            requestId,
            workspace: exchange.workspace!.name,
            route: route!.path,
            receivedAt,
        });
    }

    begin(): void {
        if (this.exchange.response.destroyed) {
            this.handleCallerClose();
            return;
        }
        countRequest(this.context.retryBudget, Date.now());
        this.exchange.setEvictor(this.contain(() => this.evict()));
        this.deadlineTimer = setTimeout(this.contain(() => this.handleDeadline()), this.state.deadline - Date.now());
        this.exchange.response.on("close", this.contain(() => this.handleCallerClose()));
        this.exchange.response.on("drain", () => this.handleCallerDrain());
        this.contain(() => this.choose())();
    }

    /** Wraps a step of the request so that an error which it throws ends this request alone. */
    private contain<Args extends unknown[]>(step: (...args: Args) => void): (...args: Args) => void {
        return (...args) => {
            try {
                step(...args);
            }
            catch (error) {
                this.endWithFault(error as Error);
            }
        };
    }

    private endWithFault(error: Error): void {
        if (!this.ended) {
            this.ended = true;
            this.state.phase = "done";
            endAttempt(this.record, error.message, Date.now());
            endRecord(this.context.journal, this.record, RunOutcome.unknown, false);
            this.releaseAttempt();
        }
        this.reject(error);
    }

    private apply(event: AttemptEvent): void {
        for (const action of advanceAttempt(this.state, event, Date.now())) {
            this.handlers[action.kind](action as never);
        }
    }

    private choose(): void {
        const { table, retryBudget } = this.context;
        const { tokens } = this.exchange;
        const now = Date.now();
        const retryAfterSeconds = 1 + Math.floor(Math.random() * maxRetryAfterSeconds);
        const obstacle = this.context.quarantine.findObstacle(this.prompt, this.state.earlierAttemptMayHaveRun);
        if (obstacle !== undefined) {
            this.apply({ kind: "obstructed", ...obstacle });
            return;
        }
        const hasRetryBudget = this.hasAcquiredRetry;
        this.hasAcquiredRetry = false;
        if (this.needsRetryBudget() && !hasRetryBudget && !admitRetry(retryBudget, now)) {
            this.apply({ kind: "retry-refused", retryAfterSeconds });
            return;
        }
        this.upstream = chooseUpstream(table, this.createCriteria(), now, Math.random);
        if (this.upstream === undefined) {
            this.apply({ kind: "no-candidate", retryAfterSeconds });
            return;
        }
        const cost = `estimated cost ${estimateCost(this.upstream)} tokens`;
        const reason = this.retryReason === undefined ? cost : `retry (${this.retryReason}), ${cost}`;
        beginAttempt(this.record, this.upstream.instance, reason, now);
        this.triedInstances.add(this.upstream.instance);
        this.incarnation = this.upstream.report?.incarnation;
        recordSentTokens(table, this.upstream.instance, tokens, Date.now());
        this.apply({ kind: "chosen" });
    }

    private createCriteria(): ChoiceCriteria {
        const { route, tokens, body } = this.exchange;
        return {
            pool: route!.pool,
            dataCentre: this.context.dataCentre,
            spill: route!.spill,
            tokens,
            excluded: this.triedInstances,
            prefix: hashPromptPrefix(body),
            avoidsFull: this.retryReason === RetryReason.refused,
        };
    }

    /** Whether another slot can take the request of a silent one; the retry budget has then admitted the retry. */
    private acquireRetryElsewhere(): boolean {
        const now = Date.now();
        this.hasAcquiredRetry =
            chooseUpstream(this.context.table, this.createCriteria(), now, Math.random) !== undefined &&
            admitRetry(this.context.retryBudget, now);
        return this.hasAcquiredRetry;
    }

    /** Whether the attempt is a retry that adds load. */
    private needsRetryBudget(): boolean {
        return this.retryReason !== undefined && !unbudgetedRetries.has(this.retryReason);
    }

    private send(): void {
        const { url, instance } = this.upstream!;
        const canWaitForPause = isPaused(this.upstream!, Date.now());
        const params = createRunParams(this.exchange, this.state, this.incarnation, canWaitForPause);
        if (!this.memory.addMessage()) {
            return;
        }
        this.sentAt = Date.now();
        this.promptObserver.beginAttempt();
        const { requestId, attempt, incarnation } = params;
        this.openRun = { requestId, attempt, incarnation, url, instance };
        this.stream = this.context.slots.run(url, params, this.createListener(), instance);
    }

    /** Gives up the request, or what its caller has not read of the response, because the process is short of memory. */
    private evict(): void {
        if (this.ended) {
            resetConnection(this.exchange.response);
            return;
        }
        const isSent = this.openRun !== undefined || this.state.earlierAttemptMayHaveRun;
        this.state.phase = Phase.done;
        this.fail({
            kind: "fail",
            outcome: isSent ? RunOutcome.unknown : RunOutcome.notRun,
            status: isSent ? 500 : 503,
            title: "The entry is short of memory",
            retryAfterSeconds: isSent ? undefined : 1,
        });
    }

    private scheduleResume(nextSequence: number): void {
        const { resumes } = this.state;
        this.context.metrics.resumes.inc();
        this.stream?.abandon();
        setTimeout(this.contain(() => this.resume(nextSequence)), resumes === 1 ? 0 : resumeBackoffMs * resumes);
    }

    private resume(nextSequence: number): void {
        if (this.ended) {
            return;
        }
        const { attempt } = this.state;
        const params = { requestId: this.exchange.requestId, attempt, incarnation: this.incarnation, nextSequence };
        const { url, instance } = this.upstream!;
        this.stream = this.context.slots.resume(url, params, this.createListener(), instance);
    }

    private createListener() {
        const { attempt } = this.state;
        return {
            onFrame: this.contain((frame: Frame) => {
                const isOwn = frame.requestId === this.exchange.requestId && frame.attempt === this.state.attempt;
                if (isOwn && frame.kind === "accepted") {
                    this.incarnation = frame.incarnation;
                }
                if (isOwn && (frame.kind === "end" || frame.kind === "failed")) {
                    this.openRun = undefined;
                }
                if (isOwn && frame.kind === "failed") {
                    this.recordFailedFrame(frame);
                }
                if (isOwn && this.upstream !== undefined) {
                    this.promptObserver.observe(frame, this.upstream.instance, this.incarnation);
                }
                this.apply({ kind: "frame", frame });
            }),
            onBroken: this.contain((sent: boolean) => {
                if (attempt === this.state.attempt && !this.ended) {
                    const canLeaveSlot = isSlotSilent(this.state) && this.acquireRetryElsewhere();
                    this.apply({ kind: sent ? "broken" : "unreachable", canLeaveSlot });
                }
            }),
        };
    }

    /** Status 502 is attributed to the upstream, so it counts towards its ejection. */
    private recordFailedFrame({ status, title, incarnation, load }: Extract<Frame, { kind: "failed"; }>): void {
        if (load !== undefined && this.upstream !== undefined) {
            updateReport(this.context.table, this.upstream.instance, load, Date.now());
        }
        if (status === 502 && this.upstream !== undefined) {
            this.hasSlotReportedFailure = true;
            this.recordAttemptOutcome({ failed: true }, title);
        }
        this.handleSlotRestart(incarnation);
    }

    /**
     * A failed frame from another incarnation than the attempt named shows that the slot has restarted and is idle.
     * Resets its load report, unless a probe has already brought one of the new incarnation, and allows another attempt
     * at it.
     */
    private handleSlotRestart(incarnation: string | undefined): void {
        const lastReport = this.upstream?.report;
        if (incarnation === undefined || lastReport === undefined || incarnation === this.incarnation) {
            return;
        }
        const { instance } = this.upstream!;
        if (incarnation !== lastReport.incarnation) {
            const report = { ...lastReport, incarnation, tokensInFlight: 0, requestsInFlight: 0, queued: 0 };
            updateReport(this.context.table, instance, report, Date.now());
        }
        this.triedInstances.delete(instance);
    }

    private relay(frame: Frame): void {
        const { response, requestId, receivedAt } = this.exchange;
        if (frame.kind === "head") {
            const now = Date.now();
            this.context.metrics.firstByteSeconds.observe((now - receivedAt) / 1000);
            const outcome = { failed: frame.status >= 500 && !isPauseRequest(frame), latencyMs: now - this.sentAt };
            this.recordAttemptOutcome(
                outcome,
                outcome.failed ? `it answers ${frame.status}` : "it is slow beside its peers",
            );
        }
        if (frame.kind === "end") {
            updateReport(this.context.table, this.upstream!.instance, frame.load, Date.now());
        }
        try {
            relayFrame(response, requestId, frame);
        }
        catch {
            this.state.phase = "done";
            this.fail({ kind: "fail", outcome: "run", status: 502, title: "HTTP cannot carry the answer" });
            return;
        }
        this.memory.updateResponse();
        if (response.writableNeedDrain && !this.isStreamPaused) {
            this.isStreamPaused = true;
            this.stream?.pause();
        }
    }

    private handleCallerDrain(): void {
        this.isStreamPaused = false;
        this.stream?.resume();
    }

    private prepareRetry(reason: RetryReason): void {
        this.context.metrics.retries.inc({ reason });
        endAttempt(this.record, reason, Date.now());
        this.retryReason = reason;
        if (unbudgetedRetries.has(reason)) {
            this.triedInstances.delete(this.upstream!.instance);
        }
        else if (reason !== RetryReason.refused) {
            this.recordLostSlot(reason);
        }
        this.releaseAttempt();
    }

    private fail(action: Extract<AttemptAction, { kind: "fail"; }>): void {
        const isSlotAtFault = action.outcome !== "run" && action.status === 502 && !this.hasSlotReportedFailure;
        if (isSlotAtFault && this.upstream !== undefined) {
            this.recordLostSlot(action.title);
        }
        sendProblem(this.exchange.response, this.exchange.requestId, action);
        this.finish(action.outcome, action.title);
    }

    /** Marks the slot of the current attempt as unreachable, and counts the failure towards its ejection. */
    private recordLostSlot(reason: string): void {
        markUnreachable(this.context.table, this.upstream!.instance, Date.now());
        this.recordAttemptOutcome({ failed: true }, reason);
    }

    /** Records an outcome for the outlier detection, and reports the upstream if it is ejected as a result. */
    private recordAttemptOutcome(outcome: AttemptOutcome, reason: string): void {
        const { instance } = this.upstream!;
        if (recordUpstreamOutcome(this.context.table, instance, outcome, Date.now())) {
            this.context.onEjection?.(instance, reason);
        }
    }

    /** Releases the load that the current attempt has at its upstream, closes its stream and cancels its run. */
    private releaseAttempt(): void {
        if (this.upstream !== undefined) {
            recordFinishedTokens(this.context.table, this.upstream.instance, this.exchange.tokens, Date.now());
        }
        this.stream?.abandon();
        this.stream = undefined;
        this.memory.releaseMessage();
        this.cancel();
        this.upstream = undefined;
        this.hasSlotReportedFailure = false;
    }

    private finish(outcome: string, verdict: string): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        endAttempt(this.record, verdict, Date.now());
        endRecord(this.context.journal, this.record, outcome, verdict === "answered");
        this.releaseAttempt();
        this.memory.releaseBody();
        this.context.metrics.requests.inc({ outcome });
        this.resolve();
    }

    /** Cancels the run of the current attempt unless it has ended or been cancelled. */
    private cancel(): void {
        if (this.openRun !== undefined) {
            void cancelRun(this.context.identity, this.openRun);
            this.openRun = undefined;
        }
    }

    /** Fails a request in progress; resets the connection if the caller has not read the finished response yet. */
    private handleDeadline(): void {
        if (this.ended) {
            resetConnection(this.exchange.response);
            return;
        }
        this.apply({ kind: "deadline" });
    }

    private handleCallerClose(): void {
        clearTimeout(this.deadlineTimer);
        this.apply({ kind: "caller-gone" });
        this.finish("caller-gone", "the caller has gone");
    }
}

/** Whether a response asks for a pause, which is no failure of its upstream. */
function isPauseRequest({ status, headers }: Extract<Frame, { kind: "head"; }>): boolean {
    return findRequestedPause(status, [headers["retry-after"] ?? []].flat()).kind === "pause";
}
