/** A caller's request and the filters that process it in an entry. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ActiveConfig } from "../config/fold.js";
import type { Route, Workspace } from "../config/schemas.js";
import type { BodyReader } from "../wire/body.js";
import type { CallerRequest } from "../wire/sequentialRequests.js";

/** A request with its response, and what the filters have determined about it so far. */
export interface Exchange {
    requestId: string;
    /** Arrival time, in milliseconds since the epoch. */
    receivedAt: number;
    message: IncomingMessage;
    bodyReader: BodyReader;
    fields: CallerRequest["fields"];
    /** Memory that is held for the request. */
    reservation: CallerRequest["reservation"];
    /** Sets what gives the request up when the process is short of memory. */
    setEvictor: CallerRequest["setEvictor"];
    response: ServerResponse;
    /** Config in force when the request arrived. */
    config: ActiveConfig;
    body: Buffer;
    workspace: Workspace | undefined;
    route: Route | undefined;
    /** Urgency as in RFC 9218: 0 is the most urgent. */
    urgency: number;
    idempotencyKey: string | undefined;
    /** Estimated work in tokens. */
    tokens: number;
}

/**
 * One step of processing; throws a `RefusalError` to end the request with an error response. No further step follows once a
 * response has been sent.
 */
export type Filter = (exchange: Exchange) => Promise<void> | void;
