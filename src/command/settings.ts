/** Command `settings`: prints a settings file as a process understands it, with secrets masked. */
import { stringify } from "yaml";
import { z } from "zod";
import { loadSettings } from "../config/loadSettings.js";
import { EntrySettingsSchema, OperatorSettingsSchema, SlotSettingsSchema } from "../config/settings.js";
import { createInputError } from "../core/errors.js";
import { printResult } from "./output.js";
import { type Command, CommandExitCode } from "./types.js";

const secretFields = ["internalKeys"];
const mask = "***";

/** Prints the settings with defaults filled in. */
export const settingsCommand: Command = async ([file = ""], options) => {
    const path = options.settings ?? file;
    if (path === "" || !options.print) {
        const message = "Use settings --print with the file of an entry, a slot or an operator";
        throw createInputError([{ code: "missing", path: [], message }]);
    }
    const settings = replaceSecrets(
        loadSettings<object>(path, chooseSchema(loadSettings(path, z.record(z.string(), z.unknown())))),
    );
    printResult(options, settings, stringify(settings).trimEnd());
    return CommandExitCode.ok;
};

function chooseSchema(raw: Record<string, unknown>): z.ZodType<object> {
    if ("listen" in raw) {
        return EntrySettingsSchema;
    }
    return "upstream" in raw || "pool" in raw ? SlotSettingsSchema : OperatorSettingsSchema;
}

/** Replaces the values of secret fields, however deep they stand. */
export function replaceSecrets(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(replaceSecrets);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    return Object.fromEntries(
        Object.entries(value).map(([key, item]) => [key, secretFields.includes(key) ? mask : replaceSecrets(item)]),
    );
}
