/**
 * Checks across the sections of a configuration document: unique names and keys, and references by name.
 * They also run on documents that fail schema validation, so that one run reports every issue.
 */

/** An issue that involves more than one item of a document. */
export interface DocumentIssue {
    path: (string | number)[];
    message: string;
    hint?: string;
}

type Item = Record<string, unknown>;
interface Sections {
    workspaces: Item[];
    pools: Item[];
    routes: Item[];
    groups: Item[];
}

const checks = [checkNames, checkKeys, checkRoutes, checkGroups];

/** Runs every check on a document of any shape and collects the issues. */
export function collectDocumentIssues(document: unknown): DocumentIssue[] {
    const root = toItem(document);
    const sections: Sections = {
        workspaces: listItems(root.workspaces),
        pools: listItems(root.pools),
        routes: listItems(root.routes),
        groups: listItems(root.groups),
    };
    return checks.flatMap(check => check(sections));
}

function toItem(value: unknown): Item {
    return typeof value === "object" && value ? value as Item : {};
}

function listItems(value: unknown): Item[] {
    return Array.isArray(value) ? value.map(toItem) : [];
}

function listNames(items: Item[]): string[] {
    return [...new Set(items.map(item => item.name).filter(name => typeof name === "string"))];
}

function checkNames(sections: Sections): DocumentIssue[] {
    return (["workspaces", "pools", "groups"] as const).flatMap(section => {
        const names = sections[section].map(item => item.name);
        return names.flatMap((name, index) =>
            name !== undefined && names.indexOf(name) < index ?
                [{ path: [section, index, "name"], message: `Name "${String(name)}" is used twice` }] :
                []
        );
    });
}

function checkKeys({ workspaces }: Sections): DocumentIssue[] {
    const ownerIndexes = new Map<unknown, number>();
    const issues: DocumentIssue[] = [];
    workspaces.forEach((workspace, index) => {
        const keys: unknown[] = Array.isArray(workspace.keys) ? workspace.keys : [];
        keys.forEach((key, keyIndex) => {
            const ownerIndex = ownerIndexes.get(key) ?? index;
            ownerIndexes.set(key, ownerIndex);
            if (ownerIndex !== index) {
                const message = `The key already belongs to workspace ${ownerIndex + 1} of the list`;
                issues.push({
                    path: ["workspaces", index, "keys", keyIndex],
                    message,
                    hint: "give each workspace its own",
                });
            }
        });
    });
    return issues;
}

function checkReference(path: (string | number)[], kind: string, name: unknown, knownNames: string[]): DocumentIssue[] {
    if (typeof name !== "string" || knownNames.includes(name)) {
        return [];
    }
    return [{ path, message: `${kind} "${name}" does not exist`, hint: `known: ${knownNames.join(", ") || "none"}` }];
}

function checkRoutes({ routes, pools, workspaces }: Sections): DocumentIssue[] {
    const poolNames = listNames(pools);
    const workspaceNames = listNames(workspaces);
    return routes.flatMap((route, index) => {
        const allowed: unknown[] = Array.isArray(route.workspaces) ? route.workspaces : [];
        return [
            ...checkReference(["routes", index, "pool"], "Pool", route.pool, poolNames),
            ...allowed.flatMap((name, nameIndex) =>
                checkReference(["routes", index, "workspaces", nameIndex], "Workspace", name, workspaceNames)
            ),
        ];
    });
}

function checkGroups({ groups, pools }: Sections): DocumentIssue[] {
    return groups.flatMap((group, index) =>
        checkReference(["groups", index, "pool"], "Pool", group.pool, listNames(pools))
    );
}
