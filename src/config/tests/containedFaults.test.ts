/** An error of what is told of a new configuration was logged as a failed read of the log, and what followed it was left out. */
import { afterEach, expect, test, vi } from "vitest";
import { createDemoDocument } from "../../demo/document.js";
import { createLogClient } from "../../log/client.js";
import { createMetrics } from "../../observe/metrics.js";
import { startFakeLog } from "../../standin/log.js";
import { computeDigest } from "../digest.js";
import { createConfigService } from "../loadConfig.js";
import { configStream } from "../records.js";

const closers: (() => void)[] = [];
afterEach(() => closers.splice(0).forEach(close => close()));

const environment = "production";
const first = createDemoDocument() as { routes: unknown[]; };
const second = { ...first, routes: first.routes.slice(1) };

test("a configuration is in force although what was told of the one before has thrown", async () => {
    const log = await startFakeLog(0);
    const logged: string[] = [];
    const error = (message: string) => void logged.push(message);
    const logger = { debug: () => undefined, info: () => undefined, warn: () => undefined, error };
    const metrics = createMetrics();
    const applied: number[] = [];
    const service = createConfigService({
        settings: {
            instance: "entry-1",
            dataCentre: "dc-a",
            environment,
            platform: { log: log.url, list: log.url },
            internalKeys: ["standin-internal-key-1"],
            internal: { host: "127.0.0.1", port: 0 },
            peers: [],
            logLevel: "info",
        },
        role: "entry",
        createLogger: () => logger,
        metrics,
        getLoad: () => 0,
        onConfig: ({ revision }) => {
            applied.push(revision);
            if (revision === 1) {
                throw new Error("the listener fails");
            }
        },
    });
    closers.push(() => void service.stop(), () => log.close());
    service.start(1);
    const client = createLogClient(log.url);
    const promote = (document: object, base: number, baseDigest: string) => {
        const id = `promotion-${base}`;
        const digest = computeDigest(document);
        const data = { kind: "promote", id, environment, author: "a", document, base, baseDigest, digest };
        return client.append(configStream, [{ id, data }]);
    };
    await promote(first, 0, "");
    await vi.waitFor(() => expect(applied).toEqual([1]), { timeout: 10_000 });
    await promote(second, 1, computeDigest(first));
    await vi.waitFor(() => expect(applied).toEqual([1, 2]), { timeout: 10_000 });
    const counted = (await metrics.faults.get()).values[0].value;
    expect({ counted, logged }).toEqual({ counted: 1, logged: ["A step has failed."] });
}, 30_000);
