/** Bundles each of the platform's programs into one file, so that a restarted process reads and compiles less. */
import { build } from "esbuild";
import { mkdirSync, renameSync, writeFileSync } from "node:fs";
import { dirname } from "node:path";

/**
 * Writes the bundled programs into `folder`. Each file is replaced as a whole: an empty program would end with code 0.
 * @param {string} folder
 * @param {import("esbuild").Plugin[]} plugins
 */
export async function bundlePrograms(folder, plugins = []) {
    const { outputFiles } = await build({
        entryPoints: ["platform/bin/entry.ts", "platform/bin/slot.ts"],
        outdir: folder,
        outExtension: { ".js": ".mjs" },
        bundle: true,
        platform: "node",
        target: "node20",
        format: "esm",
        // Optional dependencies of the logger, which are not used.
        external: ["dtrace-provider", "mv", "source-map-support", "moment"],
        banner: {
            js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
        },
        plugins,
        write: false,
    });
    for (const { path, contents } of outputFiles) {
        const partialFile = `${path}.${process.pid}.partial`;
        mkdirSync(dirname(path), { recursive: true });
        writeFileSync(partialFile, contents);
        renameSync(partialFile, path);
    }
}
