/** Field-by-field comparison of two configuration documents. */

/** A field that differs; values are JSON, or `-` where the field is absent. */
export interface Change {
    path: string;
    before: string;
    after: string;
}

/** Collects the fields that differ. Array items are matched by their `name`, or by index if they have none. */
export function collectChanges(before: unknown, after: unknown, path = ""): Change[] {
    const oldEntries = toEntries(before);
    const newEntries = toEntries(after);
    if (oldEntries === undefined || newEntries === undefined) {
        const texts = [formatValue(before), formatValue(after)];
        return texts[0] === texts[1] ? [] : [{ path, before: texts[0], after: texts[1] }];
    }
    const keys = [...new Set([...oldEntries.keys(), ...newEntries.keys()])];
    return keys.flatMap(key =>
        collectChanges(oldEntries.get(key), newEntries.get(key), path === "" ? key : `${path}.${key}`)
    );
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
