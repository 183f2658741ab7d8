/** Compares two documents field by field. */

export interface Change {
    path: string;
    before: string;
    after: string;
}

/** Collects the fields that differ; items of lists with a name are matched by it. */
export function collectChanges(before: unknown, after: unknown, path = ""): Change[] {
    const old = toEntries(before);
    const now = toEntries(after);
    if (old === undefined || now === undefined) {
        const texts = [formatValue(before), formatValue(after)];
        return texts[0] === texts[1] ? [] : [{ path, before: texts[0], after: texts[1] }];
    }
    const keys = [...new Set([...old.keys(), ...now.keys()])];
    return keys.flatMap(key => collectChanges(old.get(key), now.get(key), path === "" ? key : `${path}.${key}`));
}

function toEntries(value: unknown): Map<string, unknown> | undefined {
    if (typeof value !== "object" || !value) {
        return undefined;
    }
    if (!Array.isArray(value)) {
        return new Map(Object.entries(value));
    }
    return new Map(value.map((item, index) => [(item as { name?: string; } | undefined)?.name ?? String(index), item]));
}

function formatValue(value: unknown): string {
    return value === undefined ? "-" : JSON.stringify(value);
}
