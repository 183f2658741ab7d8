/** Internal HTTP interface of a slot: run, resume and JSON-RPC calls. */
import type { Server, ServerResponse } from "node:http";
import { z } from "zod";
import type { SlotSettings } from "../config/settings.js";
import { RunOutcome } from "../core/types.js";
import type { Metrics } from "../observe/metrics.js";
import { encodeFrame } from "../wire/frames.js";
import { type Frame, InternalPath, ResumeParamsSchema, RevokeParamsSchema, RunParamsSchema } from "../wire/messages.js";
import type { RpcMethods } from "../wire/rpc.js";
import { createInternalServer, createRpcHandler } from "../wire/server.js";
import { beginRun, type Ledger, resumeRun, revokeRun, type RunRecord } from "./ledger.js";
import type { Runner } from "./runner.js";

const keepaliveMs = 500;

export interface SlotContext {
    settings: SlotSettings;
    ledger: Ledger;
    runner: Runner;
    metrics: Metrics;
    /** Weight of a workspace in the configuration in force. */
    getWeight: (workspace: string) => number;
    /** Further JSON-RPC methods, for example of groups and peers. */
    methods: RpcMethods;
}

/** Creates the server; the caller listens on it. */
export function createSlotServer(context: SlotContext): Server {
    return createInternalServer({
        identity: context.settings,
        registry: context.metrics.registry,
        handlers: {
            [InternalPath.run]: (body, response) => handleRun(context, body, response),
            [InternalPath.resume]: (body, response) => handleResume(context, body, response),
            [InternalPath.rpc]: createRpcHandler({ ...createSlotMethods(context), ...context.methods }),
        },
    });
}

function createSlotMethods(context: SlotContext): RpcMethods {
    return {
        report: () => context.runner.report(),
        revoke: (params: unknown) => ({
            outcome: revokeRun(context.ledger, RevokeParamsSchema.parse(params), Date.now()),
        }),
    };
}

const CallSchema = z.object({ jsonrpc: z.literal("2.0"), method: z.string(), params: z.unknown() });

function safeParseCall<T>(body: string, schema: z.ZodType<T>): T | undefined {
    try {
        return schema.parse(CallSchema.parse(JSON.parse(body)).params);
    }
    catch {
        return undefined;
    }
}

function handleRun(context: SlotContext, body: string, response: ServerResponse): void {
    const params = safeParseCall(body, RunParamsSchema);
    if (params === undefined) {
        response.writeHead(400).end();
        return;
    }
    const result = beginRun(context.ledger, params, Date.now());
    if (result.kind === "refuse") {
        sendFailed(response, params, RunOutcome.notRun, result.status, result.title);
        return;
    }
    const weight = context.getWeight(params.workspace);
    context.runner.start(result.record, params, weight);
    streamFrames(context, result.record, 0, response);
}

function handleResume(context: SlotContext, body: string, response: ServerResponse): void {
    const params = safeParseCall(body, ResumeParamsSchema);
    if (params === undefined) {
        response.writeHead(400).end();
        return;
    }
    const result = resumeRun(context.ledger, params, Date.now());
    if (result.kind === "refuse") {
        sendFailed(response, params, result.outcome, 503, "The slot does not know the run");
        return;
    }
    streamFrames(context, result.record, params.nextSequence, response);
}

function sendFailed(
    response: ServerResponse,
    run: { requestId: string; attempt: number; },
    outcome: RunOutcome,
    status: number,
    title: string,
): void {
    const { requestId, attempt } = run;
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.end(
        encodeFrame({ requestId, attempt, sequence: 0, kind: "failed", outcome, status, title, retryAfterSeconds: 1 }),
    );
}

/** Sends the recorded frames from `next` on, then new ones as they come, with keepalive frames in silence. */
function streamFrames(context: SlotContext, record: RunRecord, next: number, response: ServerResponse): void {
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    const isLast = (frame: Frame) => frame.kind === "end" || frame.kind === "failed";
    const recorded = record.frames.slice(next);
    const text = recorded.map(encodeFrame).join("");
    if (recorded.some(isLast)) {
        response.end(text);
        return;
    }
    response.write(text);
    const keepalive = setInterval(() => {
        const { requestId, attempt } = record;
        response.write(encodeFrame({ requestId, attempt, sequence: record.frames.length, kind: "keepalive" }));
    }, keepaliveMs);
    const stop = context.runner.subscribe(record, frame => {
        response.write(encodeFrame(frame));
        keepalive.refresh();
        if (isLast(frame)) {
            close();
            response.end();
        }
    });
    const close = () => {
        clearInterval(keepalive);
        stop();
    };
    response.on("close", close);
}
