import { readFileSync } from "node:fs";
import { expect, it } from "vitest";
import { safeParseYaml } from "../../core/parse.js";
import { DocumentSchema } from "../schemas.js";

const page = new URL("../../../docs/operators/documents.md", import.meta.url);

it("accepts the document of the operators' page", () => {
    const text = /```yaml\n([^]*?)```/.exec(readFileSync(page, "utf8"))?.[1] ?? "";
    expect(text).toContain("workspaces:");
    expect(safeParseYaml("documents.md", text, DocumentSchema)).toMatchObject({ success: true });
});
