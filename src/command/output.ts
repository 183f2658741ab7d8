/** Output of the commands: tables or JSON on standard output, progress on standard error. */
import type { Options } from "./types.js";

/** Table row: cell values by column name. */
export type TableRow = Record<string, string | number>;

const progressIntervalMs = 2000;

/** Prints `value` as JSON with `--json`, and the human-readable `text` otherwise. */
export function printResult(options: Options, value: unknown, text: string): void {
    process.stdout.write(`${options.json ? JSON.stringify(value) : text}\n`);
}

/** Renders rows as a table with a header and aligned columns; missing cells are left blank. */
export function renderTable(columns: string[], rows: TableRow[]): string {
    const lines = [columns, ...rows.map(row => columns.map(column => String(row[column] ?? "")))];
    const widths = columns.map((name, index) => Math.max(...lines.map(line => line[index].length)));
    return lines.map(line => line.map((cell, index) => cell.padEnd(widths[index])).join("  ").trimEnd()).join("\n");
}

/** Runs `task`, and prints `text` with the elapsed time to standard error at regular intervals until it settles. */
export async function withProgress<T>(text: string, task: () => Promise<T>): Promise<T> {
    const startedAt = Date.now();
    const timer = setInterval(() => {
        process.stderr.write(`${text}: ${Math.round((Date.now() - startedAt) / 1000)} s so far\n`);
    }, progressIntervalMs);
    try {
        return await task();
    }
    finally {
        clearInterval(timer);
    }
}

/** Formats a time in milliseconds since 1970 as ISO 8601; 0 becomes `never`. */
export function formatTime(time: number): string {
    return time === 0 ? "never" : new Date(time).toISOString();
}
