/**
 * Takes the requests of a connection one after the other. Node hands over pipelined requests at once; one that is passed on
 * behind a response after which its connection closes would run without an answer. What arrives behind a request is read
 * while that one is answered: a connection that is not read does not show that its caller has left.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyReader } from "./body.js";
import { interruptResponse } from "./interruptResponse.js";
import { createBodyHash } from "./requestDigest.js";

export interface SequentialRequestHandlers {
    /** Handles a request once the responses before it on its connection have been sent. */
    handle: (message: IncomingMessage, response: ServerResponse, body: BodyReader) => void;
    /** Responds that a request has not run, because too much waits in front of it. The connection closes afterwards. */
    refuse: (response: ServerResponse) => void;
}

interface Exchange {
    message: IncomingMessage;
    response: ServerResponse;
    body: BodyReader;
    /** Bytes that are kept while the request waits. */
    waitingBytes: number;
    isRefused: boolean;
}

interface Connection {
    /** The request that is being answered, and those behind it. */
    exchanges: Exchange[];
    waitingBytes: number;
    /** Whether the last request is refused, behind which none is answered. */
    isClosing: boolean;
}

/** Maximum number of bytes of waiting requests of one connection, and of all together. */
const maxWaitingBytes = { connection: 4 * 1024 * 1024, server: 32 * 1024 * 1024 };
/** Estimated memory of a waiting request besides its body, in bytes. */
const requestOverheadBytes = 4096;

/** Passes the requests of all connections on to `handlers`. */
export function handleRequests(server: Server, handlers: SequentialRequestHandlers): void {
    const connections = new WeakMap<Socket, Connection>();
    let serverBytes = 0;
    const keep = (connection: Connection, exchange: Exchange, bytes: number) => {
        exchange.waitingBytes += bytes;
        connection.waitingBytes += bytes;
        serverBytes += bytes;
        if (connection.waitingBytes > maxWaitingBytes.connection || serverBytes > maxWaitingBytes.server) {
            connection.isClosing = true;
            exchange.isRefused = true;
            exchange.body.discard();
            release(connection, exchange);
        }
    };
    const release = (connection: Connection, exchange: Exchange) => {
        connection.waitingBytes -= exchange.waitingBytes;
        serverBytes -= exchange.waitingBytes;
        exchange.waitingBytes = 0;
    };
    const begin = (connection: Connection, exchange: Exchange) => {
        const { message, response, body } = exchange;
        release(connection, exchange);
        response.on("close", () => {
            body.discard();
            handleNext(connection, message.socket);
        });
        if (exchange.isRefused) {
            response.shouldKeepAlive = false;
            handlers.refuse(response);
            return;
        }
        body.stopReadingAhead();
        handlers.handle(message, response, body);
    };
    const handleNext = (connection: Connection, socket: Socket) => {
        connection.exchanges.shift();
        const next = connection.exchanges.at(0);
        if (next !== undefined && socket.writable) {
            begin(connection, next);
        }
    };
    server.on("connection", (socket: Socket) => {
        const connection: Connection = { exchanges: [], waitingBytes: 0, isClosing: false };
        connections.set(socket, connection);
        socket.on("close", () => connection.exchanges.forEach(exchange => release(connection, exchange)));
        // Node ends its side when the caller has ended its own, so that a response that has not ended cannot be completed. A
        // connection can no longer be reset while it ends, so that this listener comes before that of Node.
        socket.prependListener("end", () => {
            const current = connection.exchanges.at(0);
            if (current?.message.complete === true && !current.response.writableEnded) {
                interruptResponse(current.response);
            }
        });
    });
    server.on("request", (message, response) => {
        const connection = connections.get(message.socket)!;
        if (connection.isClosing) {
            message.resume();
            return;
        }
        const exchange = {
            message,
            response,
            body: new BodyReader(message, createBodyHash()),
            waitingBytes: 0,
            isRefused: false,
        };
        connection.exchanges.push(exchange);
        if (connection.exchanges.length === 1) {
            begin(connection, exchange);
            return;
        }
        const keepBytes = (bytes: number) => {
            if (connection.exchanges.at(0) !== exchange) {
                keep(connection, exchange, bytes);
            }
        };
        exchange.body.readAhead(keepBytes);
        keepBytes(requestOverheadBytes);
    });
}
