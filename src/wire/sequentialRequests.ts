/**
 * Takes the requests of a connection one after the other. Node hands over pipelined requests at once; one that is passed on
 * behind a response after which its connection closes would run without an answer. What arrives behind a request is read
 * while that one is answered: a connection that is not read does not show that its caller has left.
 */
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import { BodyReader } from "./body.js";
import type { CallerMemory, MemoryReservation } from "./callerMemory.js";
import { interruptResponse } from "./interruptResponse.js";
import { closeBehind, discardInput } from "./lingeringClose.js";
import { createBodyHash } from "./requestDigest.js";
import { RequestFields } from "./requestFields.js";

/** Request of a caller that is being handled. */
export interface CallerRequest {
    message: IncomingMessage;
    response: ServerResponse;
    body: BodyReader;
    fields: RequestFields;
    /** Memory that is held for the request; closed when its response has been sent or its connection has closed. */
    reservation: MemoryReservation;
    /** Sets what gives the request up when the process is short of memory; `refuse` until then. */
    setEvictor: (evict: () => void) => void;
}

export interface SequentialRequestHandlers {
    /** Handles a request once the responses before it on its connection have been sent. */
    handle: (request: CallerRequest) => void;
    /** Responds that a request has not run, because the process is short of memory. The connection closes afterwards. */
    refuse: (response: ServerResponse) => void;
}

interface Exchange {
    message: IncomingMessage;
    response: ServerResponse;
    body: BodyReader;
    fields: RequestFields;
    isRefused: boolean;
}

interface Connection {
    /** The request that is being answered, and those behind it. */
    exchanges: Exchange[];
    /** Memory of the requests that wait; undefined if there are none. */
    waiting: MemoryReservation | undefined;
    /** Whether the last request is refused, behind which none is answered. */
    isClosing: boolean;
}

/** Maximum memory of the requests that wait on one connection, in bytes. */
const maxWaitingBytes = 4 * 1024 * 1024;
/** Estimated memory of a request besides its fields and its body, in bytes. */
const requestOverheadBytes = 12 * 1024;

/** Passes the requests of all connections on to `handlers`, within `memory`. */
export function handleRequests(server: Server, memory: CallerMemory, handlers: SequentialRequestHandlers): void {
    const connections = new WeakMap<Socket, Connection>();

    /** Drops the requests of a connection from position `first` on, the first of which is refused in its turn. */
    const dropFrom = (connection: Connection, socket: Socket, first: number) => {
        const refused = connection.exchanges.at(first);
        const dropped = connection.exchanges.splice(first + 1);
        connection.isClosing = true;
        if (refused !== undefined) {
            refused.isRefused = true;
            refused.body.discard();
        }
        dropped.forEach(exchange => exchange.body.discard());
        discardInput(socket);
    };
    /** Drops all requests that wait on a connection, because the process is short of memory. */
    const dropWaiting = (connection: Connection, socket: Socket) => {
        const waitingCount = connection.exchanges.length - 1;
        dropFrom(connection, socket, 1);
        // Node keeps their messages until the connection closes.
        connection.waiting = memory.open(() => socket.destroy());
        connection.waiting.add(waitingCount * requestOverheadBytes);
    };
    /** Opens the memory of the requests that wait on a connection; the one with which it becomes too large is refused. */
    const openWaiting = (connection: Connection, socket: Socket): MemoryReservation => {
        const reservation = memory.open(() => dropWaiting(connection, socket));
        return {
            ...reservation,
            add: bytes => {
                const isOpen = reservation.add(bytes);
                if (isOpen && !connection.isClosing && reservation.getBytes() > maxWaitingBytes) {
                    dropFrom(connection, socket, connection.exchanges.length - 1);
                }
                return isOpen;
            },
        };
    };
    const begin = (connection: Connection, exchange: Exchange) => {
        const { message, response, body, fields } = exchange;
        let evict = () => {
            body.discard();
            closeBehind(response);
            handlers.refuse(response);
        };
        const reservation = memory.open(() => evict());
        const close = () => {
            reservation.close();
            body.discard();
        };
        response.on("close", () => {
            close();
            handleNext(connection, message.socket);
        });
        if (exchange.isRefused) {
            evict();
            return;
        }
        body.stopReadingAhead();
        body.transferTo(reservation);
        fields.restore();
        fields.transferTo(reservation);
        if (reservation.add(requestOverheadBytes)) {
            handlers.handle({ message, response, body, fields, reservation, setEvictor: evictor => evict = evictor });
        }
    };
    const handleNext = (connection: Connection, socket: Socket) => {
        connection.exchanges.shift();
        const next = connection.exchanges.at(0);
        if (next === undefined || !socket.writable) {
            return;
        }
        if (!next.isRefused) {
            connection.waiting?.add(-requestOverheadBytes);
        }
        begin(connection, next);
    };
    const enqueue = (connection: Connection, exchange: Exchange) => {
        const { message, body, fields } = exchange;
        fields.pack();
        connection.waiting ??= openWaiting(connection, message.socket);
        body.transferTo(connection.waiting);
        body.readAhead();
        fields.transferTo(connection.waiting);
        connection.waiting.add(requestOverheadBytes);
    };
    server.on("connection", (socket: Socket) => {
        const connection: Connection = { exchanges: [], waiting: undefined, isClosing: false };
        connections.set(socket, connection);
        socket.on("close", () => connection.waiting?.close());
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
            connection.waiting?.add(requestOverheadBytes);
            return;
        }
        const exchange = {
            message,
            response,
            body: new BodyReader(message, { createHash: createBodyHash }),
            fields: new RequestFields(message),
            isRefused: false,
        };
        connection.exchanges.push(exchange);
        if (connection.exchanges.length === 1) {
            begin(connection, exchange);
        }
        else {
            enqueue(connection, exchange);
        }
    });
}
