/** Filters of an entry that take a request: the first one validates its head, a later one reads its body. */
import type { IncomingMessage } from "node:http";
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { HoldingStage } from "../routing/memoryAccount.js";
import { getContentLength } from "../wire/body.js";
import { countJsonBytes } from "../wire/jsonSize.js";
import { closeBehind } from "../wire/lingeringClose.js";
import { maxRpcBytes } from "../wire/rpc.js";
import { type Body, joinBody } from "../wire/segmentedBody.js";
import type { Exchange, Filter } from "./types.js";

/** Default urgency of RFC 9218. */
const defaultUrgency = 3;
const maxIdempotencyKeyLength = 200;
/** Headers that may occur only once. */
const singletonHeaders = ["authorization", "idempotency-key", "priority", "content-type", "host"];
const refusedMethods = new Set(["TRACE", "CONNECT"]);
/** Maximum length of one body byte in the JSON message to a slot, in bytes: `\u0000`. */
const maxEncodedBytesPerByte = 6;
/** Space reserved in a message to a slot for everything but the body, in bytes. */
const messageOverheadBytes = 64 * 1024;

/**
 * Creates the filter. It sets the urgency and the idempotency key of the exchange, and throws a `RefusalError` for invalid
 * requests and for those that announce a body longer than `maxBodyBytes`.
 */
export function createAcceptFilter(maxBodyBytes: number): Filter {
    return exchange => {
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
        if ((getContentLength(message) ?? 0) > maxBodyBytes) {
            throw createBodyRefusal(exchange, maxBodyBytes);
        }
    };
}

/**
 * Creates the filter that reads the body, after those that need none. It sets the body of the exchange, and throws a
 * `RefusalError` if it is incomplete or longer than `maxBodyBytes`.
 */
export function createBodyFilter(maxBodyBytes: number): Filter {
    return async exchange => {
        const { bodyReader, fields, reservation, response } = exchange;
        fields.pack();
        const body = await bodyReader.read(maxBodyBytes);
        if (response.headersSent) {
            return;
        }
        if (body === undefined || isOversize(body)) {
            throw createBodyRefusal(exchange, maxBodyBytes);
        }
        fields.restore();
        exchange.body = joinBody(body);
        bodyReader.discard();
        reservation.setStage(HoldingStage.queued);
        reservation.add(exchange.body.length);
    };
}

/** Creates the error of a body that is refused; the connection closes behind the response. */
function createBodyRefusal({ response }: Exchange, maxBodyBytes: number): Error {
    closeBehind(response);
    return createInputRefusal(413, `The body is cut short or longer than ${maxBodyBytes} bytes`);
}

function createInputRefusal(status: number, title: string): Error {
    return createRefusal(title, { status, outcome: RunOutcome.notRun });
}

/** Whether the body, as encoded in a message to a slot, exceeds the message size limit. */
function isOversize(body: Body): boolean {
    const limit = maxRpcBytes - messageOverheadBytes;
    return body.length > limit / maxEncodedBytesPerByte &&
        body.segments.reduce((sum, segment) => sum + countJsonBytes(segment), 0) > limit;
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

/** Refuses paths with dot segments: an upstream that normalizes them may serve another path than the one routed by. */
function validatePath(url: string): void {
    const segments = url.split("?")[0].replaceAll(/%2e/gi, ".").split(/\/|\\|%2f|%5c/i);
    if (!url.startsWith("/") || segments.some(segment => segment === "." || segment === "..")) {
        throw createInputRefusal(400, "The path is ambiguous");
    }
}

/** Parses the urgency of an RFC 9218 `priority` header; returns the default if it is absent or invalid. */
export function parseUrgency(header: string | string[] | undefined): number {
    const match = /(?:^|[,\s])u=([0-7])(?:$|[,;\s])/.exec(String(header ?? ""));
    return !match ? defaultUrgency : Number(match[1]);
}

/** Estimates the tokens of a request: one per four bytes of the body, plus `max_tokens`, or 1 if it is absent. */
export function estimateTokens(exchange: Exchange): number {
    const match = /"max_tokens"\s*:\s*(\d{1,6})/.exec(exchange.body.toString("latin1"));
    return Math.ceil(exchange.body.length / 4) + (!match ? 1 : Number(match[1]));
}
