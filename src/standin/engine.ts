/** Fake model engine: streams chat completions and counts the requests that it ran. */
import type { ServerResponse } from "node:http";
import { type RequestHandler, sendJson, startHttpServer } from "./http.js";

export interface FakeUpstream {
    url: string;
    /** Number of runs by request id. */
    runs: Map<string, number>;
    /** Number of runs by `WORKSPACE/IDEMPOTENCY_KEY`. */
    runsByKey: Map<string, number>;
    close: () => void;
}

export interface FakeEngineOptions {
    /** Time between two tokens, in milliseconds. */
    tokenMs: number;
    /** Time to the first token, in milliseconds. */
    firstTokenMs: number;
}

interface ChatRequest {
    model: string;
    stream?: boolean;
    max_tokens?: number;
    messages: { role: string; content: string; }[];
}

const defaultMaxTokens = 16;

/** Starts the engine on `port`; 0 picks a free port. `handlers` adds routes, see `startHttpServer`. */
export async function startFakeEngine(
    port: number,
    options: FakeEngineOptions,
    handlers: Record<string, RequestHandler> = {},
): Promise<FakeUpstream> {
    const runs = new Map<string, number>();
    const runsByKey = new Map<string, number>();
    const complete: RequestHandler = async (request, body, response) => {
        countRun(runs, runsByKey, request.headers);
        const chat = JSON.parse(body) as ChatRequest;
        const tokens = generateTokens(chat);
        if (chat.stream !== true) {
            await new Promise(resolve => setTimeout(resolve, options.firstTokenMs + options.tokenMs * tokens.length));
            sendJson(response, 200, { choices: [{ message: { role: "assistant", content: tokens.join(" ") } }] });
            return;
        }
        await streamTokens(response, tokens, options);
    };
    const { server, url } = await startHttpServer(port, { "POST /v1": complete, ...handlers });
    return {
        url,
        runs,
        runsByKey,
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Generates the tokens of the completion, which depend on the request only, so that a caller can check them. */
export function generateTokens(chat: Pick<ChatRequest, "messages" | "max_tokens">): string[] {
    const prompt = chat.messages[chat.messages.length - 1]?.content ?? "";
    return Array.from({ length: chat.max_tokens ?? defaultMaxTokens }, (token, index) => `${prompt}-${index}`);
}

async function streamTokens(response: ServerResponse, tokens: string[], options: FakeEngineOptions): Promise<void> {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    await new Promise(resolve => setTimeout(resolve, options.firstTokenMs));
    for (const [index, token] of tokens.entries()) {
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${index}\ndata: ${JSON.stringify({ choices: [{ delta: { content: token } }] })}\n\n`);
        await new Promise(resolve => setTimeout(resolve, options.tokenMs));
    }
    response.end("data: [DONE]\n\n");
}

/** Counts a run by request id and, when the request carries one, by idempotency key. */
export function countRun(
    runs: Map<string, number>,
    runsByKey: Map<string, number>,
    headers: Record<string, string | string[] | undefined>,
): void {
    const requestId = String(headers["x-request-id"]);
    runs.set(requestId, (runs.get(requestId) ?? 0) + 1);
    const idempotencyKey = headers["idempotency-key"];
    if (idempotencyKey !== undefined) {
        const workspaceKey = `${String(headers["x-workspace"])}/${String(idempotencyKey)}`;
        runsByKey.set(workspaceKey, (runsByKey.get(workspaceKey) ?? 0) + 1);
    }
}
