/**
 * Lets the event loop run after each test. Vitest's messages to its main process time out when a file of long synchronous
 * tests does not return to the event loop for a minute.
 */
import { afterEach } from "vitest";

// Tests may replace the global function by a fake one.
const scheduleImmediate = setImmediate;

afterEach(() => new Promise<void>(resolve => scheduleImmediate(resolve)));
