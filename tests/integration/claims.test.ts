import { afterAll, beforeAll, beforeEach, describe, expect, it, vi } from "vitest";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callPlain, type CallResult } from "../../src/standin/caller.js";
import { type Cluster, startCluster } from "../../src/standin/cluster.js";
import { createIdempotencyKey } from "../../src/standin/idempotencyKey.js";
import { publishDocument } from "../../src/standin/publish.js";

const serviceMs = 150;
let cluster: Cluster;
let key: string;

beforeAll(async () => {
    cluster = await startCluster(
        [{ instance: "entry-1", dataCentre: "dc-a" }, { instance: "entry-2", dataCentre: "dc-b" }],
        ["dc-a", "dc-a", "dc-b"].map((dataCentre, index) => ({
            instance: `slot-${index + 1}`,
            dataCentre,
            pool: "claims",
            kind: "plain",
            serviceMs,
        })),
    );
    await publishDocument(cluster, createDemoDocument());
});

afterAll(() => cluster.stop());

beforeEach(() => {
    key = createIdempotencyKey(Date.now());
});

function sendClaim(entry: number, options: { key?: string; caller?: string; } = {}): Promise<CallResult> {
    return callPlain(cluster.entries[entry].url, "/claims/submit", "claim", {
        key: options.caller ?? demoKeys.caseworkers,
        headers: { "idempotency-key": options.key ?? key },
    });
}

/** Sends the claim again until the outcome is not `not-run`, which has to come with a `retry-after`. */
async function retryClaim(entry: number): Promise<CallResult> {
    const result = await sendClaim(entry);
    if (result.outcome !== "not-run") {
        return result;
    }
    expect(Number(result.retryAfter)).toBeGreaterThan(0);
    return retryClaim(entry);
}

function countRuns(workspace = "caseworkers"): number {
    return cluster.slots.reduce((sum, slot) => sum + (slot.upstream.runsByKey.get(`${workspace}/${key}`) ?? 0), 0);
}

describe("a keyed request", () => {
    it("runs once however often it is sent through entries of two data centres", async () => {
        const results = await Promise.all(Array.from({ length: 12 }, (item, index) => sendClaim(index % 2)));
        results.push(...await Promise.all(Array.from({ length: 12 }, (item, index) => sendClaim(index % 2))));
        const responses = new Set(results.map(({ status, outcome }) => `${status} ${outcome}`));
        expect([countRuns(), results.some(result => result.isCorrect), [...responses].sort()]).toMatchInlineSnapshot(`
          [
            1,
            true,
            [
              "200 run",
              "409 unknown",
            ],
          ]
        `);
    });

    it("runs once for each of two workspaces", async () => {
        const results = await Promise.all([sendClaim(0), sendClaim(0, { caller: demoKeys.batch })]);
        expect([results.map(result => result.isCorrect), countRuns(), countRuns("batch")]).toMatchInlineSnapshot(`
          [
            [
              true,
              true,
            ],
            1,
            1,
          ]
        `);
    });

    it("runs once when the log loses the answers to its appends", async () => {
        cluster.log.faults.lostAppendResponses = 3;
        const results = await Promise.all([sendClaim(0), sendClaim(1), sendClaim(0)]);
        cluster.log.faults.lostAppendResponses = 0;
        expect([countRuns(), results.some(result => result.isCorrect)]).toMatchInlineSnapshot(`
          [
            1,
            true,
          ]
        `);
    });

    it("runs although every connection to the log has gone silent", async () => {
        cluster.logProxy.freeze();
        const results = await Promise.all([sendClaim(0), sendClaim(1)]);
        const correctCount = results.filter(result => result.isCorrect).length;
        expect([countRuns(), correctCount > 0]).toEqual([1, true]);
    });

    it("does not run while the log is down, and runs once afterwards", async () => {
        cluster.log.faults.down = true;
        const refused = await sendClaim(0);
        const runsWhileDown = countRuns();
        cluster.log.faults.down = false;
        const later = await sendClaim(0);
        const { status, outcome, retryAfter } = refused;
        expect([{ status, outcome, retryAfter }, runsWhileDown, later.isCorrect, countRuns()]).toMatchInlineSnapshot(`
          [
            {
              "outcome": "not-run",
              "retryAfter": "2",
              "status": 503,
            },
            0,
            true,
            1,
          ]
        `);
    });

    it.each([
        { name: "without a mint time", text: () => "claim-17", expected: [400, "not-run"] },
        {
            name: "past its window",
            text: () => createIdempotencyKey(Date.now() - 16 * 60_000),
            expected: [409, "unknown"],
        },
    ])("is refused with a key $name", async ({ text, expected }) => {
        const { status, outcome } = await sendClaim(0, { key: text() });
        expect([status, outcome, countRuns()]).toEqual([...expected, 0]);
    });

    it("does not run again when its claimer was killed after the claim", async () => {
        const first = sendClaim(0);
        const claimantSlot = await waitForRun();
        claimantSlot.process.kill("SIGKILL");
        await claimantSlot.process.exited;
        const firstResult = await first;
        const retries = await Promise.all([0, 1, 0, 1].map(retryClaim));
        await cluster.restartSlot(claimantSlot);
        retries.push(...await Promise.all([0, 1].map(retryClaim)));
        const outcomes = new Set([firstResult, ...retries].map(result => result.outcome));
        expect([countRuns(), [...outcomes].sort()]).toMatchInlineSnapshot(`
          [
            1,
            [
              "unknown",
            ],
          ]
        `);
    });
});

/** Resolves with the slot whose upstream has run a request with the current key. */
function waitForRun() {
    return vi.waitFor(() => {
        const found = cluster.slots.find(slot => slot.upstream.runsByKey.has(`caseworkers/${key}`));
        return found ?? expect.unreachable("no upstream runs the key");
    }, { timeout: 10_000, interval: 5 });
}
