/** HTTP client of the platform's log service. */
import { Agent, request } from "undici";
import { z } from "zod";
import { CallError } from "../core/errors.js";
import type { AppendRecord, LogClient, ReadResult } from "./types.js";

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

/** Counts bytes of bodies by direction. */
export type CountBytes = (direction: "sent" | "received", bytes: number) => void;

interface Connection {
    url: string;
    agent: Agent;
    countBytes: CountBytes;
}

/**
 * Creates a client for the log service at `url`. Every call has a time limit; after a failed one, calls go on a new
 * connection, since the old one may be silent for good.
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
    const text = body === undefined ? undefined : JSON.stringify(body);
    const { agent } = connection;
    connection.countBytes("sent", path.length + Buffer.byteLength(text ?? ""));
    try {
        const response = await request(`${connection.url}${path}`, {
            method,
            headers: { "content-type": "application/json" },
            body: text,
            dispatcher: agent,
            signal: AbortSignal.timeout(timeoutMs + waitMs),
        });
        const answer = await response.body.text();
        connection.countBytes("received", Buffer.byteLength(answer));
        if (response.statusCode !== 200) {
            throw new CallError(`the log answered ${response.statusCode}: ${answer.slice(0, 200)}`);
        }
        return JSON.parse(answer);
    }
    catch (error) {
        if (!(error instanceof CallError)) {
            replaceAgent(connection, agent);
        }
        throw error;
    }
}

function replaceAgent(connection: Connection, failed: Agent): void {
    if (connection.agent === failed) {
        connection.agent = createAgent();
        void failed.close();
    }
}
