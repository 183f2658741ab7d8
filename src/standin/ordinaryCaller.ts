/** A caller that sends one small request at a time and comes back after a refusal, beside clients that do not behave. */
import { type OutgoingHttpHeaders, request } from "node:http";
import { setTimeout as wait } from "node:timers/promises";
import type { Address } from "../wire/listen.js";

/** One request with a body, on a connection of its own. */
export interface OrdinaryCall {
    address: Address;
    path: string;
    headers: OutgoingHttpHeaders;
    body: Buffer;
}

export interface OrdinaryResponse {
    /** 0 without a whole response. */
    status: number;
    /** The body, a character for each byte. */
    text: string;
}

/** Attempts of a caller that is refused or whose connection is closed, and the pause between them in milliseconds. */
const maxAttempts = 60;
const attemptPauseMs = 250;
/** Longest silence of a connection, in milliseconds. */
const silenceMs = 10_000;

/** Sends a request as a POST; resolves when the response has ended or the connection has failed. */
function sendOrdinary({ address, path, headers, body }: OrdinaryCall): Promise<OrdinaryResponse> {
    const allHeaders = { ...headers, "content-length": body.length };
    const options = { ...address, method: "POST", path, headers: allHeaders, agent: false, timeout: silenceMs };
    return new Promise(resolve => {
        const fail = () => resolve({ status: 0, text: "" });
        const outgoing = request(options, response => {
            let text = "";
            response.setEncoding("latin1").on("data", (chunk: string) => text += chunk);
            response.on("end", () => resolve({ status: response.statusCode ?? 0, text }));
            response.on("error", fail);
        });
        outgoing.on("timeout", () => outgoing.destroy());
        outgoing.on("error", fail);
        outgoing.end(body);
    });
}

/** Sends requests until one gets status 200, whose body it resolves to; to undefined if none does. */
export async function callUntilAnswered(createCall: () => OrdinaryCall): Promise<string | undefined> {
    for (let attempt = 0; attempt < maxAttempts; attempt++) {
        const { status, text } = await sendOrdinary(createCall());
        if (status === 200) {
            return text;
        }
        await wait(attemptPauseMs);
    }
    return undefined;
}
