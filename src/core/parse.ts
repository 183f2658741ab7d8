/** Parses YAML against a schema and reports every finding with its line and column. */
import { LineCounter, parseDocument } from "yaml";
import type { Document, Node } from "yaml";
import type { z } from "zod";
import { createInputError } from "./errors.js";
import type { Issue, ParseResult, Place } from "./issues.js";

type Path = (string | number)[];

/** Parses `text`; `file` only names the source in findings. */
export function safeParseYaml<T>(file: string, text: string, schema: z.ZodType<T>): ParseResult<T> {
    const lines = new LineCounter();
    const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true });
    if (document.errors.length > 0) {
        return { success: false, issues: document.errors.map(e => toSyntaxIssue(file, e)) };
    }
    const result = schema.safeParse(document.toJS({ maxAliasCount: 100 }) ?? {});
    if (result.success) {
        return { success: true, data: result.data };
    }
    const issues = result.error.issues.map((found): Issue => {
        const path = found.path.map(part => typeof part === "symbol" ? String(part) : part);
        return {
            code: found.code ?? "custom",
            path,
            message: found.message,
            place: findPlace(file, document, lines, path),
        };
    });
    return { success: false, issues };
}

/** As `safeParseYaml`, but throws an `InputError` that carries the findings. */
export function parseYaml<T>(file: string, text: string, schema: z.ZodType<T>): T {
    const result = safeParseYaml(file, text, schema);
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
export function findPlace(file: string, document: Document, lines: LineCounter, path: Path): Place {
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
