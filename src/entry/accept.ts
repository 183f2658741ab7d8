/** First filter: reads the body and the headers that steer a request. */
import type { IncomingMessage } from "node:http";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { readBody } from "../wire/body.js";
import { maxRpcBytes } from "../wire/rpc.js";
import type { Exchange, Filter } from "./types.js";

const defaultUrgency = 3;
const maxIdempotencyKeyLength = 200;
/** Headers that must not be repeated. */
const singletonHeaders = ["authorization", "idempotency-key", "priority", "content-type", "host"];
const refusedMethods = new Set(["TRACE", "CONNECT"]);
/** Longest encoding of one body byte in a message to a slot, in bytes. */
const maxEncodedBytesPerByte = 6;
/** Bytes of a message to a slot beside the body. */
const messageOverheadBytes = 64 * 1024;

/** Creates the filter; bodies over `maxBodyBytes` are refused. */
export function createAcceptFilter(maxBodyBytes: number): Filter {
    return async exchange => {
        const { message } = exchange;
        if (refusedMethods.has(message.method ?? "")) {
            throw createInputRefusal(405, `Method ${message.method} is not served`);
        }
        validateHeaders(message);
        validatePath(message.url ?? "/");
        exchange.urgency = parseUrgency(message.headers.priority);
        exchange.idempotencyKey = message.headers["idempotency-key"] as string | undefined;
        if ((exchange.idempotencyKey?.length ?? 0) > maxIdempotencyKeyLength) {
            throw createInputRefusal(400, `Idempotency-Key is longer than ${maxIdempotencyKeyLength} characters`);
        }
        const body = await readBody(message, maxBodyBytes);
        if (body === undefined || isOversize(body)) {
            message.resume();
            exchange.response.shouldKeepAlive = false;
            throw createInputRefusal(413, `The body is cut short or longer than ${maxBodyBytes} bytes`);
        }
        exchange.body = body;
    };
}

function createInputRefusal(status: number, title: string): Error {
    return createRefusal(title, { status, outcome: RunOutcome.notRun });
}

/** Whether the body, encoded for the slot, is longer than a message may be. */
function isOversize(body: Buffer): boolean {
    const limit = maxRpcBytes - messageOverheadBytes;
    return body.length > limit / maxEncodedBytesPerByte &&
        Buffer.byteLength(JSON.stringify(body.toString("latin1"))) > limit;
}

function validateHeaders(message: IncomingMessage): void {
    const names = message.rawHeaders.filter((name, index) => index % 2 === 0).map(name => name.toLowerCase());
    for (const singleton of singletonHeaders) {
        if (names.filter(name => name === singleton).length > 1) {
            throw createInputRefusal(400, `Header ${singleton} is repeated`);
        }
    }
    if (message.httpVersion === "1.1" && message.headers.host === undefined) {
        throw createInputRefusal(400, "Header host is missing");
    }
}

/** Refuses paths that an upstream may read as another path than the one that the route is found by. */
function validatePath(url: string): void {
    const segments = url.split("?")[0].replaceAll(/%2e/gi, ".").split(/\/|\\|%2f|%5c/i);
    if (!url.startsWith("/") || segments.some(segment => segment === "." || segment === "..")) {
        throw createInputRefusal(400, "The path is ambiguous");
    }
}

/** Parses the urgency of an RFC 9218 priority header; anything unreadable counts as the default. */
export function parseUrgency(header: string | string[] | undefined): number {
    const match = /(?:^|[,\s])u=([0-7])(?:$|[,;\s])/.exec(String(header ?? ""));
    return !match ? defaultUrgency : Number(match[1]);
}

/** Estimates the tokens of a request: prompt bytes at four a token, and the tokens that it may generate. */
export function estimateTokens(exchange: Exchange): number {
    const match = /"max_tokens"\s*:\s*(\d{1,6})/.exec(exchange.body.toString("latin1"));
    return Math.ceil(exchange.body.length / 4) + (!match ? 1 : Number(match[1]));
}
