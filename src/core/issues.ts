/** Findings about an input, collected first and reported together. */

/** Where a finding stands in its file; line and column count from 1. */
export interface SourceLocation {
    file: string;
    line: number;
    column: number;
}

export interface Issue {
    code: string;
    path: (string | number)[];
    message: string;
    place?: SourceLocation;
    hint?: string;
}

export type ParseResult<T> = { success: true; data: T; } | { success: false; issues: Issue[]; };

/** Renders one issue as a line for people. */
export function formatIssue(issue: Issue): string {
    const { place } = issue;
    const at = place === undefined ? "" : `${place.file}:${place.line}:${place.column}: `;
    const path = issue.path.length === 0 ? "" : `${issue.path.join(".")}: `;
    const hint = issue.hint === undefined ? "" : ` (${issue.hint})`;
    return `${at}${path}${issue.message} [${issue.code}]${hint}`;
}

/** Renders issues one a line. */
export function formatIssues(issues: Issue[]): string {
    return issues.map(formatIssue).join("\n");
}
