/** HTTP client of the platform's log service. */
import { request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import type { AppendRecord, LogClient, ReadResult } from "./types.js";

const timeoutMs = 5000;

const ReadResultSchema = z.object({
    records: z.array(z.object({ offset: z.number(), id: z.string(), time: z.number(), data: z.unknown() })),
    next: z.number(),
    oldest: z.number(),
});
const AppendResultSchema = z.object({ offset: z.number() });

/** Creates a client for the log service at `url`. */
export function createLogClient(url: string): LogClient {
    return {
        append: (stream, records) => appendRecords(url, stream, records),
        read: (stream, from, waitMs) => readRecords(url, stream, from, waitMs),
    };
}

async function appendRecords(url: string, stream: string, records: AppendRecord[]): Promise<number> {
    const body = await callLog(`${url}/streams/${stream}`, "POST", { records }, 0);
    return AppendResultSchema.parse(body).offset;
}

async function readRecords(url: string, stream: string, from: number, waitMs: number): Promise<ReadResult> {
    const body = await callLog(`${url}/streams/${stream}?from=${from}&waitMs=${waitMs}`, "GET", undefined, waitMs);
    return ReadResultSchema.parse(body);
}

async function callLog(url: string, method: "GET" | "POST", body: unknown, extraMs: number): Promise<unknown> {
    const limit = timeoutMs + extraMs;
    const response = await request(url, {
        method,
        headers: { "content-type": "application/json" },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(limit),
    });
    const text = await response.body.text();
    if (response.statusCode !== 200) {
        throw new CallError(`the log answered ${response.statusCode}: ${text.slice(0, 200)}`);
    }
    return JSON.parse(text);
}
