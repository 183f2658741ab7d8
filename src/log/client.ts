/** HTTP client for the platform's log service. */
import { Agent, request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import { readBodyWithProgress, startProgressTimeout } from "../core/progressTimeout.js";
import type { AppendRecord, LogClient, ReadResult } from "./types.js";

/** Maximum time without data beyond the time that a read waits for records, in milliseconds. */
const timeoutMs = 5000;
const keepAliveMs = 10_000;
const maxConnections = 4;
const maxResponseBytes = 64 * 1024 * 1024;

const ReadResultSchema = z.object({
    records: z.array(z.object({ offset: z.number(), id: z.string(), time: z.number(), data: z.unknown() })),
    next: z.number(),
    oldest: z.number(),
});
const AppendResultSchema = z.object({ offset: z.number() });

/** Called with the size of each request and response. */
export type CountBytes = (direction: "sent" | "received", bytes: number) => void;

interface Connection {
    url: string;
    agent: Agent;
    countBytes: CountBytes;
}

/**
 * Creates a client for the log service at `url`. Calls reject with a `CallError` on any status but 200, and with a
 * network, time-out or parse error otherwise. A response that makes progress does not time out. After a network error,
 * a time-out or malformed JSON, the next calls use new connections, because the old ones may never respond again.
 */
export function createLogClient(url: string, countBytes: CountBytes = () => undefined): LogClient {
    const connection: Connection = { url, agent: createAgent(), countBytes };
    return {
        append: (stream, records) => appendRecords(connection, stream, records),
        read: (stream, from, waitMs) => readRecords(connection, stream, from, waitMs),
    };
}

function createAgent(): Agent {
    return new Agent({
        connections: maxConnections,
        keepAliveTimeout: keepAliveMs,
        maxResponseSize: maxResponseBytes,
        connect: { timeout: timeoutMs },
    });
}

async function appendRecords(connection: Connection, stream: string, records: AppendRecord[]): Promise<number> {
    const body = await callLog(connection, `/streams/${stream}`, "POST", { records }, 0);
    return AppendResultSchema.parse(body).offset;
}

async function readRecords(
    connection: Connection,
    stream: string,
    from: number,
    waitMs: number,
): Promise<ReadResult> {
    const path = `/streams/${stream}?from=${from}&waitMs=${waitMs}`;
    return ReadResultSchema.parse(await callLog(connection, path, "GET", undefined, waitMs));
}

async function callLog(
    connection: Connection,
    path: string,
    method: "GET" | "POST",
    body: unknown,
    waitMs: number,
): Promise<unknown> {
    const requestBody = body === undefined ? undefined : JSON.stringify(body);
    const { agent } = connection;
    const timeout = startProgressTimeout(timeoutMs + waitMs);
    connection.countBytes("sent", path.length + Buffer.byteLength(requestBody ?? ""));
    try {
        const response = await request(`${connection.url}${path}`, {
            method,
            headers: { "content-type": "application/json" },
            body: requestBody,
            dispatcher: agent,
            signal: timeout.signal,
        });
        const responseBody = await readBodyWithProgress(response.body, timeout);
        connection.countBytes("received", Buffer.byteLength(responseBody));
        if (response.statusCode !== 200) {
            throw new CallError(
                `the log service responded with status ${response.statusCode}: ${responseBody.slice(0, 200)}`,
            );
        }
        return JSON.parse(responseBody);
    }
    catch (error) {
        if (!(error instanceof CallError)) {
            replaceAgent(connection, agent);
        }
        throw error;
    }
    finally {
        timeout.clear();
    }
}

function replaceAgent(connection: Connection, failed: Agent): void {
    if (connection.agent === failed) {
        connection.agent = createAgent();
        void failed.close();
    }
}
