/** Carries one request to upstreams and their answer back, as the attempt machine decides. */
import type { ServerResponse } from "node:http";
import { isRepeatable, RouteKind } from "../config/serving.js";
import type { PendingRequest } from "../routing/pendingQueue.js";
import {
    markReplaced,
    recordAnswer,
    recordFailure,
    recordSent,
    type TrackedUpstream,
} from "../routing/upstreamTracker.js";
import type { DirectContext } from "./context.js";
import { createEventSplitter } from "./events.js";
import {
    advanceDirectRequest,
    AttemptEnd,
    createDirectRequestState,
    type DirectRequestAction,
    type DirectRequestEvent,
} from "./requestState.js";
import type { AttemptRecord, DirectRequest, ResponseHead } from "./types.js";
import { callUpstream, type UpstreamCall } from "./upstreamCall.js";

/** Silence after which a stream's connection counts as lost, in milliseconds; half of what callers bear. */
const streamSilenceMs = 1000;
/** Time to the first event of a request that is sent, with a margin for the way back, in milliseconds. */
const firstEventMs = 250;
/** Longest answer that is held until it is complete, in bytes; longer ones are relayed as they come. */
const maxHeldBytes = 256 * 1024;
/** Ids of events are counted up from one by these upstreams; others are relayed unchecked. */
const countedId = /^\d{1,15}$/;

/** Ends after which the upstream is avoided for a while. */
const blamedEnds = new Set<AttemptEnd>([AttemptEnd.lost, AttemptEnd.unconnected]);
/** Ends after which another attempt is one more arrival at the pool. */
const repeatedEnds = new Set<AttemptEnd>([
    AttemptEnd.full,
    AttemptEnd.misdirected,
    AttemptEnd.lost,
    AttemptEnd.failed,
]);

type ActionHandlers = {
    [K in DirectRequestAction["kind"]]: (action: Extract<DirectRequestAction, { kind: K; }>) => void;
};

export class DirectDispatch implements PendingRequest {
    readonly arrivalNumber: number;
    readonly urgency: number;
    readonly targetAt: number;
    latestSendAt: number;
    private readonly state;
    private readonly tried = new Set<string>();
    private readonly attempts: AttemptRecord[] = [];
    private call: UpstreamCall | undefined;
    private endOwn: ((endedAt: number) => void) | undefined;
    private view: TrackedUpstream | undefined;
    private answer: ResponseHead | undefined;
    private status = 0;
    private held: Buffer[] = [];
    private heldBytes = 0;
    private splitter = createEventSplitter();
    private lastEvent: string | undefined;
    private timer: NodeJS.Timeout | undefined;
    private silence: NodeJS.Timeout | undefined;
    private outcome = "";

    private readonly handlers: ActionHandlers = {
        place: () => this.context.scheduler.place(this),
        "wait-for-group": () => this.context.scheduler.enqueue(this),
        "relay-failure": () => this.relayFailure(),
        refuse: () => this.refuse(),
        fail: action => this.fail(action.status),
        cut: () => this.cut(),
        cancel: () => this.cancel(),
        finish: () => this.finish(),
    };

    constructor(
        private readonly context: DirectContext,
        readonly request: DirectRequest,
        private readonly response: ServerResponse,
        number: number,
    ) {
        const { route, workspace, head, receivedAt } = request;
        this.arrivalNumber = number;
        this.urgency = workspace?.urgency ?? route.urgency;
        this.targetAt = receivedAt + route.targetMs;
        this.latestSendAt = this.computeLatestAt(receivedAt);
        this.lastEvent = head.lastEventId;
        this.state = createDirectRequestState({
            isRepeatable: isRepeatable(route),
            isResumable: route.isResumable,
            maxRuns: route.maxAttempts,
        });
    }

    begin(): void {
        this.timer = setTimeout(() => this.apply({ kind: "timeout" }), this.request.deadlineAt - this.context.now());
        this.response.on("close", () => this.apply({ kind: "caller-gone" }));
        this.response.on("drain", () => this.call?.resume());
        this.context.recordFirstAttempt(this.request);
        this.context.scheduler.place(this);
    }

    /** Tells that no upstream can take the request in time. */
    giveUp(): void {
        this.apply({ kind: "hopeless" });
    }

    /** Latest time to send, when the caller heard something last at `heardAt`. */
    private computeLatestAt(heardAt: number): number {
        const { request, context } = this;
        const { patienceMs } = request.route;
        const wholeAt = request.deadlineAt - context.estimateServiceMs(request);
        return patienceMs === undefined ? wholeAt : Math.min(wholeAt, heardAt + patienceMs - firstEventMs);
    }

    isExcluded(): ReadonlySet<string> {
        return this.tried;
    }

    /** Sends the request to an upstream. */
    sendTo(view: TrackedUpstream, estimated: number): void {
        const { record, load: figures } = view;
        const { request, context } = this;
        const now = context.now();
        this.tried.add(record.id);
        this.view = view;
        this.answer = undefined;
        this.held = [];
        this.heldBytes = 0;
        this.splitter = createEventSplitter();
        this.attempts.push({
            upstream: record.id,
            estimated,
            figuresAgeMs: figures === undefined ? undefined : Math.round(now - figures.observedAt),
        });
        const hasBody = request.body.length > 0 || request.method === "POST" || request.method === "PUT";
        const headers = context.codec.encodeUpstreamHead(request.head, {
            upstream: record.id,
            timeoutMs: request.deadlineAt - now,
            workspace: request.workspace?.name,
            urgency: context.computeUrgency(request, now),
            lastEventId: this.lastEvent,
            bodyLength: hasBody ? request.body.length : undefined,
        });
        this.endOwn = recordSent(context.upstreamTracker, record.id, now);
        this.call = callUpstream({
            target: record,
            method: request.method,
            path: request.target,
            headers,
            body: request.body,
            listener: {
                onConnected: () => this.apply({ kind: "sent" }),
                onHead: (status, raw) => this.receiveHead(status, raw),
                onChunk: chunk => this.receiveChunk(chunk),
                onEnd: () => this.receiveEnd(),
                onBroken: (isConnected, reason) =>
                    this.endAttempt(isConnected ? AttemptEnd.lost : AttemptEnd.unconnected, reason),
            },
        });
    }

    private apply(event: DirectRequestEvent): void {
        for (const action of advanceDirectRequest(this.state, event)) {
            this.handlers[action.kind](action as never);
        }
    }

    private receiveHead(status: number, raw: string[]): void {
        const answer = this.context.codec.decodeResponseHead(raw);
        this.answer = answer;
        this.status = status;
        const { id } = this.view!.record;
        if (answer.requestId !== undefined && answer.requestId !== this.request.id) {
            this.endAttempt(AttemptEnd.lost, "the answer belongs to another request");
            return;
        }
        if (answer.isRefusal || status === 421) {
            this.receiveRefusal(status, answer);
            return;
        }
        if (status >= 200 && status < 300 && (!answer.isSigned || answer.isEncoded)) {
            this.endAttempt(AttemptEnd.lost, "the answer is not the upstream's");
            return;
        }
        recordAnswer(this.context.upstreamTracker, id);
        if (answer.load !== undefined) {
            this.context.updateLoad(id, answer.load);
        }
        if (this.isStream()) {
            this.watchSilence();
        }
    }

    private receiveRefusal(status: number, answer: ResponseHead): void {
        if (answer.load !== undefined) {
            this.context.updateLoad(this.view!.record.id, answer.load);
        }
        if (status === 421) {
            this.endAttempt(AttemptEnd.misdirected, "another upstream has the address");
        }
        else if (answer.faultyServer !== undefined) {
            this.context.markGroupBroken(this.request.pool, answer.faultyServer);
            this.endAttempt(AttemptEnd.groupBroken, `the group waits for ${answer.faultyServer}`);
        }
        else {
            this.endAttempt(AttemptEnd.full, `refused with ${status}`);
        }
    }

    private isStream(): boolean {
        return this.request.route.kind === RouteKind.streaming && this.status >= 200 && this.status < 300;
    }

    private beginStream(): void {
        if (!this.state.hasSentHead) {
            const { relayedHeaders: relayed } = this.answer!;
            const headers: string[] = [];
            for (let i = 0; i < relayed.length; i += 2) {
                if (relayed[i].toLowerCase() !== "content-length") {
                    headers.push(relayed[i], relayed[i + 1]);
                }
            }
            this.response.writeHead(this.status, headers);
            this.response.flushHeaders();
            this.apply({ kind: "began" });
        }
    }

    private receiveChunk(chunk: Buffer): void {
        if (this.answer === undefined) {
            return;
        }
        if (this.isStream()) {
            this.relayEvents(chunk);
            return;
        }
        this.held.push(chunk);
        this.heldBytes += chunk.length;
        if (this.state.hasSentHead || this.heldBytes > maxHeldBytes) {
            this.relayHeld();
        }
    }

    private relayEvents(chunk: Buffer): void {
        this.watchSilence();
        this.context.recordStreamProgress(this.request.pool);
        for (const event of this.splitter.push(chunk)) {
            if (!this.isNext(event.id)) {
                if (event.id !== undefined && Number(event.id) <= Number(this.lastEvent)) {
                    continue;
                }
                this.endAttempt(AttemptEnd.lost, `event ${event.id} follows ${this.lastEvent ?? "the start"}`);
                return;
            }
            this.lastEvent = event.id ?? this.lastEvent;
            this.beginStream();
            this.latestSendAt = this.computeLatestAt(this.context.now());
            this.write(event.bytes);
        }
    }

    /** Whether an event goes on where the stream stands. */
    private isNext(id: string | undefined): boolean {
        if (
            id === undefined || this.lastEvent === undefined || !countedId.test(id) || !countedId.test(this.lastEvent)
        ) {
            return true;
        }
        return Number(id) === Number(this.lastEvent) + 1;
    }

    private relayHeld(): void {
        if (!this.state.hasSentHead) {
            this.response.writeHead(this.status, this.answer!.relayedHeaders);
            this.apply({ kind: "began" });
        }
        this.held.splice(0).forEach(bytes => this.write(bytes));
    }

    private write(bytes: Buffer): void {
        if (!this.response.write(bytes)) {
            this.call?.pause();
        }
    }

    private receiveEnd(): void {
        if (this.status >= 500 && !this.state.hasSentHead) {
            this.endAttempt(AttemptEnd.failed, `status ${this.status}`);
            return;
        }
        this.clearCall();
        this.attempts.at(-1)!.end = `status ${this.status}`;
        if (this.isStream()) {
            this.beginStream();
            this.write(this.splitter.getRest());
            this.response.end();
        }
        else if (this.state.hasSentHead) {
            this.response.end();
        }
        else {
            this.answerHeld();
        }
        this.outcome = "answered";
        this.apply({ kind: "completed" });
    }

    /** Answers with what the upstream answered, which has come whole. */
    private answerHeld(): void {
        const body = Buffer.concat(this.held.splice(0), this.heldBytes);
        const { relayedHeaders: relayed, contentLength: length } = this.answer!;
        const headers = length === undefined ? [...relayed, "Content-Length", String(body.length)] : relayed;
        this.response.writeHead(this.status, headers);
        this.response.end(body);
    }

    private relayFailure(): void {
        this.outcome = `the upstream failed with ${this.status}`;
        this.answerHeld();
    }

    private endAttempt(end: AttemptEnd, reason: string): void {
        const { context, view } = this;
        const now = context.now();
        this.attempts.at(-1)!.end = `${end}: ${reason}`;
        if (end === AttemptEnd.misdirected) {
            markReplaced(context.upstreamTracker, view!.record.id);
        }
        if (blamedEnds.has(end)) {
            recordFailure(context.upstreamTracker, view!.record.id, now);
        }
        this.cancel();
        const hasRetryBudget = repeatedEnds.has(end) && context.acquireRetry(this.request, now);
        this.apply({ kind: "ended", end, hasRetryBudget });
    }

    private watchSilence(): void {
        clearTimeout(this.silence);
        this.silence = setTimeout(() => this.handleSilence(), streamSilenceMs);
    }

    /** One silent stream among others that go on has lost its connection; when all are silent, their group stalls. */
    private handleSilence(): void {
        if (this.context.isPoolStalled(this.request.pool)) {
            this.watchSilence();
        }
        else {
            this.endAttempt(AttemptEnd.lost, "the stream went silent");
        }
    }

    private refuse(): void {
        const retryAfterMs = this.context.computeRetryAfterMs(this.request);
        this.outcome = `refused, to return in ${Math.round(retryAfterMs)} ms`;
        this.context.sendRefusal(this.response, retryAfterMs);
    }

    private fail(status: number): void {
        this.outcome = `failed with ${status}`;
        this.context.sendFailure(this.response, status);
    }

    private cut(): void {
        this.outcome = "cut";
        this.response.destroy();
    }

    private cancel(): void {
        this.call?.cancel();
        this.clearCall();
    }

    private clearCall(): void {
        clearTimeout(this.silence);
        this.call = undefined;
        this.endOwn?.(this.context.now());
        this.endOwn = undefined;
    }

    private finish(): void {
        clearTimeout(this.timer);
        this.context.scheduler.remove(this);
        this.context.logRequest(this.request, this.outcome || "the caller has gone", this.attempts);
    }
}
