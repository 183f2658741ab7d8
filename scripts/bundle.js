/**
 * Bundles the platform's programs into one file each: a process that is restarted reads and compiles less.
 * The files go into the folder that is given, or into target/.
 */
import { build } from "esbuild";

await build({
    entryPoints: ["platform/bin/entry.ts", "platform/bin/slot.ts"],
    outdir: process.argv[2] ?? "target",
    outExtension: { ".js": ".mjs" },
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    // Optional parts of the logger, which are not used.
    external: ["dtrace-provider", "mv", "source-map-support", "moment"],
    banner: {
        js: "import { createRequire } from 'node:module'; const require = createRequire(import.meta.url);",
    },
});
