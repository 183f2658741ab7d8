/** CI passed a run with an error outside of all tests whenever a listed test failed too. */
import { spawnSync } from "node:child_process";
import { mkdtempSync, rmSync, symlinkSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("..", import.meta.url));

/** Runs the script on one file of tests with one listed name; returns its exit code. */
function runScript(tests: string): number | undefined {
    const folder = mkdtempSync(join(tmpdir(), "beechdock-test-script-"));
    ["node_modules", "scripts"].forEach(name => symlinkSync(join(root, name), join(folder, name)));
    writeFileSync(join(folder, "package.json"), "{\"type\":\"module\"}");
    writeFileSync(join(folder, "KNOWN-RED.txt"), "- is listed | command | what was seen | issue\n");
    writeFileSync(join(folder, "some.test.js"), `import { expect, test } from "vitest";\n${tests}`);
    const { status } = spawnSync(process.execPath, ["scripts/test.js"], { cwd: folder });
    rmSync(folder, { recursive: true, force: true });
    return status ?? undefined;
}

const passing = "test(\"passes\", () => expect(1).toBe(1));\n";
const listed = "test(\"is listed\", () => expect(1).toBe(2));\n";
const listedPasses = "test(\"is listed\", () => expect(1).toBe(1));\n";
const unlisted = "test(\"is not listed\", () => expect(1).toBe(2));\n";
const unhandled = "test(\"leaves an error\", async () => { setTimeout(() => { throw new Error(\"late\"); }, 0); " +
    "await new Promise(resolve => setTimeout(resolve, 50)); });\n";

test.each<[string, string, number]>([
    ["a listed test fails", passing + listed, 0],
    ["all tests pass", passing, 0],
    ["a test that is not listed fails", listed + unlisted, 1],
    ["a listed test passes", listedPasses, 1],
    ["an error is outside of all tests", passing + unhandled, 1],
    ["an error is outside of all tests and a listed test fails", listed + unhandled, 1],
])("the test script when %s", (title, tests, expected) => {
    expect(runScript(tests)).toBe(expected);
});
