#!/usr/bin/env node
/** beechdock-entry: accepts requests from callers, forwards them to slots and relays the responses. */
import { EntrySettingsSchema } from "../config/settings.js";
import { startEntry } from "../entry/start.js";
import { parseDaemonOptions } from "./daemonOptions.js";
import { registerShutdown } from "./exit.js";

const settings = parseDaemonOptions("beechdock-entry", "Takes requests from callers.", EntrySettingsSchema);
const entry = await startEntry(settings);
registerShutdown(entry.stop);
