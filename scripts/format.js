/** Formats the sources with dprint's TypeScript plugin; with `--check`, only reports the files that would change. */
import { createContext } from "@dprint/formatter";
import { getPath } from "@dprint/typescript";
import { execFileSync } from "node:child_process";
import { readFileSync, writeFileSync } from "node:fs";

const config = JSON.parse(readFileSync(new URL("../dprint.json", import.meta.url), "utf8"));
const { typescript, ...shared } = config;
const context = createContext(shared);
context.addPlugin(readFileSync(getPath()), typescript);

const files = execFileSync("git", ["ls-files", "--cached", "--others", "--exclude-standard", "*.ts", "*.js"], {
    encoding: "utf8",
});
const check = process.argv.includes("--check");
let differing = 0;
for (const filePath of files.split("\n").filter(name => name.length > 0)) {
    const fileText = readOrSkip(filePath);
    const formatted = fileText === undefined ? undefined : context.formatText({ filePath, fileText });
    if (formatted !== fileText) {
        differing += 1;
        process.stdout.write(`${check ? "differs" : "formatted"}: ${filePath}\n`);
        if (!check) {
            writeFileSync(filePath, formatted);
        }
    }
}
process.exit(check && differing > 0 ? 1 : 0);

function readOrSkip(filePath) {
    try {
        return readFileSync(filePath, "utf8");
    }
    catch (error) {
        if (error.code === "ENOENT") {
            return undefined;
        }
        throw error;
    }
}
