#!/usr/bin/env node
/** beechdock: command line interface for operators. */
import { runCommand } from "../command/main.js";

process.exitCode = await runCommand(process.argv.slice(2));
