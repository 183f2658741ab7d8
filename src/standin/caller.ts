/** HTTP caller that checks each response: complete and for its own request, or an error that states the outcome. */
import { Agent, request } from "undici";
import { generateTokens } from "./engine.js";

export interface CallResult {
    requestId: string;
    /** HTTP status; 0 when no response headers arrived. */
    status: number;
    /** Value of the `beechdock-outcome` header; undefined when no response headers arrived. */
    outcome: string | undefined;
    /** Whether the response was complete and matches the request. */
    isCorrect: boolean;
    /** Whether the response ended as complete but does not match the request. */
    isMismatched: boolean;
    /** Time until the first body chunk, in milliseconds. */
    firstTokenMs: number | undefined;
    totalMs: number;
    /** Value of the `retry-after` header. */
    retryAfter: string | undefined;
    /** Response body so far, or the message of the error that ended the call. */
    text: string;
}

export interface CallOptions {
    /** API key of the calling workspace. */
    key: string;
    headers?: Record<string, string>;
}

/** Opens a new connection for each call, as callers behind a network load balancer do, and applies no timeouts. */
const agent = new Agent({ pipelining: 0, headersTimeout: 0, bodyTimeout: 0 });

/** Streams a chat completion and checks every token. */
export async function callChat(
    url: string,
    prompt: string,
    maxTokens: number,
    options: CallOptions,
): Promise<CallResult> {
    const chat = {
        model: "assistant",
        stream: true,
        max_tokens: maxTokens,
        messages: [{ role: "user", content: prompt }],
    };
    const expected = generateTokens(chat);
    return callUrl(`${url}/v1/chat/completions`, JSON.stringify(chat), options, text => {
        const lines = text.split("\n").filter(line => line.startsWith("data: "));
        const tokens = lines.slice(0, -1).map(line => parseToken(line));
        return lines[lines.length - 1] === "data: [DONE]" && tokens.join(" ") === expected.join(" ");
    });
}

/** Calls a plain service and checks that the response echoes the path and body of this call. */
export async function callPlain(url: string, path: string, body: string, options: CallOptions): Promise<CallResult> {
    return callUrl(`${url}${path}`, body, options, text => {
        const response = JSON.parse(text) as { echo: string; path: string; };
        return response.echo === body && response.path === path;
    });
}

async function callUrl(
    url: string,
    body: string,
    options: CallOptions,
    isExpected: (text: string) => boolean,
): Promise<CallResult> {
    const startedAt = performance.now();
    const result: CallResult = {
        requestId: "",
        status: 0,
        outcome: undefined,
        isCorrect: false,
        isMismatched: false,
        firstTokenMs: undefined,
        totalMs: 0,
        retryAfter: undefined,
        text: "",
    };
    try {
        const response = await request(url, {
            method: "POST",
            dispatcher: agent,
            headers: { authorization: `Bearer ${options.key}`, "content-type": "application/json", ...options.headers },
            body,
        });
        result.status = response.statusCode;
        result.outcome = response.headers["beechdock-outcome"] as string | undefined;
        result.requestId = String(response.headers["beechdock-request-id"]);
        result.retryAfter = response.headers["retry-after"] as string | undefined;
        for await (const chunk of response.body) {
            result.firstTokenMs ??= performance.now() - startedAt;
            result.text += (chunk as Buffer).toString();
        }
        if (response.statusCode === 200) {
            result.isCorrect = isExpected(result.text);
            result.isMismatched = !result.isCorrect && !result.text.includes("event: error");
        }
    }
    catch (error) {
        result.text = (error as Error).message;
    }
    result.totalMs = performance.now() - startedAt;
    return result;
}

function parseToken(line: string): string {
    try {
        const event = JSON.parse(line.slice("data: ".length)) as { choices: { delta: { content: string; }; }[]; };
        return event.choices[0].delta.content;
    }
    catch {
        return "";
    }
}
