/** Loads settings files. */
import { readFileSync } from "node:fs";
import type { z } from "zod";
import { createInputError } from "../core/errors.js";
import { parseYaml } from "../core/parse.js";

/** Reads `file` and validates it against `schema`; throws an `InputError` that lists every issue. */
export function loadSettings<T>(file: string, schema: z.ZodType<T>): T {
    return parseYaml(file, readText(file), schema);
}

function readText(file: string): string {
    try {
        return readFileSync(file, "utf8");
    }
    catch (error) {
        const message = `Cannot read the file: ${(error as Error).message}`;
        throw createInputError([{ code: "unreadable", path: [], message, place: { file, line: 1, column: 1 } }]);
    }
}
