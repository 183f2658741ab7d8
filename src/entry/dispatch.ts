/** Fourth filter: carries a request to slots and their answer back, as the attempt machine decides. */
import type { Metrics } from "../observe/metrics.js";
import { chooseUpstream } from "../routing/choose.js";
import {
    ejectUpstream,
    noteDone,
    noteReport,
    noteSent,
    type UpstreamEntry,
    type UpstreamTable,
} from "../routing/table.js";
import { filterHeaders } from "../slot/upstream.js";
import type { Frame, RunParams } from "../wire/messages.js";
import { requestRpc, type RpcIdentity } from "../wire/rpc.js";
import { advanceAttempt, type AttemptAction, type AttemptEvent, createAttemptState } from "./attempt.js";
import { relayFrame, relayProblem } from "./relay.js";
import { isIdempotent } from "./route.js";
import type { SlotClient, SlotStream } from "./slotClient.js";
import type { Exchange } from "./types.js";

const ejectMs = 2000;
const resumeDelayMs = 50;

export interface DispatchContext {
    identity: RpcIdentity;
    dataCentre: string;
    table: UpstreamTable;
    slots: SlotClient;
    metrics: Metrics;
}

/** Runs a request to its end; resolves when the caller has its answer. */
export function dispatchRequest(context: DispatchContext, exchange: Exchange): Promise<void> {
    return new Promise(resolve => new Dispatch(context, exchange, resolve).begin());
}

class Dispatch {
    private readonly state;
    private readonly tried = new Set<string>();
    private upstream: UpstreamEntry | undefined;
    private incarnation: string | undefined;
    private stream: SlotStream | undefined;
    private deadline: NodeJS.Timeout | undefined;
    private ended = false;

    constructor(
        private readonly context: DispatchContext,
        private readonly exchange: Exchange,
        private readonly resolve: () => void,
    ) {
        const { route, message, receivedAt } = exchange;
        const idempotent = isIdempotent(message.method ?? "GET", route!);
        this.state = createAttemptState(idempotent, receivedAt + route!.deadlineSeconds * 1000);
    }

    begin(): void {
        this.deadline = setTimeout(() => this.apply({ kind: "deadline" }), this.state.deadline - Date.now());
        this.exchange.response.on("close", () => this.handleCallerClose());
        this.choose();
    }

    private apply(event: AttemptEvent): void {
        for (const action of advanceAttempt(this.state, event, Date.now())) {
            this.execute(action);
        }
    }

    private execute(action: AttemptAction): void {
        const { metrics } = this.context;
        const { response, requestId } = this.exchange;
        switch (action.kind) {
            case "choose":
                this.choose();
                return;
            case "send":
                this.send();
                return;
            case "resume":
                metrics.resumes.inc();
                setTimeout(
                    () => this.resume(action.nextSequence),
                    this.state.resumes === 1 ? 0 : resumeDelayMs * this.state.resumes,
                );
                return;
            case "relay":
                this.relay(action.frame);
                return;
            case "drop":
                metrics.droppedFrames.inc();
                return;
            case "retry":
                metrics.retries.inc({ reason: action.reason });
                this.release();
                return;
            case "finish":
                this.finish("run");
                return;
            case "fail":
                if (action.outcome !== "run" && this.upstream !== undefined && action.status === 502) {
                    ejectUpstream(this.context.table, this.upstream.instance, Date.now() + ejectMs);
                }
                relayProblem(response, requestId, action);
                this.finish(action.outcome);
                return;
        }
    }

    private choose(): void {
        const { table, dataCentre } = this.context;
        const { route, tokens } = this.exchange;
        const choice = { pool: route!.pool, dataCentre, spill: route!.spill, tokens, excluded: this.tried };
        this.upstream = chooseUpstream(table, choice, Date.now(), Math.random);
        if (this.upstream === undefined) {
            this.apply({ kind: "no-candidate" });
            return;
        }
        this.tried.add(this.upstream.instance);
        this.incarnation = this.upstream.report?.incarnation;
        noteSent(table, this.upstream.instance, tokens, Date.now());
        this.apply({ kind: "chosen" });
    }

    private send(): void {
        const url = this.upstream!.url;
        this.stream = this.context.slots.run(
            url,
            createRunParams(this.exchange, this.state, this.incarnation),
            this.createListener(),
        );
    }

    private resume(nextSequence: number): void {
        if (this.ended) {
            return;
        }
        const { attempt } = this.state;
        const params = { requestId: this.exchange.requestId, attempt, incarnation: this.incarnation, nextSequence };
        this.stream = this.context.slots.resume(this.upstream!.url, params, this.createListener());
    }

    private createListener() {
        const { attempt } = this.state;
        return {
            onFrame: (frame: Frame) => {
                if (frame.kind === "accepted") {
                    this.incarnation = frame.incarnation;
                }
                if (frame.requestId === this.exchange.requestId) {
                    this.apply({ kind: "frame", frame });
                }
            },
            onBroken: (sent: boolean) => {
                if (attempt === this.state.attempt && !this.ended) {
                    this.apply({ kind: sent ? "broken" : "unreachable" });
                }
            },
        };
    }

    private relay(frame: Frame): void {
        const { response, requestId, receivedAt } = this.exchange;
        if (frame.kind === "head") {
            this.context.metrics.firstByteSeconds.observe((Date.now() - receivedAt) / 1000);
        }
        if (frame.kind === "end") {
            noteReport(this.context.table, this.upstream!.instance, frame.load, Date.now());
        }
        relayFrame(response, requestId, frame);
    }

    /** Gives back the load that the present attempt holds at its upstream. */
    private release(): void {
        if (this.upstream !== undefined) {
            noteDone(this.context.table, this.upstream.instance, this.exchange.tokens, Date.now());
        }
        this.stream?.abandon();
        this.stream = undefined;
    }

    private finish(outcome: string): void {
        if (this.ended) {
            return;
        }
        this.ended = true;
        clearTimeout(this.deadline);
        this.release();
        this.context.metrics.requests.inc({ outcome });
        this.resolve();
    }

    private handleCallerClose(): void {
        if (this.ended) {
            return;
        }
        const { identity } = this.context;
        if (this.upstream !== undefined) {
            const params = { requestId: this.exchange.requestId, attempt: this.state.attempt };
            requestRpc(identity, this.upstream.url, "cancel", params).catch(() => undefined);
        }
        this.state.phase = "done";
        this.finish("caller-gone");
    }
}

function createRunParams(
    exchange: Exchange,
    state: { attempt: number; idempotent: boolean; deadline: number; },
    incarnation: string | undefined,
): RunParams {
    const { message, body } = exchange;
    const headers = filterHeaders(message.headers);
    delete headers.authorization;
    return {
        requestId: exchange.requestId,
        attempt: state.attempt,
        incarnation,
        workspace: exchange.workspace!.name,
        method: message.method ?? "GET",
        path: message.url ?? "/",
        headers,
        body: body.toString("latin1"),
        idempotent: state.idempotent,
        idempotencyKey: exchange.idempotencyKey,
        urgency: exchange.urgency,
        tokens: exchange.tokens,
        deadlineMs: Math.max(1, state.deadline - Date.now()),
    };
}
