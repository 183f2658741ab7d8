/** First filter: reads the body and the headers that steer a request. */
import { createRefusal } from "../core/errors.js";
import { RunOutcome } from "../core/types.js";
import { readBody } from "../wire/rpc.js";
import type { Exchange, Filter } from "./types.js";

const defaultUrgency = 3;
const maxKeyLength = 200;
/** Headers that must not be repeated. */
const singleHeaders = ["authorization", "idempotency-key", "priority", "content-type"];

/** Creates the filter; bodies over `maxBodyBytes` are refused. */
export function createAcceptFilter(maxBodyBytes: number): Filter {
    return async exchange => {
        const { message } = exchange;
        checkHeaders(message.rawHeaders);
        exchange.urgency = parseUrgency(message.headers.priority);
        exchange.idempotencyKey = message.headers["idempotency-key"] as string | undefined;
        if ((exchange.idempotencyKey?.length ?? 0) > maxKeyLength) {
            throw createRefusal(`Idempotency-Key is longer than ${maxKeyLength} characters`, {
                status: 400,
                outcome: RunOutcome.notRun,
            });
        }
        const body = await readBody(message, maxBodyBytes);
        if (body === undefined) {
            throw createRefusal(`The body is cut short or longer than ${maxBodyBytes} bytes`, {
                status: 413,
                outcome: RunOutcome.notRun,
            });
        }
        exchange.body = body;
    };
}

function checkHeaders(rawHeaders: string[]): void {
    const names = rawHeaders.filter((name, index) => index % 2 === 0).map(name => name.toLowerCase());
    for (const single of singleHeaders) {
        if (names.filter(name => name === single).length > 1) {
            throw createRefusal(`Header ${single} is repeated`, { status: 400, outcome: RunOutcome.notRun });
        }
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
