import { readFileSync } from "node:fs";
import { describe, expect, it } from "vitest";

const root = new URL("../", import.meta.url);
const text = readFileSync(new URL("docs/PROMISES.md", root), "utf8");
/** Tests that the page refers to, written as `path/to/file.test.ts: name of the test`. */
const references = [...text.matchAll(/`([\w./-]+\.test\.ts): ([^`]+)`/g)].map(([, file, name]) => ({ file, name }));

describe("docs/PROMISES.md", () => {
    it("names tests", () => {
        expect(references.length).toBeGreaterThan(0);
    });

    it.each(references)("names a test that exists: $file: $name", ({ file, name }) => {
        expect(readFileSync(new URL(file, root), "utf8")).toContain(name);
    });
});
