/** Bundles the fault soak and runs it; `npm run soak -- --help` lists its options. */
import { build } from "esbuild";
import { spawnSync } from "node:child_process";

const bundle = "dist/soak/main.mjs";
await build({
    entryPoints: ["platform/soak/main.ts"],
    outfile: bundle,
    bundle: true,
    platform: "node",
    target: "node20",
    format: "esm",
    packages: "external",
});
process.exit(spawnSync(process.execPath, [bundle, ...process.argv.slice(2)], { stdio: "inherit" }).status ?? 1);
