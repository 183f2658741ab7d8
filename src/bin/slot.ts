#!/usr/bin/env node
/**
 * beechdock-slot: sidecar of one upstream. All requests to the upstream go through it; they come from the entries,
 * which are the ingress proxies.
 */
import { SlotSettingsSchema } from "../config/settings.js";
import { startSlot } from "../slot/start.js";
import { parseDaemonOptions } from "./daemonOptions.js";
import { registerShutdown } from "./exit.js";

const settings = parseDaemonOptions("beechdock-slot", "Stands beside one upstream.", SlotSettingsSchema);
const slot = await startSlot(settings);
registerShutdown(slot.stop);
