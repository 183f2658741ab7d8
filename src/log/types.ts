/** Interface to the platform's append-only log. */

/** Record as stored in a stream. */
export interface LogRecord {
    offset: number;
    /** Chosen by the appender; the same in each retry of an append. */
    id: string;
    /** Time of the append by the log's clock, Unix time in milliseconds. */
    time: number;
    data: unknown;
}

/** Result of reading a stream. */
export interface ReadResult {
    records: LogRecord[];
    /** Offset of the next read. */
    next: number;
    /** Oldest offset that the log retains. */
    oldest: number;
}

/** Record to append. */
export interface AppendRecord {
    id: string;
    data: unknown;
}

/** Client of the log; calls reject on failure, and a rejected append may still have taken effect. */
export interface LogClient {
    /** Appends records to a stream; resolves to the offset of the first one. */
    append: (stream: string, records: AppendRecord[]) => Promise<number>;
    /** Reads a stream from an offset; waits up to `waitMs` if there are no records yet. */
    read: (stream: string, from: number, waitMs: number) => Promise<ReadResult>;
}
