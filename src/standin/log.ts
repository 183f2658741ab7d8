/** Fake of the platform's append-only log service, held in memory. */
import { type RequestHandler, sendJson, startHttpServer } from "./http.js";

interface StoredRecord {
    offset: number;
    id: string;
    time: number;
    data: unknown;
}

interface LogStream {
    records: StoredRecord[];
    nextOffset: number;
    waiters: Set<() => void>;
}

export interface LogFaults {
    /** Whether every call gets status 503. */
    down: boolean;
    /** Number of coming appends that are stored but whose connection is closed without a response. */
    lostAppendResponses: number;
    /** Delay of every call, in milliseconds. */
    delayMs: number;
}

export interface FakeLog {
    url: string;
    faults: LogFaults;
    /** Returns the number of stored appends; one append may hold several records. */
    getAppendCount: () => number;
    /** Drops the records of a stream before `offset`, as the log's retention does. */
    truncate: (stream: string, offset: number) => void;
    close: () => void;
}

/** Most records in the response to a read. */
const maxReadRecords = 1000;

/** Starts the log on `port`; 0 picks a free port. */
export async function startFakeLog(port: number): Promise<FakeLog> {
    const streams = new Map<string, LogStream>();
    const faults: LogFaults = { down: false, lostAppendResponses: 0, delayMs: 0 };
    let appendCount = 0;
    const getStream = (name: string) => {
        const stream = streams.get(name) ?? { records: [], nextOffset: 0, waiters: new Set() };
        streams.set(name, stream);
        return stream;
    };
    const withFaults = (handler: RequestHandler): RequestHandler => async (request, body, response, url) => {
        if (faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        if (faults.down) {
            sendJson(response, 503, { error: "the log is down" });
            return;
        }
        await handler(request, body, response, url);
    };
    const append: RequestHandler = (request, body, response, url) => {
        const stream = getStream(url.pathname.split("/")[2]);
        const { records } = JSON.parse(body) as { records: { id: string; data: unknown; }[]; };
        const offset = stream.nextOffset;
        for (const record of records) {
            stream.records.push({ offset: stream.nextOffset++, id: record.id, time: Date.now(), data: record.data });
        }
        appendCount += 1;
        [...stream.waiters].forEach(wake => wake());
        if (faults.lostAppendResponses > 0) {
            faults.lostAppendResponses -= 1;
            response.destroy();
            return;
        }
        sendJson(response, 200, { offset });
    };
    const read: RequestHandler = async (request, body, response, url) => {
        const stream = getStream(url.pathname.split("/")[2]);
        const from = Number(url.searchParams.get("from") ?? 0);
        const waitMs = Number(url.searchParams.get("waitMs") ?? 0);
        if (stream.nextOffset <= from && waitMs > 0) {
            await waitForAppend(stream, waitMs);
        }
        if (faults.down) {
            sendJson(response, 503, { error: "the log is down" });
            return;
        }
        const records = stream.records.filter(record => record.offset >= from).slice(0, maxReadRecords);
        const oldest = stream.records[0]?.offset ?? stream.nextOffset;
        const next = records.length > 0 ? records[records.length - 1].offset + 1 : Math.max(from, oldest);
        sendJson(response, 200, { records, next, oldest });
    };
    const { server, url } = await startHttpServer(port, {
        "POST /streams": withFaults(append),
        "GET /streams": withFaults(read),
    });
    return {
        url,
        faults,
        getAppendCount: () => appendCount,
        truncate: (name, offset) => {
            const stream = getStream(name);
            stream.records = stream.records.filter(record => record.offset >= offset);
        },
        close: () => {
            server.close();
            server.closeAllConnections();
        },
    };
}

/** Resolves when an append wakes the waiters of `stream`, or after `waitMs` milliseconds. */
export function waitForAppend(stream: { waiters: Set<() => void>; }, waitMs: number): Promise<void> {
    return new Promise(resolve => {
        const wake = () => {
            clearTimeout(timer);
            stream.waiters.delete(wake);
            resolve();
        };
        const timer = setTimeout(wake, waitMs);
        stream.waiters.add(wake);
    });
}
