/** Bundles the platform's programs into the folder that is given, or into target/. */
import { bundlePrograms } from "./bundlePrograms.js";

await bundlePrograms(process.argv[2] ?? "target");
