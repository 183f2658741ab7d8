/** The platform's append-only log as this project sees it. */

export interface LogRecord {
    offset: number;
    id: string;
    /** Time of the append by the log's clock, in milliseconds since 1970. */
    time: number;
    data: unknown;
}

export interface ReadResult {
    records: LogRecord[];
    /** Offset to read from next. */
    next: number;
    /** Oldest offset still kept. */
    oldest: number;
}

export interface AppendRecord {
    id: string;
    data: unknown;
}

export interface LogClient {
    append: (stream: string, records: AppendRecord[]) => Promise<number>;
    read: (stream: string, from: number, waitMs: number) => Promise<ReadResult>;
}
