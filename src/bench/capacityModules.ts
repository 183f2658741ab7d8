/** Time and memory of single modules by the size of their input, measured in this process. */
import { computeDigest } from "../config/digest.js";
import { createFoldState, foldBatch } from "../config/fold.js";
import { type ConfigDocument, DocumentSchema } from "../config/schemas.js";
import { safeParseYaml } from "../core/parse.js";
import { createRandom } from "../core/random.js";
import type { InstanceRecord } from "../core/types.js";
import { hashKey } from "../entry/authenticate.js";
import { chooseUpstream } from "../routing/choose.js";
import { createUpstreamTable, updateInstances } from "../routing/upstreamTable.js";
import { beginRun, createRunStore } from "../slot/runStore.js";
import type { RunParams } from "../wire/messages.js";
import type { Measurement } from "./capacity.js";

const microsecondsPerMs = 1000;

/** Measures each module at several sizes. */
export function measureModules(seed: number): Measurement[] {
    return [measureUpstreamChoice(seed), measureRevisionAcceptance(), measureRunStore()];
}

function measureUpstreamChoice(seed: number): Measurement {
    const points = [10, 20, 40, 80, 160].map(x => {
        const table = createUpstreamTable();
        updateInstances(table, Array.from({ length: x }, (value, index) => createInstanceRecord(index)));
        const random = createRandom(seed);
        const choice = {
            pool: "pool",
            dataCentre: "dc-0",
            spill: "when-full" as const,
            tokens: 100,
            excluded: new Set<string>(),
        };
        return { x, y: measureCallUs(2000, () => chooseUpstream(table, choice, 0, random.next)) };
    });
    return { name: "choose", xName: "upstreams in an entry's subset", yName: "microseconds a choice", points };
}

function measureRevisionAcceptance(): Measurement {
    const points = [20, 40, 80, 160, 340].map(x => {
        const text = JSON.stringify(createDocument(x));
        const parsed = safeParseYaml("document", text, DocumentSchema);
        if (!parsed.success) {
            throw new Error("the benchmark's configuration document does not match the schema");
        }
        const data = {
            kind: "promote",
            id: "1",
            environment: "production",
            base: 0,
            baseDigest: "",
            digest: computeDigest(parsed.data),
            author: "a",
            document: parsed.data,
        };
        const batch = { records: [{ offset: 0, id: "1", time: 0, data }], oldest: 0, next: 1 };
        const accept = () => DocumentSchema.parse(foldBatch(createFoldState("production"), batch).document);
        return { x, y: measureCallUs(20, accept) };
    });
    return { name: "document", xName: "workspaces", yName: "microseconds to accept a revision", points };
}

function measureRunStore(): Measurement {
    const points = [2000, 4000, 8000, 16_000, 32_000].map(x => {
        globalThis.gc?.();
        const heapBefore = process.memoryUsage().heapUsed;
        const store = createRunStore("i");
        for (let index = 0; index < x; index++) {
            beginRun(store, createRunParams(index), 0);
        }
        const heapBytes = process.memoryUsage().heapUsed - heapBefore;
        return { x: store.records.size, y: heapBytes / 1024 };
    });
    return { name: "ledger", xName: "run records", yName: "KB of heap", points };
}

/** Measures the mean time of a call in microseconds, after a warm-up with the same number of calls. */
function measureCallUs(count: number, call: () => void): number {
    const callRepeatedly = () => {
        for (let index = 0; index < count; index++) {
            call();
        }
    };
    callRepeatedly();
    const startedAt = performance.now();
    callRepeatedly();
    return (performance.now() - startedAt) * microsecondsPerMs / count;
}

function createInstanceRecord(index: number): InstanceRecord {
    return {
        instance: `slot-${index}`,
        role: "slot",
        dataCentre: `dc-${index % 4}`,
        url: `http://127.0.0.1:${20_000 + index}`,
        state: "live",
        pool: "pool",
    };
}

/**
 * Creates a configuration document with a number of workspaces and a number of models in proportion: 26 models for 340
 * workspaces, as the target deployment has.
 */
export function createDocument(workspaces: number): ConfigDocument {
    const models = Math.max(1, Math.round(workspaces * 26 / 340));
    return DocumentSchema.parse({
        workspaces: Array.from(
            { length: workspaces },
            (value, index) => ({ name: `workspace-${index}`, keys: [hashKey(`key ${index}`)], weight: 1 }),
        ),
        pools: Array.from({ length: models }, (value, index) => ({ name: `model-${index}`, kind: "engine" })),
        routes: Array.from({ length: models }, (value, index) => ({
            path: "/v1/chat/completions",
            model: `model-${index}`,
            pool: `model-${index}`,
        })),
    });
}

function createRunParams(index: number): RunParams {
    return {
        requestId: `request-${index}`,
        incarnation: "i",
        attempt: 1,
        workspace: "w",
        method: "POST",
        path: "/",
        headers: {},
        body: "",
        idempotent: true,
        urgency: 3,
        tokens: 100,
        deadlineMs: 1000,
    };
}
