#!/usr/bin/env node
/** beechdock-slot: the only way to the upstream that it stands beside. */
import { SlotSettingsSchema } from "../config/settings.js";
import { startSlot } from "../slot/start.js";
import { parseDaemonOptions } from "./daemonOptions.js";
import { registerShutdown } from "./exit.js";

const settings = parseDaemonOptions("beechdock-slot", "Stands beside one upstream.", SlotSettingsSchema);
const slot = await startSlot(settings);
registerShutdown(slot.stop);
