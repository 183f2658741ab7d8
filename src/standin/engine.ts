/** Stand-in for a model engine: streams chat completions and counts what it ran. */
import type { ServerResponse } from "node:http";
import { type Handler, sendJson, startServer } from "./http.js";

export interface UpstreamStandin {
    url: string;
    /** Runs by request id. */
    runs: Map<string, number>;
    /** Runs by idempotency key and workspace. */
    runsByKey: Map<string, number>;
    close: () => void;
}

export interface EngineOptions {
    /** Time between two tokens, in milliseconds. */
    tokenMs: number;
    firstTokenMs: number;
}

interface ChatRequest {
    model: string;
    stream?: boolean;
    max_tokens?: number;
    messages: { role: string; content: string; }[];
}

const defaultTokens = 16;

/** Starts an engine on `port`; 0 picks a free one. */
export async function startEngineStandin(
    port: number,
    options: EngineOptions,
    handlers: Record<string, Handler> = {},
): Promise<UpstreamStandin> {
    const runs = new Map<string, number>();
    const runsByKey = new Map<string, number>();
    const complete: Handler = async (message, body, response) => {
        countRun(runs, runsByKey, message.headers);
        const chat = JSON.parse(body) as ChatRequest;
        const words = createWords(chat);
        if (chat.stream !== true) {
            await new Promise(resolve => setTimeout(resolve, options.firstTokenMs + options.tokenMs * words.length));
            sendJson(response, 200, { choices: [{ message: { role: "assistant", content: words.join(" ") } }] });
            return;
        }
        await streamWords(response, words, options);
    };
    const { server, url } = await startServer(port, { "POST /v1": complete, ...handlers });
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

/** Creates the words that the engine answers, which depend on the request only. */
export function createWords(chat: Pick<ChatRequest, "messages" | "max_tokens">): string[] {
    const prompt = chat.messages[chat.messages.length - 1]?.content ?? "";
    return Array.from({ length: chat.max_tokens ?? defaultTokens }, (word, index) => `${prompt}-${index}`);
}

async function streamWords(response: ServerResponse, words: string[], options: EngineOptions): Promise<void> {
    response.writeHead(200, { "content-type": "text/event-stream" });
    response.flushHeaders();
    await new Promise(resolve => setTimeout(resolve, options.firstTokenMs));
    for (const [index, word] of words.entries()) {
        if (response.destroyed) {
            return;
        }
        response.write(`id: ${index}\ndata: ${JSON.stringify({ choices: [{ delta: { content: word } }] })}\n\n`);
        await new Promise(resolve => setTimeout(resolve, options.tokenMs));
    }
    response.end("data: [DONE]\n\n");
}

/** Counts a run by request id and, when it has one, by idempotency key. */
export function countRun(
    runs: Map<string, number>,
    runsByKey: Map<string, number>,
    headers: Record<string, string | string[] | undefined>,
): void {
    const id = String(headers["x-request-id"]);
    runs.set(id, (runs.get(id) ?? 0) + 1);
    const key = headers["idempotency-key"];
    if (key !== undefined) {
        const name = `${String(headers["x-workspace"])}/${String(key)}`;
        runsByKey.set(name, (runsByKey.get(name) ?? 0) + 1);
    }
}
