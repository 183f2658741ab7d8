/** Internal HTTP server of a slot (an upstream's sidecar): `run` and `resume` calls of entries, and JSON-RPC calls. */
import type { Server, ServerResponse } from "node:http";
import { z } from "zod";
import type { SlotSettings } from "../config/settings.js";
import { RunOutcome } from "../core/types.js";
import type { Metrics } from "../observe/metrics.js";
import type { CallerMemory } from "../wire/callerMemory.js";
import { encodeFrame } from "../wire/frames.js";
import { InternalPath, ResumeParamsSchema, RevokeParamsSchema, RunParamsSchema } from "../wire/messages.js";
import type { RpcMethods } from "../wire/rpc.js";
import { createInternalServer, createRpcHandler } from "../wire/server.js";
import { streamFrames } from "./reader.js";
import type { Runner } from "./runner.js";
import { beginRun, resumeRun, revokeRun, type RunStore } from "./runStore.js";

/** Dependencies of the internal server. */
export interface SlotContext {
    settings: SlotSettings;
    /** Memory that all servers of the process share. */
    memory: CallerMemory;
    store: RunStore;
    runner: Runner;
    metrics: Metrics;
    /** Returns the weight of a workspace in the active configuration. */
    getWeight: (workspace: string) => number;
    /** JSON-RPC methods of other components, such as groups and peers. */
    methods: RpcMethods;
}

/** Creates the server, which is not yet listening. */
export function createSlotServer(context: SlotContext): Server {
    return createInternalServer({
        memory: context.memory,
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
            outcome: revokeRun(context.store, RevokeParamsSchema.parse(params), Date.now()),
        }),
    };
}

const CallSchema = z.object({ jsonrpc: z.literal("2.0"), method: z.string(), params: z.unknown() });

/** Parses the body of a JSON-RPC call and its parameters; returns undefined if it is invalid. */
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
    const result = beginRun(context.store, params, Date.now());
    if (result.kind === "refuse") {
        sendFailure(context, response, params, {
            outcome: RunOutcome.notRun,
            status: result.status,
            title: result.title,
        });
        return;
    }
    if (result.kind === "begin") {
        context.runner.start(result.record, params, context.getWeight(params.workspace));
    }
    streamFrames(context.runner, result.record, 0, response);
}

function handleResume(context: SlotContext, body: string, response: ServerResponse): void {
    const params = safeParseCall(body, ResumeParamsSchema);
    if (params === undefined) {
        response.writeHead(400).end();
        return;
    }
    const result = resumeRun(context.store, params, Date.now());
    if (result.kind === "refuse") {
        sendFailure(context, response, params, { outcome: result.outcome, status: 503, title: result.title });
        return;
    }
    streamFrames(context.runner, result.record, params.nextSequence, response);
}

/** Sends a response that consists of one `failed` frame. */
function sendFailure(
    context: SlotContext,
    response: ServerResponse,
    run: { requestId: string; attempt: number; },
    failure: { outcome: RunOutcome; status: number; title: string; },
): void {
    const { requestId, attempt } = run;
    const { incarnation } = context.store;
    response.writeHead(200, { "content-type": "application/x-ndjson" });
    response.end(
        encodeFrame({ requestId, attempt, sequence: 0, kind: "failed", ...failure, retryAfterSeconds: 1, incarnation }),
    );
}
