/** A program that was started or copied while the bundles were written ended at once with code 0, as its file was empty. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { fileURLToPath } from "node:url";
import { expect, test } from "vitest";

const root = fileURLToPath(new URL("..", import.meta.url));
const bundleCount = 3;

test("a program is whole at any time while it is bundled again", async () => {
    const folder = mkdtempSync(join(tmpdir(), "beechdock-bundles-"));
    const bundle = () =>
        new Promise(resolve =>
            spawn(process.execPath, ["scripts/bundle.js", folder], { cwd: root }).once("exit", resolve)
        );
    await bundle();
    const whole = readFileSync(join(folder, "entry.mjs")).length;
    const lengths = new Set<number>();
    for (let count = 0; count < bundleCount; count++) {
        let hasEnded = false;
        const ended = bundle().then(() => hasEnded = true);
        while (!hasEnded) {
            for (let read = 0; read < 50; read++) {
                lengths.add(readFileSync(join(folder, "entry.mjs")).length);
            }
            await new Promise(resolve => setImmediate(resolve));
        }
        await ended;
    }
    rmSync(folder, { recursive: true, force: true });
    expect([...lengths]).toEqual([whole]);
});
