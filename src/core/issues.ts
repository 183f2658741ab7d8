/** Validation issues of an input, collected and reported together. */

/** Location of an issue in a file; lines and columns are counted from 1. */
export interface SourceLocation {
    file: string;
    line: number;
    column: number;
}

/** A validation issue; `beechdock --json` prints it with these field names. */
export interface Issue {
    code: string;
    /** Keys and indexes from the root of the input to the invalid value. */
    path: (string | number)[];
    message: string;
    place?: SourceLocation;
    hint?: string;
}

export type ParseResult<T> = { success: true; data: T; } | { success: false; issues: Issue[]; };

/** Formats an issue as one human-readable line. */
export function formatIssue(issue: Issue): string {
    const { place } = issue;
    const at = place === undefined ? "" : `${place.file}:${place.line}:${place.column}: `;
    const path = issue.path.length === 0 ? "" : `${issue.path.join(".")}: `;
    const hint = issue.hint === undefined ? "" : ` (${issue.hint})`;
    return `${at}${path}${issue.message} [${issue.code}]${hint}`;
}

/** Formats issues, one per line. */
export function formatIssues(issues: Issue[]): string {
    return issues.map(formatIssue).join("\n");
}
