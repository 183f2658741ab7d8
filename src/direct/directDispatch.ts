/**
 * Forwards one request straight to upstreams, without slots in between, and relays the response, as decided by the
 * request's state machine.
 */
import type { ServerResponse } from "node:http";
import { isRepeatable, RouteKind } from "../config/serving.js";
import type { PendingRequest } from "../routing/pendingQueue.js";
import type { QuarantinedParts } from "../routing/quarantine.js";
import {
    markReplaced,
    recordFailure,
    recordResponse,
    recordSent,
    type TrackedUpstream,
} from "../routing/upstreamTracker.js";
import { interruptResponse, resetConnection } from "../wire/interruptResponse.js";
import type { ResponseFraming } from "../wire/responseFraming.js";
import { type AttemptObserver, observeAttempt } from "./attemptObserver.js";
import type { DirectContext } from "./context.js";
import type { AppliedNotice } from "./noticeRecorder.js";
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
import { ResponseRelay } from "./responseRelay.js";
import type { AttemptRecord, DirectRequest, ResponseHead } from "./types.js";
import { callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** Time without data until a stream may go on elsewhere, in milliseconds; half of what callers tolerate. */
const streamIdleTimeoutMs = 1000;
/** Time from sending a request to its first event, in milliseconds, with a margin for the way back to the caller. */
const firstEventLatencyMs = 250;

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
    private call: UpstreamCall | undefined;
    private recordEnd: ((endedAt: number) => void) | undefined;
    private upstream: TrackedUpstream | undefined;
    private observer: AttemptObserver | undefined;
    private quarantined: QuarantinedParts | undefined;
    private readonly relay: ResponseRelay;
    private deadlineTimer: NodeJS.Timeout | undefined;
    private idleTimer: NodeJS.Timeout | undefined;
    private outcome = "";
    private isReleased = false;

    private readonly actionHandlers: ActionHandlers = {
        place: () => this.context.scheduler.place(this),
        "wait-for-group": () => this.context.scheduler.enqueue(this),
        "relay-failure": () => this.relayUpstreamFailure(),
        refuse: () => this.refuse(),
        reject: () => this.reject(),
        fail: action => this.fail(action.status),
        cut: () => this.interruptResponse(),
        cancel: () => this.cancel(),
        finish: () => this.finish(),
    };

    constructor(
        private readonly context: DirectContext,
        readonly request: DirectRequest,
        private readonly response: ServerResponse,
        arrivalNumber: number,
    ) {
        const { route, workspace, head, receivedAt } = request;
        this.arrivalNumber = arrivalNumber;
        this.urgency = workspace?.urgency ?? route.urgency;
        this.targetAt = receivedAt + route.targetMs;
        this.latestSendAt = this.computeLatestSendAt(receivedAt);
        this.relay = new ResponseRelay({
            response,
            isStreaming: route.kind === RouteKind.streaming,
            lastEventId: head.lastEventId,
            onBegan: () => this.applyEvent({ kind: "began" }),
            onFull: () => this.call?.pause(),
        });
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
        this.response.on("drain", () => this.call?.resume());
        this.contain(() => {
            this.context.recordFirstAttempt(this.request);
            this.context.scheduler.place(this);
        })();
    }

    /** Ends the request because no upstream can serve it in time. */
    expire(): void {
        this.contain(() => this.applyEvent({ kind: "expired" }))();
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

    /** Ends the request if its prompt contains quarantined parts; returns whether it did. */
    endIfQuarantined(): boolean {
        this.quarantined = this.context.quarantine.find(this.request);
        if (this.quarantined !== undefined) {
            this.applyEvent({ kind: "quarantined" });
        }
        return this.quarantined !== undefined;
    }

    /** Computes the latest time to send the request if the caller received its last output at `lastOutputAt`. */
    private computeLatestSendAt(lastOutputAt: number): number {
        const { request, context } = this;
        const { patienceMs } = request.route;
        const latestForCompletion = request.deadlineAt - context.estimateServiceMs(request);
        return patienceMs === undefined ?
            latestForCompletion :
            Math.min(latestForCompletion, lastOutputAt + patienceMs - firstEventLatencyMs);
    }

    /** Returns the ids of the upstreams that the request was sent to. */
    getTriedUpstreams(): ReadonlySet<string> {
        return this.triedUpstreams;
    }

    /** Sends the request to an upstream, at which `estimated` requests are assumed. */
    sendTo(upstream: TrackedUpstream, estimated: number): void {
        const { record, load } = upstream;
        const { request, context } = this;
        const now = context.now();
        this.triedUpstreams.add(record.id);
        this.upstream = upstream;
        this.observer = observeAttempt(context, request, record);
        this.relay.beginAttempt();
        this.attempts.push({
            upstream: record.id,
            estimated,
            figuresAgeMs: load === undefined ? undefined : Math.round(now - load.observedAt),
        });
        const hasBody = request.body.length > 0 || request.method === "POST" || request.method === "PUT";
        const headers = context.codec.encodeUpstreamHead(request.head, {
            upstream: record.id,
            timeoutMs: request.deadlineAt - now,
            workspace: request.workspace?.name,
            urgency: context.computeUrgency(request, now),
            lastEventId: this.relay.getLastEventId(),
            bodyLength: hasBody ? request.body.length : undefined,
        });
        this.recordEnd = recordSent(context.upstreamTracker, record.id, now);
        this.call = callUpstream({
            target: record,
            method: request.method,
            path: request.target,
            headers,
            body: request.body,
            listener: {
                onConnected: this.contain(() => this.applyEvent({ kind: "sent" })),
                onHead: this.contain((status, raw, framing) => this.handleHead(status, raw, framing)),
                onChunk: this.contain(chunk => this.handleChunk(chunk)),
                onEnd: this.contain(() => this.handleEnd()),
                onFailure: this.contain((isConnected, reason) => this.handleFailure(isConnected, reason)),
            },
        });
    }

    private applyEvent(event: DirectRequestEvent): void {
        for (const action of advanceDirectRequest(this.state, event)) {
            this.actionHandlers[action.kind](action as never);
        }
    }

    private handleFailure(isConnected: boolean, reason: string): void {
        if (isConnected) {
            this.observer!.recordBreak();
        }
        this.endAttempt(isConnected ? AttemptEnd.lost : AttemptEnd.unconnected, reason);
    }

    private handleHead(status: number, raw: string[], framing: ResponseFraming): void {
        const head = this.context.codec.decodeResponseHead(raw);
        Object.assign(this.attempts.at(-1)!, { framing, rateLimit: head.rateLimitValues.join(", ") || undefined });
        if (head.requestId !== undefined && head.requestId !== this.request.id) {
            this.endAttempt(AttemptEnd.lost, "the answer belongs to another request");
            return;
        }
        if (status === 421) {
            this.endAttempt(AttemptEnd.misdirected, "another upstream has the address");
            return;
        }
        if (head.isSigned || status >= 300) {
            this.context.observeNotices(this.upstream!.record, this.request.id, status, head);
        }
        if (head.isRefusal) {
            this.handleRefusal(status, head);
            return;
        }
        const fault = this.relay.acceptHead(status, head, framing);
        if (this.relay.isSuccess() && (!head.isSigned || head.isEncoded)) {
            this.endAttempt(AttemptEnd.lost, "the answer is not the upstream's");
            return;
        }
        if (fault !== undefined) {
            this.endAttempt(this.relay.isSuccess() ? AttemptEnd.lost : AttemptEnd.failed, fault);
            return;
        }
        recordResponse(this.context.upstreamTracker, this.upstream!.record.id);
        this.recordReports(head);
        if (this.relay.isStream()) {
            this.restartIdleTimer();
        }
    }

    private handleRefusal(status: number, head: ResponseHead): void {
        this.recordReports(head);
        if (head.faultyServer !== undefined) {
            this.context.markGroupBroken(this.request.pool, head.faultyServer);
            this.endAttempt(AttemptEnd.groupBroken, `the group waits for ${head.faultyServer}`);
        }
        else {
            this.endAttempt(AttemptEnd.full, `refused with ${status}`);
        }
    }

    /** Records what the upstream reports of itself in a response. */
    private recordReports({ load, rateLimitValues }: ResponseHead): void {
        const { record } = this.upstream!;
        this.context.observeRateLimit(record, rateLimitValues);
        if (load !== undefined) {
            this.context.updateLoad(record.id, load);
        }
    }

    private handleChunk(chunk: Buffer): void {
        if (this.relay.isStream()) {
            this.restartIdleTimer();
            this.context.recordStreamProgress(this.request.pool);
            this.observer!.recordData();
        }
        const { events, fault } = this.relay.push(chunk);
        if (events > 0) {
            const attempt = this.attempts.at(-1)!;
            attempt.events = (attempt.events ?? 0) + events;
            this.latestSendAt = this.computeLatestSendAt(this.context.now());
        }
        if (fault !== undefined) {
            this.endAttempt(AttemptEnd.lost, fault);
        }
    }

    private handleEnd(): void {
        const status = this.relay.getStatus();
        if (status >= 500 && !this.state.hasSentHead) {
            this.endAttempt(AttemptEnd.failed, `status ${status}`);
            return;
        }
        const truncation = this.relay.findTruncation();
        if (truncation !== undefined) {
            this.observer!.recordBreak();
            this.endAttempt(AttemptEnd.lost, truncation);
            return;
        }
        if (this.relay.isSuccess()) {
            this.observer!.recordCompletion();
        }
        this.clearCall();
        this.attempts.at(-1)!.end = `status ${status}`;
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
        const { context, upstream } = this;
        const now = context.now();
        this.attempts.at(-1)!.end = `${end}: ${reason}`;
        if (end === AttemptEnd.misdirected) {
            markReplaced(context.upstreamTracker, upstream!.record.id);
        }
        if (upstreamFailureEnds.has(end)) {
            recordFailure(context.upstreamTracker, upstream!.record.id, now);
        }
        this.cancel();
        const hasRetryBudget = isRetryAcquired ||
            (budgetedRetryEnds.has(end) && context.acquireRetry(this.request, now));
        this.applyEvent({ kind: "ended", end, hasRetryBudget, canContinue: this.relay.canContinue() });
    }

    private restartIdleTimer(): void {
        clearTimeout(this.idleTimer);
        this.idleTimer = setTimeout(this.contain(() => this.handleIdleTimeout()), streamIdleTimeoutMs);
    }

    /**
     * A stream that is idle while others of its pool progress may have lost its connection, and goes on elsewhere if another
     * run is allowed. Otherwise it waits: the upstream may be at work, and its silence alone must not end the response.
     */
    private handleIdleTimeout(): void {
        const { context, request } = this;
        const canMove = !context.isPoolStalled(request.pool) && !context.isStopping() &&
            isRunAllowed(this.state, this.relay.canContinue());
        if (canMove && context.acquireRetry(request, context.now())) {
            this.endAttempt(AttemptEnd.lost, "the stream went silent", true);
        }
        else {
            this.restartIdleTimer();
        }
    }

    private refuse(): void {
        const retryAfterMs = this.context.computeRetryAfterMs(this.request);
        this.outcome = `refused, to return in ${Math.round(retryAfterMs)} ms`;
        this.context.sendRefusal(this.response, retryAfterMs);
    }

    private reject(): void {
        this.outcome = `rejected, quarantined prompt parts: ${this.quarantined!.parts.join(" ")}`;
        this.context.sendRejection(this.response, this.quarantined!);
    }

    private fail(status: number): void {
        this.outcome = `failed with ${status}`;
        this.context.sendFailure(this.response, status);
    }

    private interruptResponse(): void {
        this.outcome = "cut";
        interruptResponse(this.response);
    }

    private cancel(): void {
        this.call?.cancel();
        this.clearCall();
    }

    /** Forgets the current call and records its end for the load estimate. */
    private clearCall(): void {
        clearTimeout(this.idleTimer);
        const unfinishedBytes = this.relay.countUnfinishedBytes();
        if (unfinishedBytes !== undefined) {
            this.attempts.at(-1)!.unfinishedBytes = unfinishedBytes;
        }
        this.call = undefined;
        this.recordEnd?.(this.context.now());
        this.recordEnd = undefined;
    }

    private finish(): void {
        if (this.isReleased) {
            return;
        }
        this.isReleased = true;
        clearTimeout(this.deadlineTimer);
        this.cancel();
        this.context.scheduler.remove(this);
        const outcome = this.outcome || "the caller has gone";
        this.context.logRequest(this.request, outcome, this.attempts, this.rateLimits, this.notices);
    }
}
