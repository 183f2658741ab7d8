/**
 * Forwards one request straight to upstreams, without slots in between, and relays the response, as decided by the
 * request's state machine.
 */
import type { ServerResponse } from "node:http";
import { isRepeatable, RouteKind } from "../config/serving.js";
import { HoldingStage } from "../routing/memoryAccount.js";
import type { PendingRequest } from "../routing/pendingQueue.js";
import { recordSignOfLife } from "../routing/upstreamSilence.js";
import { markReplaced, recordFailure, recordResponse, type TrackedUpstream } from "../routing/upstreamTracker.js";
import type { BodyReader } from "../wire/body.js";
import type { MemoryReservation } from "../wire/callerMemory.js";
import { interruptResponse, resetConnection } from "../wire/interruptResponse.js";
import type { ResponseFraming } from "../wire/responseFraming.js";
import { ResponseMemory } from "../wire/responseMemory.js";
import { emptyBody } from "../wire/segmentedBody.js";
import type { CallerRequest } from "../wire/sequentialRequests.js";
import type { DirectContext } from "./context.js";
import type { AppliedNotice } from "./noticeRecorder.js";
import { findSendObstacle, refuseRequest, type SendObstacle } from "./quarantineGate.js";
import type { AppliedRateLimit } from "./rateLimiter.js";
import {
    advanceDirectRequest,
    AttemptEnd,
    budgetedRetryEnds,
    createDirectRequestState,
    type DirectRequestAction,
    type DirectRequestEvent,
    isRunAllowed,
    upstreamFailureEnds,
} from "./requestState.js";
import { acceptHead } from "./responseHead.js";
import { isOwnSuccess } from "./responseOrigin.js";
import { ResponseRelay } from "./responseRelay.js";
import { computeLatestSendAt } from "./sendDeadline.js";
import type { AttemptRecord, DirectRequest, ResponseHead } from "./types.js";
import {
    beginRun,
    endRun,
    type HeldRun,
    isRunSilent,
    openRun,
    recordRunConnection,
    recordRunFailure,
    type UpstreamRun,
} from "./upstreamRun.js";

/** Time without data until a stream may go on elsewhere, in milliseconds; half of what callers tolerate. */
const streamIdleTimeoutMs = 1000;
/** Interval at which a run without a response is checked for a silent upstream, in milliseconds. */
const silenceCheckIntervalMs = 200;

type ActionHandlers = {
    [K in DirectRequestAction["kind"]]: (action: Extract<DirectRequestAction, { kind: K; }>) => void;
};

/** Dispatch of one request, from its arrival to the end of its response. */
export class DirectDispatch implements PendingRequest {
    readonly arrivalNumber: number;
    readonly urgency: number;
    readonly targetAt: number;
    latestSendAt: number;
    /** Rate limits that kept the request from upstreams when it was last placed. */
    rateLimits: AppliedRateLimit[] = [];
    /** Notices of upstreams that kept the request from them when it was last placed. */
    notices: AppliedNotice[] = [];
    private readonly state;
    private readonly triedUpstreams = new Set<string>();
    private readonly attempts: AttemptRecord[] = [];
    private run: UpstreamRun | undefined;
    private held: HeldRun | undefined;
    private obstacle: SendObstacle | undefined;
    /** Resolves once it is known whether the upstream of the latest lost attempt has crashed. */
    private crashCheck: Promise<void> | undefined;
    private readonly relay: ResponseRelay;
    private readonly response: ServerResponse;
    private readonly reservation: MemoryReservation;
    private readonly bodyReader: BodyReader;
    private readonly responseMemory: ResponseMemory;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private idleTimer: NodeJS.Timeout | undefined;
    private outcome = "";
    /** Whether the request has ended. */
    isReleased = false;

    private readonly actionHandlers: ActionHandlers = {
        place: () => this.context.scheduler.placeAfter(this, this.crashCheck),
        wait: () => this.context.scheduler.enqueue(this),
        "wait-for-group": () => this.context.scheduler.enqueue(this),
        "relay-failure": () => this.relayUpstreamFailure(),
        refuse: () => this.refuse(),
        fail: action => this.fail(action.status),
        cut: () => this.interruptResponse(),
        cancel: () => this.cancelAll(),
        "cancel-held": () => this.cancelHeld(),
        "resume-held": () => this.resumeHeld(),
        finish: () => this.finish(),
    };

    constructor(
        private readonly context: DirectContext,
        readonly request: DirectRequest,
        caller: Pick<CallerRequest, "response" | "reservation" | "body">,
        arrivalNumber: number,
    ) {
        const { response, reservation, body } = caller;
        this.response = response;
        this.reservation = reservation;
        this.bodyReader = body;
        const { route, workspace, head, receivedAt } = request;
        this.arrivalNumber = arrivalNumber;
        this.urgency = workspace?.urgency ?? route.urgency;
        this.targetAt = receivedAt + route.targetMs;
        this.latestSendAt = computeLatestSendAt(context, request, receivedAt);
        this.relay = new ResponseRelay({
            response,
            isStreaming: route.kind === RouteKind.streaming,
            lastEventId: head.lastEventId,
            onBegan: () => this.applyEvent({ kind: "began" }),
            onFull: () => this.run?.call?.pause(),
        });
        this.responseMemory = new ResponseMemory(response, reservation, () => this.relay.countBufferedBytes());
        this.state = createDirectRequestState({
            isRepeatable: isRepeatable(route),
            isResumable: route.isResumable,
            maxRuns: route.maxAttempts,
        });
    }

    /** Starts the deadline timer and sends or queues the request. */
    begin(): void {
        const leftMs = this.request.deadlineAt - this.context.now();
        this.deadlineTimer = setTimeout(this.contain(() => this.applyEvent({ kind: "timeout" })), leftMs);
        this.response.on("close", this.contain(() => this.applyEvent({ kind: "caller-gone" })));
        this.response.on("drain", () => {
            this.run?.call?.resume();
            this.held?.run.call?.resume();
        });
        this.contain(() => {
            this.context.recordFirstAttempt(this.request);
            this.context.scheduler.place(this);
        })();
    }

    /** Gives up the request, or what its caller has not read of the response, because the process is short of memory. */
    evict(): void {
        if (this.isReleased) {
            resetConnection(this.response);
        }
        else {
            this.stop();
        }
    }

    /** Ends the request because no upstream can serve it in time. */
    expire(): void {
        this.contain(() => this.applyEvent({ kind: "expired" }))();
    }

    /** Ends the request because this process stops. */
    stop(): void {
        this.contain(() => this.applyEvent({ kind: "stopped" }))();
    }

    /** Ends the request because a step of it has thrown `error`, which concerns no other request. */
    endWithFault(error: Error): void {
        this.context.reportFault(error, this.request.id);
        try {
            this.applyEvent({ kind: "fault" });
        }
        catch (secondError) {
            this.context.reportFault(secondError as Error, this.request.id);
        }
        if (!this.response.writableEnded && !this.response.destroyed) {
            resetConnection(this.response);
        }
        this.finish();
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

    /**
     * Whether a run may begin: the request has not ended, and no other run feeds its response. A run that is held feeds it
     * only once it has sent data again, and is the current one from then on.
     */
    needsRun(): boolean {
        return !this.isReleased && this.run === undefined;
    }

    /** Ends the request if the quarantine does not let it go to an upstream; returns whether it did. */
    endIfQuarantined(): boolean {
        this.obstacle = findSendObstacle(this.context, this.request, this.state.runs > 0);
        if (this.obstacle !== undefined) {
            this.applyEvent({ kind: "obstructed" });
        }
        return this.obstacle !== undefined;
    }

    /** Returns the ids of the upstreams that the request was sent to. */
    getTriedUpstreams(): ReadonlySet<string> {
        return this.triedUpstreams;
    }

    /** Sends the request to an upstream, at which `estimated` requests are assumed. */
    sendTo(upstream: TrackedUpstream, estimated: number): void {
        const { request, context } = this;
        this.triedUpstreams.add(upstream.record.id);
        const run = beginRun(context, request, upstream, estimated);
        this.run = run;
        this.reservation.setStage(HoldingStage.running);
        this.recordAttempt(run.record);
        this.relay.beginAttempt();
        openRun(context, request, run, this.relay.getLastEventId(), {
            onFault: error => this.endWithFault(error),
            onConnected: this.contain(() => {
                recordRunConnection(context, run);
                this.applyEvent({ kind: "sent" });
                this.restartIdleTimer(silenceCheckIntervalMs);
            }),
            onHead: this.contain((status, raw, framing) => {
                recordSignOfLife(upstream, context.now());
                const head = context.codec.decodeResponseHead(raw);
                if (run === this.held?.run && !isOwnSuccess(status, head, request.id)) {
                    this.endHeld(AttemptEnd.failed, `status ${status}`, head.isRefusal);
                    return;
                }
                this.returnTo(run);
                this.handleHead(status, head, framing);
            }),
            onChunk: this.contain(chunk => {
                recordSignOfLife(upstream, context.now());
                this.returnTo(run);
                this.handleChunk(chunk);
            }),
            onEnd: this.contain(() => {
                this.returnTo(run);
                this.handleEnd();
            }),
            onFailure: this.contain((isConnected, reason, code) => {
                this.crashCheck = recordRunFailure(context, run, isConnected, code);
                const isExhausted = !isConnected && context.connections.recordConnectFailure(code);
                const connectEnd = isExhausted ? AttemptEnd.exhausted : AttemptEnd.unconnected;
                this.handleFailure(run, isConnected ? AttemptEnd.lost : connectEnd, reason);
            }),
        });
    }

    private applyEvent(event: DirectRequestEvent): void {
        for (const action of advanceDirectRequest(this.state, event)) {
            this.actionHandlers[action.kind](action as never);
        }
    }

    /** Keeps one record of the connects in a row that failed. */
    private recordAttempt(record: AttemptRecord): void {
        if (this.state.failedConnects > 1) {
            this.attempts.pop();
        }
        this.attempts.push(record);
    }

    private handleFailure(run: UpstreamRun, end: AttemptEnd, reason: string): void {
        if (run === this.held?.run) {
            this.endHeld(AttemptEnd.lost, reason, false);
            return;
        }
        this.endAttempt(end, reason);
    }

    private endHeld(end: AttemptEnd, reason: string, isRefused: boolean): void {
        this.held!.run.record.end = `${end}: ${reason}`;
        this.applyEvent({ kind: "held-ended", isRefused });
    }

    private handleHead(status: number, head: ResponseHead, framing: ResponseFraming): void {
        const { context, request, relay } = this;
        const failure = acceptHead(context, request, this.run!, relay, { status, head, framing });
        if (failure !== undefined) {
            this.endAttempt(failure.end, failure.reason);
        }
        else if (relay.isStream()) {
            this.restartIdleTimer();
        }
    }

    private handleChunk(chunk: Buffer): void {
        if (this.relay.isStream()) {
            this.restartIdleTimer();
            this.context.recordStreamProgress(this.request.pool);
            this.run!.observer.recordData();
        }
        const { events, fault } = this.relay.push(chunk);
        this.responseMemory.update();
        if (events > 0) {
            const { record } = this.run!;
            record.events = (record.events ?? 0) + events;
            this.latestSendAt = computeLatestSendAt(this.context, this.request, this.context.now());
            this.applyEvent({ kind: "continued" });
        }
        if (fault !== undefined) {
            this.endAttempt(AttemptEnd.lost, fault);
        }
    }

    private handleEnd(): void {
        const status = this.relay.getStatus();
        const truncation = this.relay.findTruncation();
        if (truncation !== undefined) {
            this.crashCheck = this.run!.observer.recordBreak();
            this.endAttempt(AttemptEnd.lost, truncation);
            return;
        }
        if (status >= 500 && !this.state.hasSentHead) {
            this.endAttempt(AttemptEnd.failed, `status ${status}`);
            return;
        }
        if (this.relay.isSuccess()) {
            this.run!.observer.recordCompletion();
        }
        this.closeRun(`status ${status}`);
        this.relay.finish();
        this.outcome = "answered";
        this.applyEvent({ kind: "completed" });
    }

    private relayUpstreamFailure(): void {
        this.outcome = `the upstream failed with ${this.relay.getStatus()}`;
        this.relay.finish();
    }

    /** Ends the current attempt; `isRetryAcquired` is whether the retry budget has already allowed another one. */
    private endAttempt(end: AttemptEnd, reason: string, isRetryAcquired = false): void {
        const { context } = this;
        const { id } = this.run!.upstream.record;
        const now = context.now();
        if (end === AttemptEnd.misdirected) {
            markReplaced(context.upstreamTracker, id);
        }
        if (upstreamFailureEnds.has(end)) {
            recordFailure(context.upstreamTracker, id, now);
        }
        this.closeRun(`${end}: ${reason}`);
        this.reservation.setStage(this.held === undefined ? HoldingStage.queued : HoldingStage.running);
        const hasRetryBudget = isRetryAcquired ||
            (budgetedRetryEnds.has(end) && context.acquireRetry(this.request, now));
        this.applyEvent({ kind: "ended", end, hasRetryBudget, canContinue: this.relay.canContinue() });
    }

    private restartIdleTimer(timeoutMs = streamIdleTimeoutMs): void {
        clearTimeout(this.idleTimer);
        this.idleTimer = setTimeout(this.contain(() => this.handleIdleTimeout()), timeoutMs);
    }

    /**
     * A run whose upstream has gone silent, or whose stream is idle while others of its pool progress and may have lost its
     * connection, is tried elsewhere if another run is allowed. Otherwise it waits: the upstream may be at work, and its
     * silence alone must not end the response.
     */
    private handleIdleTimeout(): void {
        const { context, request } = this;
        if (!isRunSilent(context, request, this.run!, this.relay.isStream())) {
            this.restartIdleTimer(this.relay.isStream() ? streamIdleTimeoutMs : silenceCheckIntervalMs);
            return;
        }
        const canMove = isRunAllowed(this.state, this.relay.canContinue()) &&
            (this.relay.isStream() || context.now() < this.latestSendAt);
        if (!canMove || !context.acquireRetry(request, context.now())) {
            this.restartIdleTimer();
            return;
        }
        if (this.held !== undefined) {
            this.endAttempt(AttemptEnd.lost, "the stream went silent", true);
            return;
        }
        this.holdRun(this.run!);
        this.applyEvent({ kind: "silent" });
    }

    private holdRun(run: UpstreamRun): void {
        const { upstreamTracker, now } = this.context;
        recordFailure(upstreamTracker, run.upstream.record.id, now());
        this.held = { run, response: this.relay.holdAttempt() };
        this.run = undefined;
    }

    /** Goes on with a run that is held and has sent data again. */
    private returnTo(run: UpstreamRun): void {
        if (run === this.held?.run) {
            recordResponse(this.context.upstreamTracker, run.upstream.record.id);
            this.applyEvent({ kind: "returned" });
        }
    }

    private resumeHeld(): void {
        const { run, response } = this.held!;
        this.context.scheduler.remove(this);
        this.closeRun("superseded: the earlier run goes on");
        this.held = undefined;
        this.run = run;
        this.relay.resumeAttempt(response);
        this.restartIdleTimer();
    }

    private cancelHeld(): void {
        if (this.held !== undefined) {
            endRun(this.held.run, this.context.now(), `${AttemptEnd.lost}: the stream went silent`);
            this.held = undefined;
        }
    }

    private refuse(): void {
        this.outcome = refuseRequest(this.context, this.request, this.response, this.obstacle);
    }

    private fail(status: number): void {
        this.outcome = `failed with ${status}`;
        this.context.sendFailure(this.response, status);
    }

    private interruptResponse(): void {
        this.outcome = "cut";
        interruptResponse(this.response);
    }

    private cancelAll(): void {
        this.cancelHeld();
        this.closeRun();
    }

    /** Ends the current run, if there is one. */
    private closeRun(end?: string): void {
        clearTimeout(this.idleTimer);
        if (this.run === undefined) {
            return;
        }
        const unfinishedBytes = this.relay.countUnfinishedBytes();
        if (unfinishedBytes !== undefined) {
            this.run.record.unfinishedBytes = unfinishedBytes;
        }
        endRun(this.run, this.context.now(), end);
        this.run = undefined;
    }

    private finish(): void {
        if (this.isReleased) {
            return;
        }
        this.isReleased = true;
        clearTimeout(this.deadlineTimer);
        this.cancelAll();
        this.context.scheduler.remove(this);
        this.request.body = emptyBody;
        this.bodyReader.discard();
        this.reservation.setStage(HoldingStage.responding);
        this.responseMemory.update();
        const outcome = this.outcome || "the caller has gone";
        this.context.logRequest(this.request, outcome, this.attempts, this.rateLimits, this.notices);
    }
}
