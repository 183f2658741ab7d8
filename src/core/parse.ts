/** Parses YAML against a schema and reports every finding with its line and column. */
import { LineCounter, parseDocument } from "yaml";
import type { Document, Node } from "yaml";
import type { z } from "zod";
import { createInputError } from "./errors.js";
import type { Issue, ParseResult, SourceLocation } from "./issues.js";

type Path = (string | number)[];

/** Collects findings that the schema cannot report while the shape is wrong. */
export type CollectIssues = (value: unknown) => Pick<Issue, "path" | "message" | "hint">[];

/** Parses `text`; `file` only names the source in findings. */
export function safeParseYaml<T>(
    file: string,
    text: string,
    schema: z.ZodType<T>,
    collectIssues: CollectIssues = () => [],
): ParseResult<T> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
    if (document.errors.length > 0) {
        return { success: false, issues: document.errors.map(e => toSyntaxIssue(file, e)) };
    }
    const value: unknown = document.toJS({ maxAliasCount: 100 }) ?? {};
    const result = schema.safeParse(value);
    if (result.success) {
        return { success: true, data: result.data };
    }
    const findAt = (path: Path) => findLocation(file, document, lines, path);
    const schemaIssues = result.error.issues.map(found => toIssue(found, findAt));
    const customIssues = collectIssues(value).map((issue): Issue => ({
        code: "custom",
        place: findAt(issue.path),
        ...issue,
    }));
    const toKey = (issue: Issue) => `${issue.path.join("/")}: ${issue.message}`;
    const customKeys = new Set(customIssues.map(toKey));
    return {
        success: false,
        issues: [...schemaIssues.filter(issue => !customKeys.has(toKey(issue))), ...customIssues],
    };
}

/** Hints by the code of a finding. */
const hints: Record<string, string> = {
    unrecognized_keys: "check the spelling and the indentation",
    invalid_type: "the field may be missing, or quoted where a number is meant",
    too_small: "raise it or remove the field",
    too_big: "lower it or remove the field",
};

function toIssue(found: z.core.$ZodIssue, findAt: (path: Path) => SourceLocation): Issue {
    const path = found.path.map(part => typeof part === "symbol" ? String(part) : part);
    const place = findAt(found.code === "unrecognized_keys" ? [...path, found.keys[0]] : path);
    const code = found.code ?? "custom";
    const hint = hints[code];
    return { code, path, message: found.message, place, ...hint === undefined ? {} : { hint } };
}

/** As `safeParseYaml`, but throws an `InputError` that carries the findings. */
export function parseYaml<T>(file: string, text: string, schema: z.ZodType<T>, collectIssues?: CollectIssues): T {
    const result = safeParseYaml(file, text, schema, collectIssues);
    if (!result.success) {
        throw createInputError(result.issues);
    }
    return result.data;
}

function toSyntaxIssue(
    file: string,
    error: { code: string; message: string; linePos?: { line: number; col: number; }[]; },
): Issue {
    const at = error.linePos?.[0] ?? { line: 1, col: 1 };
    const message = error.message.split("\n")[0];
    return { code: error.code, path: [], message, place: { file, line: at.line, column: at.col } };
}

/** Finds the place of the deepest node that exists along `path`. */
export function findLocation(file: string, document: Document, lines: LineCounter, path: Path): SourceLocation {
    for (let length = path.length; length >= 0; length--) {
        const node = document.getIn(path.slice(0, length), true) as Node | undefined;
        const offset = node?.range?.[0];
        if (offset !== undefined) {
            const { line, col } = lines.linePos(offset);
            return { file, line, column: col };
        }
    }
    return { file, line: 1, column: 1 };
}
