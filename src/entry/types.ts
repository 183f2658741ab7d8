/** A caller's request on its way through the filters of an entry. */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { ActiveConfig } from "../config/fold.js";
import type { Route, Workspace } from "../config/schemas.js";

export interface Exchange {
    requestId: string;
    /** Time of arrival, in milliseconds. */
    receivedAt: number;
    message: IncomingMessage;
    response: ServerResponse;
    config: ActiveConfig;
    body: Buffer;
    workspace: Workspace | undefined;
    route: Route | undefined;
    urgency: number;
    idempotencyKey: string | undefined;
    /** Estimated work in tokens. */
    tokens: number;
}

/** A filter completes the exchange or throws a `Refusal`. */
export type Filter = (exchange: Exchange) => Promise<void> | void;
