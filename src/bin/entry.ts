#!/usr/bin/env node
/** beechdock-entry: takes requests from callers and relays the answers of upstreams. */
import { EntrySettingsSchema } from "../config/settings.js";
import { startEntry } from "../entry/start.js";
import { parseDaemonOptions } from "./daemonOptions.js";
import { registerShutdown } from "./exit.js";

const settings = parseDaemonOptions("beechdock-entry", "Takes requests from callers.", EntrySettingsSchema);
const entry = await startEntry(settings);
registerShutdown(entry.stop);
