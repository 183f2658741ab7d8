/**
 * Command `audit`: lists promotions (requests to make a document the next configuration) with their outcome, and the
 * automatic actions of the system.
 */
import { createFoldState, decidePromotion, foldBatch } from "../config/fold.js";
import { configStream, parseRecord } from "../config/records.js";
import { createInputError } from "../core/errors.js";
import { createLogClient } from "../log/client.js";
import type { LogClient, ReadResult } from "../log/types.js";
import { AuditRecordSchema, auditStream } from "../observe/audit.js";
import { loadLogUrl } from "./operator.js";
import { formatTime, printResult, renderTable, withProgress } from "./output.js";
import { type Command, CommandExitCode } from "./types.js";

const msPerUnit: Record<string, number> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };

/** A line of the audit trail. */
export interface AuditLine {
    id: string;
    /** Milliseconds since 1970. */
    time: number;
    environment: string;
    /** Author of a promotion, or instance that acted. */
    actor: string;
    kind: string;
    subject: string;
    reason: string;
}

/** Prints the audit trail since `--since`, oldest first, optionally of one environment only. */
export const auditCommand: Command = async (args, options) => {
    const since = parseSince(options.since, Date.now());
    const log = createLogClient(loadLogUrl(options));
    const lines = await withProgress("reading the audit trail", () => readAudit(log));
    const selected = lines.filter(line =>
        line.time >= since && (options.environment === undefined || line.environment === options.environment)
    );
    const rows = selected.map(line => ({ ...line, time: formatTime(line.time) }));
    const columns = ["time", "environment", "actor", "kind", "subject", "reason"];
    printResult(options, selected, renderTable(columns, rows));
    return CommandExitCode.ok;
};

/**
 * Parses a duration before `now`, such as `90m`, or a timestamp, such as `2026-01-31T08:00:00Z`.
 * Returns milliseconds since 1970; throws an `InputError` for any other format.
 */
export function parseSince(text: string, now: number): number {
    const [, amount, unit] = /^(\d+)([smhd])$/.exec(text) ?? [];
    const time = unit === undefined ? Date.parse(text) : now - Number(amount) * msPerUnit[unit];
    if (Number.isNaN(time)) {
        const message = `"${text}" is neither a length of time such as 90m nor a time such as 2026-01-31T08:00:00Z`;
        throw createInputError([{ code: "format", path: ["--since"], message }]);
    }
    return time;
}

/** Reads the audit stream and the configuration stream; returns their lines in order of time, one per record id. */
async function readAudit(log: LogClient): Promise<AuditLine[]> {
    const lines = new Map<string, AuditLine>();
    await readStream(log, auditStream, batch => collectAuditRecords(batch, lines));
    await readStream(log, configStream, createPromotionCollector(lines));
    return [...lines.values()].sort((a, b) => a.time - b.time);
}

/** Reads a stream from its oldest record to its end; warns on standard error if older records have expired. */
async function readStream(log: LogClient, stream: string, onBatch: (batch: ReadResult) => void): Promise<void> {
    for (let from = 0;;) {
        const batch = await log.read(stream, from, 0);
        if (from === 0 && batch.oldest > 0) {
            process.stderr.write(`${stream}: records before offset ${batch.oldest} have expired\n`);
        }
        if (batch.records.length === 0) {
            return;
        }
        onBatch(batch);
        from = batch.next;
    }
}

function collectAuditRecords(batch: ReadResult, lines: Map<string, AuditLine>): void {
    for (const record of batch.records) {
        const result = AuditRecordSchema.safeParse(record.data);
        if (result.success) {
            const { instance, ...event } = result.data;
            lines.set(event.id, { ...event, actor: instance });
        }
    }
}

/** Determines the outcome of each promotion at its position in the log, with the same fold that every process runs. */
function createPromotionCollector(lines: Map<string, AuditLine>): (batch: ReadResult) => void {
    const states = new Map<string, ReturnType<typeof createFoldState>>(
        ["trial", "production"].map(environment => [environment, createFoldState(environment)]),
    );
    return batch => {
        for (const record of batch.records) {
            const recordBatch = { records: [record], oldest: batch.oldest, next: record.offset + 1 };
            states.forEach(state => foldBatch(state, recordBatch));
            const promotion = parseRecord(record);
            const state = states.get(promotion?.environment ?? "");
            if (promotion?.kind !== "promote" || state === undefined || lines.has(promotion.id)) {
                continue;
            }
            const outcome = decidePromotion(state, promotion);
            const { id, environment, author, base, digest } = promotion;
            const subjects = { true: `revision ${outcome?.revision}`, false: "rejected", undefined: "not judged" };
            const subject = subjects[String(outcome?.accepted) as keyof typeof subjects];
            const reason = outcome?.accepted === false ?
                outcome.reason :
                `made from revision ${base}, digest ${digest}`;
            lines.set(id, { id, time: record.time, environment, actor: author, kind: "promote", subject, reason });
        }
    };
}
