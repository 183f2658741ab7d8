/** Command line options of the daemons beechdock-entry and beechdock-slot. */
import meow from "meow";
import type { z } from "zod";
import { loadSettings } from "../config/loadSettings.js";
import { InputError } from "../core/errors.js";
import { ExitCode, exitWith } from "./exit.js";

const help = (program: string, description: string) => `
    Usage
      $ ${program} --settings FILE

    ${description}

    Options
      --settings FILE    settings in YAML
      --check-settings   check the settings and exit
      --help, --version

    Exit codes
      0  stopped as asked, or the settings are good
      1  failed while running
      2  bad options or settings; each finding is printed with its place
`;

/**
 * Parses the command line of a daemon and loads its settings. Exits the process if the options or settings are invalid,
 * and after validation with `--check-settings`.
 */
export function parseDaemonOptions<T>(program: string, description: string, schema: z.ZodType<T>): T {
    const cli = meow(help(program, description), {
        importMeta: import.meta,
        flags: { settings: { type: "string" }, checkSettings: { type: "boolean", default: false } },
    });
    if (cli.flags.settings === undefined) {
        exitWith(ExitCode.badInput, "Option --settings is missing");
    }
    try {
        const settings = loadSettings(cli.flags.settings, schema);
        if (cli.flags.checkSettings) {
            exitWith(ExitCode.ok, "The settings are good");
        }
        return settings;
    }
    catch (error) {
        if (error instanceof InputError) {
            exitWith(ExitCode.badInput, error.message);
        }
        throw error;
    }
}
