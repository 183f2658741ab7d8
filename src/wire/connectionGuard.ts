/**
 * Keeps the connections of a process within its descriptors, and counts what callers have sent of a request whose head is
 * not complete, of which the HTTP server does not tell.
 */
import type { IncomingMessage, Server } from "node:http";
import type { Socket } from "node:net";
import {
    addCaller,
    type CallerConnection,
    ConnectionState,
    createConnectionBudget,
    findCheapestConnection,
    hasUpstreamRoom,
    isFull,
    recordExhaustion,
} from "../routing/connectionBudget.js";
import type { CallerMemory, MemoryReservation } from "./callerMemory.js";
import { drainAndClose } from "./lingeringClose.js";
import { ParsedInput } from "./parsedInput.js";

/** Interval at which connections are measured, in milliseconds. */
const measureIntervalMs = 100;
/** Memory of header fields that have been parsed, by byte on the wire; short ones take most. */
const parsedBytesPerByte = 10;

/** Maximum size of a head that the servers accept, in bytes. */
const maxHeadBytes = 64 * 1024;

/** Error codes of a connect that fails because this process or its machine is out of descriptors. */
const exhaustionCodes = new Set(["EMFILE", "ENFILE", "ENOBUFS"]);

const headRefusal = [
    "HTTP/1.1 503 Service Unavailable",
    "Retry-After: 1",
    "Content-Length: 0",
    "Connection: close",
    "",
    "",
].join("\r\n");

export interface ConnectionGuard {
    /** Guards the connections of callers to a server that does not listen yet. */
    watch: (server: Server) => void;
    /** Whether a connection to an upstream may be opened; closes the cheapest one of a caller if that is needed. */
    hasUpstreamRoom: () => boolean;
    /** Counts a connection to an upstream until it closes. */
    trackUpstream: (socket: Socket) => void;
    /** Whether a connect has failed for want of descriptors, as told by the code of its error. */
    recordConnectFailure: (code: string | undefined) => boolean;
    /** Returns the number of callers' connections that were closed for want of descriptors. */
    countClosed: () => number;
}

/** Connection of a caller. */
class GuardedConnection implements CallerConnection {
    state: ConnectionState = ConnectionState.idle;
    private pendingRequests = 0;
    private readonly input: ParsedInput;
    /** Bytes received at the last measurement. */
    private measuredBytes = 0;
    private head: MemoryReservation | undefined;
    private chargedBytes = 0;

    constructor(readonly socket: Socket, private readonly memory: CallerMemory, public idleSince: number) {
        this.input = new ParsedInput(socket);
    }

    beginRequest(message: IncomingMessage, now: number): void {
        this.pendingRequests += 1;
        this.input.beginMessage(message);
        this.update(now);
    }

    endRequest(now: number): void {
        this.pendingRequests -= 1;
        this.idleSince = now;
        this.measure(now);
    }

    /** Measures what has arrived; must not be called by an event of the parser. */
    measure(now: number): void {
        this.input.observe();
        this.update(now);
    }

    close(): void {
        this.head?.close();
    }

    /** Updates the state and the memory of an incomplete head. */
    private update(now: number): void {
        const { bytesRead } = this.socket;
        const headBytes = Math.min(this.input.countHeadBytes(), maxHeadBytes);
        this.state = this.findState(headBytes);
        if (bytesRead > this.measuredBytes) {
            this.measuredBytes = bytesRead;
            this.idleSince = now;
            this.head?.recordProgress();
        }
        const bytes = headBytes * parsedBytesPerByte;
        if (bytes !== this.chargedBytes) {
            this.head ??= this.memory.open(() => this.refuseHead());
            this.head.add(bytes - this.chargedBytes);
            this.chargedBytes = bytes;
        }
    }

    private findState(headBytes: number): ConnectionState {
        if (this.pendingRequests === 0) {
            return headBytes > 0 ? ConnectionState.arriving : ConnectionState.idle;
        }
        const isArriving = this.pendingRequests === 1 && this.input.isBodyArriving();
        return isArriving ? ConnectionState.arriving : ConnectionState.busy;
    }

    private refuseHead(): void {
        if (this.pendingRequests > 0) {
            // The parser keeps the head until the connection closes, and a refusal would end up in the response before it.
            this.socket.destroy();
            return;
        }
        this.socket.write(headRefusal);
        drainAndClose(this.socket);
    }
}

/** Creates the guard of a process that may open `descriptors`; `now` returns milliseconds. */
export function createConnectionGuard(descriptors: number, memory: CallerMemory, now: () => number): ConnectionGuard {
    const budget = createConnectionBudget(descriptors);
    const connections = new Map<Socket, GuardedConnection>();
    let closedCount = 0;
    const measureAll = () => connections.forEach(connection => connection.measure(now()));
    const closeConnection = (connection: CallerConnection | undefined) => {
        if (connection !== undefined) {
            closedCount += 1;
            budget.callers.delete(connection);
            (connection as GuardedConnection).socket.destroy();
        }
    };
    setInterval(measureAll, measureIntervalMs).unref();
    return {
        watch: server => {
            server.on("connection", (socket: Socket) => {
                const connection = new GuardedConnection(socket, memory, now());
                connections.set(socket, connection);
                socket.on("close", () => {
                    connections.delete(socket);
                    budget.callers.delete(connection);
                    connection.close();
                });
                closeConnection(addCaller(budget, connection, now()));
            });
            server.prependListener("request", (message, response) => {
                const connection = connections.get(message.socket);
                connection?.beginRequest(message, now());
                response.on("close", () => connection?.endRequest(now()));
            });
        },
        hasUpstreamRoom: () => {
            if (isFull(budget)) {
                closeConnection(findCheapestConnection(budget, now()));
            }
            return hasUpstreamRoom(budget, now());
        },
        trackUpstream: socket => {
            budget.upstreams += 1;
            socket.once("close", () => budget.upstreams -= 1);
        },
        recordConnectFailure: code => {
            const isExhausted = code !== undefined && exhaustionCodes.has(code);
            if (isExhausted) {
                recordExhaustion(budget, now());
                closeConnection(findCheapestConnection(budget, now()));
            }
            return isExhausted;
        },
        countClosed: () => closedCount,
    };
}
