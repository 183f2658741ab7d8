/** Bundles each of the platform's programs into one file, so that a restarted process reads and compiles less. */
import { build } from "esbuild";

/**
 * Writes the bundled programs into `folder`.
 * @param {string} folder
 * @param {import("esbuild").Plugin[]} plugins
 */
export async function bundlePrograms(folder, plugins = []) {
    await build({
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
    });
}
