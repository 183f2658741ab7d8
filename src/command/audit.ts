/** Command `audit`: who promoted what from which revision, and what the system did of its own accord. */
import { createFoldState, decidePromotion, foldBatch } from "../config/fold.js";
import { configStream, parseRecord } from "../config/records.js";
import { createInputError } from "../core/errors.js";
import { createLogClient } from "../log/client.js";
import type { LogClient, ReadResult } from "../log/types.js";
import { AuditRecordSchema, auditStream } from "../observe/audit.js";
import { loadLogUrl } from "./operator.js";
import { formatTime, printResult, renderTable, withProgress } from "./output.js";
import { type Command, CommandExitCode } from "./types.js";

const unitMs: Record<string, number> = { s: 1000, m: 60_000, h: 3_600_000, d: 86_400_000 };

export interface AuditLine {
    id: string;
    time: number;
    environment: string;
    actor: string;
    kind: string;
    subject: string;
    reason: string;
}

/** Prints the audit trail from `--since` on, oldest first. */
export const auditCommand: Command = async (args, options) => {
    const since = parseSince(options.since, Date.now());
    const log = createLogClient(loadLogUrl(options));
    const lines = await withProgress("reading the audit trail", () => readAudit(log));
    const wanted = lines.filter(line =>
        line.time >= since && (options.environment === undefined || line.environment === options.environment)
    );
    const rows = wanted.map(line => ({ ...line, time: formatTime(line.time) }));
    const columns = ["time", "environment", "actor", "kind", "subject", "reason"];
    printResult(options, wanted, renderTable(columns, rows));
    return CommandExitCode.ok;
};

/** Parses a length of time such as `90m`, or a time such as `2026-01-31T08:00:00Z`; milliseconds since 1970. */
export function parseSince(text: string, now: number): number {
    const [, amount, unit] = /^(\d+)([smhd])$/.exec(text) ?? [];
    const time = unit === undefined ? Date.parse(text) : now - Number(amount) * unitMs[unit];
    if (Number.isNaN(time)) {
        const message = `"${text}" is neither a length of time such as 90m nor a time such as 2026-01-31T08:00:00Z`;
        throw createInputError([{ code: "format", path: ["--since"], message }]);
    }
    return time;
}

async function readAudit(log: LogClient): Promise<AuditLine[]> {
    const lines = new Map<string, AuditLine>();
    await readStream(log, auditStream, batch => collectActs(batch, lines));
    await readStream(log, configStream, createPromotionReader(lines));
    return [...lines.values()].sort((a, b) => a.time - b.time);
}

async function readStream(log: LogClient, stream: string, apply: (batch: ReadResult) => void): Promise<void> {
    for (let from = 0;;) {
        const batch = await log.read(stream, from, 0);
        if (from === 0 && batch.oldest > 0) {
            process.stderr.write(`${stream}: records before offset ${batch.oldest} have expired\n`);
        }
        if (batch.records.length === 0) {
            return;
        }
        apply(batch);
        from = batch.next;
    }
}

function collectActs(batch: ReadResult, lines: Map<string, AuditLine>): void {
    for (const record of batch.records) {
        const result = AuditRecordSchema.safeParse(record.data);
        if (result.success) {
            const { instance, ...act } = result.data;
            lines.set(act.id, { ...act, actor: instance });
        }
    }
}

/** Judges each promotion where it stands in the log, by the fold that every process runs. */
function createPromotionReader(lines: Map<string, AuditLine>): (batch: ReadResult) => void {
    const states = new Map<string, ReturnType<typeof createFoldState>>(
        ["trial", "production"].map(environment => [environment, createFoldState(environment)]),
    );
    return batch => {
        for (const record of batch.records) {
            const single = { records: [record], oldest: batch.oldest, next: record.offset + 1 };
            states.forEach(state => foldBatch(state, single));
            const promotion = parseRecord(record);
            const state = states.get(promotion?.environment ?? "");
            if (promotion?.kind !== "promote" || state === undefined || lines.has(promotion.id)) {
                continue;
            }
            const verdict = decidePromotion(state, promotion);
            const { id, environment, author, base, digest } = promotion;
            const outcomes = { true: `revision ${verdict?.revision}`, false: "rejected", undefined: "not judged" };
            const subject = outcomes[String(verdict?.accepted) as keyof typeof outcomes];
            const reason = verdict?.accepted === false ?
                verdict.reason :
                `made from revision ${base}, digest ${digest}`;
            lines.set(id, { id, time: record.time, environment, actor: author, kind: "promote", subject, reason });
        }
    };
}
