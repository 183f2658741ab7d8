/** Entry server in this process with one fake slot (an upstream's sidecar), whose responses the test determines. */
import { createServer, type Server, type ServerResponse } from "node:http";
import { createInitialConfig } from "../config/fold.js";
import { DocumentSchema } from "../config/schemas.js";
import { createDemoDocument } from "../demo/document.js";
import { createJournal } from "../entry/journal.js";
import { createRetryBudget } from "../entry/retryBudget.js";
import { createEntryServer, type EntryContext, type EntryServer } from "../entry/server.js";
import { createSlotClient } from "../entry/slotClient.js";
import { createMetrics } from "../observe/metrics.js";
import { createUpstreamTable, updateInstances, updateReport } from "../routing/upstreamTable.js";
import { readBody } from "../wire/body.js";
import { createCallerLimits } from "../wire/callerLimits.js";
import { encodeFrame } from "../wire/frames.js";
import { listenOn } from "../wire/listen.js";
import type { Frame, ResumeParams, RunParams } from "../wire/messages.js";

/** Request that the fake slot received. */
export interface FakeSlotCall {
    path: string;
    params: RunParams & ResumeParams;
    response: ServerResponse;
    /**
     * Sends a frame; `requestId` and `attempt` default to those of the call. Returns false when the response's write
     * buffer is full.
     */
    sendFrame: (frame: Record<string, unknown>) => boolean;
}

export interface EntryWithFakeSlot {
    /** Address of the entry. */
    url: string;
    entry: EntryServer;
    context: EntryContext;
    /** Calls that the slot has received, in order. */
    calls: FakeSlotCall[];
    close: () => void;
}

/** Load report of the fake slot. */
export const fakeLoadReport = {
    incarnation: "fake",
    tokensInFlight: 0,
    requestsInFlight: 0,
    queued: 0,
    state: "live",
    serviceMs: 1,
} as const;
const maxBodyBytes = 4 * 1024 * 1024;

/** Starts the entry and the slot; `handleCall` responds to each run and resume. Only the pool `claims` has a slot. */
export async function startEntryWithFakeSlot(
    handleCall: (call: FakeSlotCall) => void,
    options: Partial<EntryContext> = {},
): Promise<EntryWithFakeSlot> {
    const identity = { environment: "production", internalKeys: ["standin-internal-key-1"] };
    const calls: FakeSlotCall[] = [];
    const slot = createServer((request, response) => {
        void readBody(request, maxBodyBytes).then(body => {
            const call = createCall(request.url ?? "", body?.toString() ?? "{}", response);
            calls.push(call);
            handleCall(call);
        });
    });
    const url = `http://127.0.0.1:${await listenOn(slot, "127.0.0.1", 0)}`;
    const table = createUpstreamTable();
    updateInstances(table, [{
        instance: "slot-1",
        role: "slot",
        dataCentre: "dc-a",
        url,
        state: "live",
        pool: "claims",
    }]);
    updateReport(table, "slot-1", fakeLoadReport, Date.now());
    const config = { ...createInitialConfig("production"), document: DocumentSchema.parse(createDemoDocument()) };
    const context: EntryContext = {
        identity,
        dataCentre: "dc-a",
        table,
        slots: createSlotClient(identity),
        metrics: createMetrics(),
        retryBudget: createRetryBudget(0.1, 10),
        journal: createJournal(100),
        quarantine: {
            findObstacle: () => undefined,
            getLatestCrashes: () => [],
            recordAnswer: () => undefined,
            recordLoss: () => Promise.resolve(),
        },
        maxBodyBytes,
        limits: createCallerLimits({ memoryBytes: Infinity, descriptors: Infinity }, () => performance.now()),
        logger: { debug: () => undefined, info: () => undefined, warn: () => undefined, error: () => undefined },
        getConfig: () => config,
        isReady: () => true,
        isStopping: () => false,
        ...options,
    };
    const entry = createEntryServer(context);
    const entryUrl = `http://127.0.0.1:${await listenOn(entry.server, "127.0.0.1", 0)}`;
    return { url: entryUrl, entry, context, calls, close: () => [slot, entry.server].forEach(closeServer) };
}

function createCall(path: string, body: string, response: ServerResponse): FakeSlotCall {
    const { params } = JSON.parse(body) as { params: RunParams & ResumeParams; };
    const { requestId, attempt } = params;
    const send = (frame: Record<string, unknown>) =>
        response.write(encodeFrame({ requestId, attempt, ...frame } as unknown as Frame));
    return { path, params, response, sendFrame: send };
}

function closeServer(server: Server): void {
    server.close();
    server.closeAllConnections();
}
