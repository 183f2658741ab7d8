/** An error that a step of a request throws ends that request alone; a later one ended the process. */
import { afterAll, afterEach, expect, test } from "vitest";
import { demoKeys } from "../../demo/document.js";
import { type EntryWithFakeSlot, startEntryWithFakeSlot } from "../../standin/fakeSlot.js";
import { formatRequest, openRawConnection } from "../../standin/rawConnection.js";
import { collectUncaughtErrors } from "../../standin/uncaughtErrors.js";
import { createSlotClient, type SlotClient } from "../slotClient.js";

const { errors: unhandled, stop: stopCollecting } = collectUncaughtErrors();
afterAll(stopCollecting);

let fake: EntryWithFakeSlot;
afterEach(() => fake.close());

const identity = { environment: "production", internalKeys: ["standin-internal-key-1"] };
const fail = () => {
    throw new Error("a step of the request fails");
};

test.each<[string, Partial<SlotClient>, Record<string, unknown>[], [number, string]]>([
    ["sending the request", { run: fail }, [], [500, "unknown"]],
    ["resuming it before its response has begun", { resume: fail }, [{ kind: "accepted", incarnation: "fake" }], [
        500,
        "unknown",
    ]],
    [
        "resuming it after its response has begun",
        { resume: fail },
        [
            { kind: "accepted", incarnation: "fake" },
            { kind: "head", status: 200, headers: { "content-type": "text/event-stream" } },
            { kind: "data", data: "data: a\n\n" },
        ],
        [200, "run"],
    ],
])("an error at %s", async (name, faulty, frames, expected) => {
    const errors: string[] = [];
    const slots = { ...createSlotClient(identity), ...faulty };
    const logger = {
        debug: () => undefined,
        info: () => undefined,
        warn: () => undefined,
        error: (message: string) => void errors.push(message),
    };
    fake = await startEntryWithFakeSlot(call => {
        frames.forEach((frame, sequence) => call.sendFrame({ sequence, ...frame }));
        call.response.end();
    }, { slots, logger });
    const headers = [`authorization: Bearer ${demoKeys.caseworkers}`, "connection: close"];
    const connection = openRawConnection(fake.url, formatRequest("POST /claims HTTP/1.1", headers, "x"));
    const timer = setTimeout(() => connection.socket.destroy(), 2000);
    const response = await connection.closed;
    clearTimeout(timer);
    const { requests } = fake.context.metrics;
    const counted = (await requests.get()).values.map(({ labels, value }) => [labels.outcome, value]);
    expect({
        answer: [response.status, response.headers["beechdock-outcome"] ?? ""],
        isWhole: response.isComplete,
        errors,
        counted,
        unhandled,
    }).toEqual({
        answer: expected,
        isWhole: expected[0] === 500,
        errors: ["A request failed unexpectedly."],
        counted: [["unknown", 1]],
        unhandled: [],
    });
});
