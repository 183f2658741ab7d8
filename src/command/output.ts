/** Prints results: tables for people, JSON for programs, progress on standard error. */
import type { Options } from "./types.js";

export type TableRow = Record<string, string | number>;

const firstNoticeMs = 2000;

/** Prints `value` as JSON or `text` for people. */
export function printResult(options: Options, value: unknown, text: string): void {
    process.stdout.write(`${options.json ? JSON.stringify(value) : text}\n`);
}

/** Renders rows as an aligned table. */
export function renderTable(columns: string[], rows: TableRow[]): string {
    const lines = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "")))];
    const widths = columns.map((name, index) => Math.max(...lines.map(line => line[index].length)));
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd()).join("\n");
}

/** Tells on standard error, again and again, that `task` still runs. */
export async function withProgress<T>(text: string, task: () => Promise<T>): Promise<T> {
    const startedAt = Date.now();
    const timer = setInterval(() => {
        process.stderr.write(`${text}: ${Math.round((Date.now() - startedAt) / 1000)} s so far\n`);
    }, firstNoticeMs);
    try {
        return await task();
    }
    finally {
        clearInterval(timer);
    }
}

/** Formats a time for people. */
export function formatTime(time: number): string {
    return time === 0 ? "never" : new Date(time).toISOString();
}
