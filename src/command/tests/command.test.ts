import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { afterEach, beforeEach, expect, it, vi } from "vitest";
import { createDemoDocument } from "../../demo/document.js";
import { type FakeLog, startFakeLog } from "../../standin/log.js";
import { parseSince } from "../audit.js";
import { collectChanges } from "../diff.js";
import { runCommand } from "../main.js";
import { replaceSecrets } from "../settings.js";

let directory: string;
let log: FakeLog;
let output: { out: string; error: string; };

beforeEach(async () => {
    directory = mkdtempSync(join(tmpdir(), "beechdock-command-"));
    log = await startFakeLog(0);
    output = { out: "", error: "" };
    vi.spyOn(process.stdout, "write").mockImplementation(text => ((output.out += String(text)), true));
    vi.spyOn(process.stderr, "write").mockImplementation(text => ((output.error += String(text)), true));
});

afterEach(() => {
    vi.restoreAllMocks();
    log.close();
    rmSync(directory, { recursive: true, force: true });
});

function writeFile(name: string, text: string): string {
    const path = join(directory, name);
    writeFileSync(path, text);
    return path;
}

const run = (...argv: string[]) => runCommand([...argv, "--log", log.url]);

it("reports findings of shape and between parts in one run, with places and hints", async () => {
    const file = writeFile(
        "bad.yaml",
        `workspaces:
  - name: clinic
    keys: [sha256:00]
    wieght: 2
pools:
  - name: claims
    kind: plain
    concurrency: "8"
  - name: claims
    kind: plain
routes:
  - path: /x
    pool: clams
    workspaces: [clinic, nobody]
`,
    );
    expect(await run("check", file)).toBe(2);
    expect(output.error.replaceAll(directory, "")).toMatchInlineSnapshot(`
      "/bad.yaml:3:12: workspaces.0.keys.0: Expected sha256: and 64 hex digits [invalid_format]
      /bad.yaml:4:13: workspaces.0: Unrecognized key: "wieght" [unrecognized_keys] (check the spelling and the indentation)
      /bad.yaml:8:18: pools.0.concurrency: Invalid input: expected number, received string [invalid_type] (the field may be missing, or quoted where a number is meant)
      /bad.yaml:9:11: pools.1.name: Name "claims" is used twice [custom]
      /bad.yaml:13:11: routes.0.pool: Pool "clams" does not exist [custom] (known: claims)
      /bad.yaml:14:26: routes.0.workspaces.1: Workspace "nobody" does not exist [custom] (known: clinic)
      "
    `);
});

it.each([
    ["no command", [], 2],
    ["a name of every object", ["toString"], 2],
    ["no file", ["check"], 2],
    ["a file that does not exist", ["check", "/nowhere/x.yaml"], 2],
    ["promoting before publishing", ["promote"], 2],
    ["status without settings", ["status"], 2],
    ["explain without settings", ["explain", "r-1"], 2],
    ["a bad time", ["audit", "--since", "soon"], 2],
])("exits with the documented code: %s", async (name, argv, code) => {
    expect(await run(...argv)).toBe(code);
    expect(output.error).not.toBe("");
});

it("lists promotions with their bases and verdicts, once each", async () => {
    const file = writeFile("good.yaml", JSON.stringify(createDemoDocument()));
    log.faults.lostAppendResponses = 1;
    const codes = [
        await run("publish", file, "--author", "ann"),
        await run("promote", "--from", "0", "--author", "ann"),
        await run("promote", "--from", "0", "--author", "bo"),
    ];
    expect(codes).toEqual([0, 0, 3]);
    output.out = "";
    expect(await run("audit", "--json", "--since", "1h")).toBe(0);
    const lines = JSON.parse(output.out) as Record<string, string>[];
    expect(lines.map(line => [line.environment, line.actor, line.subject])).toEqual([
        ["trial", "ann", "revision 1"],
        ["production", "ann", "revision 1"],
    ]);
    output.out = "";
    expect(await run("diff")).toBe(0);
    expect(output.out).toContain("no changes");
});

it("compares documents by the names of their parts", () => {
    const before = { pools: [{ name: "a", queue: 1 }, { name: "b", queue: 2 }] };
    const after = { pools: [{ name: "b", queue: 3 }, { name: "c", queue: 2 }] };
    expect(collectChanges(before, after).map(change => Object.values(change).join(" "))).toEqual([
        "pools.a {\"name\":\"a\",\"queue\":1} -",
        "pools.b.queue 2 3",
        "pools.c - {\"name\":\"c\",\"queue\":2}",
    ]);
});

it("prints settings without their secrets", async () => {
    const secret = "a-secret-that-nobody-may-see";
    const settings = {
        instance: "entry-1",
        dataCentre: "dc-a",
        environment: "production",
        internal: { host: "127.0.0.1", port: 7001 },
        listen: { host: "127.0.0.1", port: 7000 },
        platform: { log: "http://127.0.0.1:1", list: "http://127.0.0.1:2" },
        internalKeys: [secret],
    };
    const file = writeFile("entry.yaml", JSON.stringify(settings));
    expect(await run("settings", "--print", "--settings", file)).toBe(0);
    expect(output.out).toContain("balancerLagMs: 2000");
    expect(output.out + output.error).not.toContain(secret);
    expect(replaceSecrets([{ deep: { internalKeys: [secret] } }])).toEqual([{ deep: { internalKeys: "***" } }]);
});

it.each([["90m", 4_600_000], ["2h", 2_800_000], ["1970-01-01T00:00:01Z", 1000]])("parses --since %s", (text, time) => {
    expect(parseSince(text, 10_000_000)).toBe(time);
});
