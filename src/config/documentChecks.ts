/** Checks between the parts of a document. They also work on a document of wrong shape, so that one run finds all. */

export interface DocumentIssue {
    path: (string | number)[];
    message: string;
    hint?: string;
}

type Part = Record<string, unknown>;
interface Parts {
    workspaces: Part[];
    pools: Part[];
    routes: Part[];
    groups: Part[];
}

const checks = [checkNames, checkKeys, checkRoutes, checkGroups];

/** Collects the findings of every check. */
export function collectDocumentIssues(document: unknown): DocumentIssue[] {
    const source = toPart(document);
    const parts: Parts = {
        workspaces: listParts(source.workspaces),
        pools: listParts(source.pools),
        routes: listParts(source.routes),
        groups: listParts(source.groups),
    };
    return checks.flatMap(check => check(parts));
}

function toPart(value: unknown): Part {
    return typeof value === "object" && value ? value as Part : {};
}

function listParts(value: unknown): Part[] {
    return Array.isArray(value) ? value.map(toPart) : [];
}

function listNames(parts: Part[]): string[] {
    return [...new Set(parts.map(part => part.name).filter(name => typeof name === "string"))];
}

function checkNames(parts: Parts): DocumentIssue[] {
    return (["workspaces", "pools", "groups"] as const).flatMap(kind => {
        const names = parts[kind].map(part => part.name);
        return names.flatMap((name, index) =>
            name !== undefined && names.indexOf(name) < index ?
                [{ path: [kind, index, "name"], message: `Name "${String(name)}" is used twice` }] :
                []
        );
    });
}

function checkKeys({ workspaces }: Parts): DocumentIssue[] {
    const seen = new Map<unknown, number>();
    const findings: DocumentIssue[] = [];
    workspaces.forEach((workspace, index) => {
        const keys: unknown[] = Array.isArray(workspace.keys) ? workspace.keys : [];
        keys.forEach((key, at) => {
            const owner = seen.get(key) ?? index;
            seen.set(key, owner);
            if (owner !== index) {
                const message = `The key already belongs to workspace ${owner + 1} of the list`;
                findings.push({
                    path: ["workspaces", index, "keys", at],
                    message,
                    hint: "give each workspace its own",
                });
            }
        });
    });
    return findings;
}

function checkReference(path: (string | number)[], kind: string, name: unknown, known: string[]): DocumentIssue[] {
    if (typeof name !== "string" || known.includes(name)) {
        return [];
    }
    return [{ path, message: `${kind} "${name}" does not exist`, hint: `known: ${known.join(", ") || "none"}` }];
}

function checkRoutes({ routes, pools, workspaces }: Parts): DocumentIssue[] {
    const poolNames = listNames(pools);
    const workspaceNames = listNames(workspaces);
    return routes.flatMap((route, index) => {
        const users: unknown[] = Array.isArray(route.workspaces) ? route.workspaces : [];
        return [
            ...checkReference(["routes", index, "pool"], "Pool", route.pool, poolNames),
            ...users.flatMap((user, at) =>
                checkReference(["routes", index, "workspaces", at], "Workspace", user, workspaceNames)
            ),
        ];
    });
}

function checkGroups({ groups, pools }: Parts): DocumentIssue[] {
    return groups.flatMap((group, index) =>
        checkReference(["groups", index, "pool"], "Pool", group.pool, listNames(pools))
    );
}
