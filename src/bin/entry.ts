#!/usr/bin/env node
/**
 * beechdock-entry: ingress proxy. Accepts requests from callers, forwards each to a slot, which is the sidecar of one
 * upstream, and relays the response.
 */
import { EntrySettingsSchema } from "../config/settings.js";
import { startEntry } from "../entry/start.js";
import { parseDaemonOptions } from "./daemonOptions.js";
import { registerShutdown } from "./exit.js";

const settings = parseDaemonOptions("beechdock-entry", "Takes requests from callers.", EntrySettingsSchema);
const entry = await startEntry(settings);
registerShutdown(entry.stop);
