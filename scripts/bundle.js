/** Bundles the platform's programs into the folder given as the first argument, or into target/. */
import { bundlePrograms } from "./bundlePrograms.js";

await bundlePrograms(process.argv[2] ?? "target");
