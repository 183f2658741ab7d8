/** Prints aligned tables of figures. */

export type Row = Record<string, string | number>;

/** Prints rows as an aligned table; the first row determines the columns. */
export function printTable(title: string, rows: Row[]): void {
    const columns = Object.keys(rows[0] ?? {});
    const cells = [columns, ...rows.map(row => columns.map(column => formatCell(row[column])))];
    const widths = columns.map((name, index) => Math.max(...cells.map(line => line[index].length)));
    process.stdout.write(`\n${title}\n`);
    for (const line of cells) {
        process.stdout.write(`  ${line.map((cell, index) => cell.padEnd(widths[index])).join("  ")}\n`);
    }
}

function formatCell(value: string | number | undefined): string {
    if (typeof value === "number") {
        return Number.isInteger(value) ? String(value) : value.toPrecision(4);
    }
    return value ?? "";
}
