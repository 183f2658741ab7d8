/**
 * Relays the responses of one request's attempts to its caller: whole if they are short, in chunks if they are long, and
 * event by event if they are streams. Once the head of a response has been sent, only a run that continues its stream
 * adds to it.
 */
import type { ServerResponse } from "node:http";
import {
    createEventScanner,
    createEventSplitter,
    type EventScanner,
    type EventSplitter,
    isEventStreamType,
    isLastEventId,
} from "../wire/eventStream.js";
import { findTruncation } from "../wire/responseCompletion.js";
import { ResponseFraming } from "../wire/responseFraming.js";
import { type Body, joinBody, SegmentedBody } from "../wire/segmentedBody.js";
import {
    beginStreamRun,
    createStreamContinuity,
    decideEvent,
    EventDecision,
    type StreamContinuity,
} from "./streamContinuity.js";
import type { ResponseHead } from "./types.js";

/** Maximum size of a response that is buffered until it is complete, in bytes; longer ones are relayed in chunks. */
const maxBufferedBytes = 256 * 1024;

/** Status of a whole stream: 204 has no body, and 206 holds a part only. */
const streamStatus = 200;

const createBuffer = () => new SegmentedBody(undefined, () => undefined);

export interface ResponseRelayOptions {
    response: ServerResponse;
    /** Whether a success is a stream of events, whatever its content type. */
    isStreaming: boolean;
    /** Id of the event after which the caller resumes the stream. */
    lastEventId: string | undefined;
    /** Called when the head of a response has been sent. */
    onBegan: () => void;
    /** Called when the caller reads more slowly than the upstream sends. */
    onFull: () => void;
}

/** What a chunk of a response led to. */
export interface RelayedChunk {
    /** Number of events that were relayed. */
    events: number;
    /** Why the response must not be relayed any further; undefined if it may. */
    fault?: string;
}

/** What has been received of the response of an attempt that may go on later. */
export interface HeldResponse {
    status: number;
    head: ResponseHead | undefined;
    framing: ResponseFraming;
    buffered: SegmentedBody;
    scanner: EventScanner | undefined;
    splitter: EventSplitter | undefined;
    isRunConfirmed: boolean;
}

export class ResponseRelay {
    private readonly continuity: StreamContinuity;
    private hasSentHead = false;
    private status = 0;
    private head: ResponseHead | undefined;
    private framing: ResponseFraming = ResponseFraming.none;
    private buffered = createBuffer();
    private scanner: EventScanner | undefined;
    private splitter: EventSplitter | undefined;

    constructor(private readonly options: ResponseRelayOptions) {
        this.continuity = createStreamContinuity(options.lastEventId);
    }

    /** Discards what is buffered of the previous attempt. */
    beginAttempt(): void {
        this.status = 0;
        this.head = undefined;
        this.buffered = createBuffer();
        this.scanner = undefined;
        this.splitter = undefined;
        beginStreamRun(this.continuity);
    }

    /** Returns the state of the attempt's response, so that it can go on after another attempt. */
    holdAttempt(): HeldResponse {
        const { status, head, framing, buffered, scanner, splitter } = this;
        const { isRunConfirmed } = this.continuity;
        return { status, head, framing, buffered, scanner, splitter, isRunConfirmed };
    }

    /** Goes on with an attempt, provided that no other one has added to the response meanwhile. */
    resumeAttempt({ isRunConfirmed, ...response }: HeldResponse): void {
        Object.assign(this, response);
        this.continuity.isRunConfirmed = isRunConfirmed;
    }

    /** Takes the head of the attempt's response; returns why it cannot be relayed, or undefined if it can. */
    acceptHead(status: number, head: ResponseHead, framing: ResponseFraming): string | undefined {
        Object.assign(this, { status, head, framing });
        const isStreamExpected = this.options.isStreaming && this.isSuccess();
        const hasStreamType = isEventStreamType(head.contentType) || head.contentType === undefined;
        const canContinue = isStreamExpected && hasStreamType && framing !== ResponseFraming.none;
        if (this.hasSentHead && !canContinue) {
            return `status ${status} does not continue the stream`;
        }
        if (isStreamExpected && status !== streamStatus) {
            return `status ${status} is no stream`;
        }
        const isWholeByFraming = !this.isSuccess() && framing !== ResponseFraming.connection;
        if (isStreamExpected || (isEventStreamType(head.contentType) && !isWholeByFraming)) {
            this.scanner = createEventScanner();
            this.splitter = isStreamExpected ? createEventSplitter(this.scanner) : undefined;
        }
        return undefined;
    }

    /** Whether the response of the attempt is relayed event by event. */
    isStream(): boolean {
        return this.splitter !== undefined;
    }

    isSuccess(): boolean {
        return this.status >= 200 && this.status < 300;
    }

    /** Returns the status of the attempt's response, 0 before its head. */
    getStatus(): number {
        return this.status;
    }

    /** Returns the id of the last event that the caller has. */
    getLastEventId(): string | undefined {
        return this.continuity.lastEventId;
    }

    /** Whether another run can go on where the response to the caller ends now. */
    canContinue(): boolean {
        return this.continuity.hasResumePoint;
    }

    /** Adds a chunk of the attempt's response. */
    push(chunk: Buffer): RelayedChunk {
        if (this.splitter !== undefined) {
            return this.relayEvents(this.splitter, chunk);
        }
        this.scanner?.push(chunk);
        if (this.hasSentHead) {
            this.write(chunk);
            return { events: 0 };
        }
        this.buffered.append(chunk);
        if (this.buffered.length > maxBufferedBytes) {
            this.sendHead(this.head!.relayedHeaders);
            this.takeBuffered().segments.forEach(bytes => this.write(bytes));
        }
        return { events: 0 };
    }

    /** Describes why the response, whose transport has ended, is incomplete; undefined if it is complete. */
    findTruncation(): string | undefined {
        const isContinued = !this.hasSentHead || !this.isStream() || this.continuity.isRunConfirmed;
        const requiresEvent = this.isStream() && !isLastEventId(this.options.lastEventId);
        return findTruncation({ framing: this.framing, scanner: this.scanner, requiresEvent }) ??
            (isContinued ? undefined : "the stream ended without continuing");
    }

    /** Sends what remains of the attempt's complete response, and ends the caller's response. */
    finish(): void {
        const { response } = this.options;
        if (this.splitter !== undefined) {
            this.sendStreamHead();
            this.write(this.splitter.getRemainder());
            response.end();
        }
        else if (this.hasSentHead) {
            response.end();
        }
        else {
            this.sendBuffered();
        }
    }

    /** Counts the bytes of the attempt's response that wait for more of it. */
    countBufferedBytes(): number {
        return this.buffered.length + (this.splitter?.getRemainder().length ?? 0);
    }

    /** Counts the bytes of an incomplete event at the end of a stream; undefined if there is none. */
    countUnfinishedBytes(): number | undefined {
        return this.scanner?.isInsideEvent() === true ? this.scanner.countTrailingBytes() : undefined;
    }

    private relayEvents(splitter: EventSplitter, chunk: Buffer): RelayedChunk {
        let events = 0;
        for (const event of splitter.push(chunk)) {
            const { lastEventId } = this.continuity;
            const decision = decideEvent(this.continuity, event);
            if (decision === EventDecision.reject) {
                const fault = `event ${event.id ?? "without id"} follows ${lastEventId ?? "the start"}`;
                return { events, fault };
            }
            if (decision === EventDecision.relay) {
                events += 1;
                this.sendStreamHead();
                this.write(event.bytes);
            }
        }
        return splitter.isEventTooLong() ? { events, fault: "an event is too long" } : { events };
    }

    private sendStreamHead(): void {
        this.sendHead(removeHeader(this.head!.relayedHeaders, "content-length"));
    }

    private sendHead(headers: string[]): void {
        if (!this.hasSentHead) {
            this.hasSentHead = true;
            this.options.response.writeHead(this.status, headers);
            this.options.response.flushHeaders();
            this.options.onBegan();
        }
    }

    private sendBuffered(): void {
        const body = joinBody(this.takeBuffered());
        const { relayedHeaders, contentLength } = this.head!;
        // A 204 may not have a length, and in a response to HEAD it would be that of the body for GET.
        const needsLength = this.framing !== ResponseFraming.none && contentLength === undefined;
        const headers = needsLength ? [...relayedHeaders, "Content-Length", String(body.length)] : relayedHeaders;
        this.options.response.writeHead(this.status, headers);
        this.options.response.end(body);
    }

    private takeBuffered(): Body {
        const body = this.buffered.finish();
        this.buffered = createBuffer();
        return body;
    }

    private write(bytes: Buffer): void {
        if (!this.options.response.write(bytes)) {
            this.options.onFull();
        }
    }
}

/** Returns headers, given as alternating names and values, without those of a name in lower case. */
function removeHeader(headers: string[], name: string): string[] {
    return headers.filter((ignored, i) => headers[i - i % 2].toLowerCase() !== name);
}
