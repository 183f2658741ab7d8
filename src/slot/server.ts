/** Internal HTTP interface of a slot: run, resume and JSON-RPC calls. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { z } from "zod";
import type { SlotSettings } from "../config/settings.js";
import { RunOutcome } from "../core/types.js";
import type { Metrics } from "../observe/metrics.js";
import { authHeader, verifyCall } from "../wire/auth.js";
import { encodeFrame } from "../wire/frames.js";
import { type Frame, InternalPath, ResumeParamsSchema, RevokeParamsSchema, RunParamsSchema } from "../wire/messages.js";
import { createRpcServer, maxRpcBytes, readBody, type RpcMethods } from "../wire/rpc.js";
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

type Handler = (context: SlotContext, body: string, response: ServerResponse) => Promise<void> | void;

/** Creates the server; the caller listens on it. */
export function createSlotServer(context: SlotContext): Server {
    const rpc = createRpcServer({ ...createSlotMethods(context), ...context.methods });
    const handlers: Record<string, Handler> = {
        [InternalPath.run]: handleRun,
        [InternalPath.resume]: handleResume,
        [InternalPath.rpc]: async (context, body, response) => {
            const answer = await rpc.receiveJSON(body);
            response.writeHead(200, { "content-type": "application/json" }).end(JSON.stringify(answer ?? {}));
        },
    };
    return createServer((message, response) => void handleMessage(context, handlers, message, response));
}

async function handleMessage(
    context: SlotContext,
    handlers: Record<string, Handler>,
    message: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const path = message.url ?? "/";
    if (message.method === "GET" && path === "/metrics") {
        response.writeHead(200, { "content-type": "text/plain" }).end(await context.metrics.registry.metrics());
        return;
    }
    const handler = message.method === "POST" ? handlers[path] : undefined;
    if (handler === undefined) {
        response.writeHead(404).end();
        return;
    }
    const body = await readBody(message, maxRpcBytes);
    if (body === undefined) {
        response.writeHead(413).end();
        return;
    }
    const { environment, internalKeys, instance: target } = context.settings;
    const text = body.toString();
    const header = message.headers[authHeader] as string | undefined;
    if (!verifyCall(internalKeys, { environment, path, body: text, target }, header, Date.now())) {
        response.writeHead(401).end();
        return;
    }
    await handler(context, text, response);
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
