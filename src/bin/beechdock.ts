#!/usr/bin/env node
/** beechdock: the operators' command line. */
import { runCommand } from "../command/main.js";

process.exitCode = await runCommand(process.argv.slice(2));
