import { afterAll, beforeAll, expect, it, vi } from "vitest";
import { runCommand } from "../../src/command/main.js";
import { createDemoDocument, demoKeys } from "../../src/demo/document.js";
import { callPlain } from "../../src/standin/caller.js";
import { type Cluster, environment, internalKeys, startCluster } from "../../src/standin/cluster.js";
import { publishDocument } from "../../src/standin/publish.js";

let cluster: Cluster;

beforeAll(async () => {
    cluster = await startCluster([{ instance: "entry-1", dataCentre: "dc-a" }], [
        { instance: "slot-1", dataCentre: "dc-a", pool: "claims", kind: "plain" },
    ]);
    await publishDocument(cluster, createDemoDocument());
});

afterAll(() => cluster.stop());

async function explain(...args: string[]): Promise<{ code: number; text: string; errors: string; }> {
    const platform = { log: cluster.log.url, list: cluster.list.url };
    const file = cluster.writeFile("operator.yaml", { environment, platform, internalKeys });
    const output = vi.spyOn(process.stdout, "write").mockReturnValue(true);
    const errorOutput = vi.spyOn(process.stderr, "write").mockReturnValue(true);
    const code = await runCommand(["explain", ...args, "--json", "--settings", file]);
    const [text, errors] = [output, errorOutput].map(spy => spy.mock.calls.map(call => String(call[0])).join(""));
    output.mockRestore();
    errorOutput.mockRestore();
    return { code, text, errors };
}

it("explains a request from the journal of the entry that took it", async () => {
    const { requestId } = await callPlain(cluster.entries[0].url, "/claims/a", "x", { key: demoKeys.caseworkers });
    const { code, text } = await explain(requestId);
    expect(code).toBe(0);
    const attempts = [{ attempt: 1, instance: "slot-1", verdict: "answered" }];
    const result = { requestId, workspace: "caseworkers", outcome: "run", attempts };
    expect(JSON.parse(text)).toMatchObject([{ instance: "entry-1", result }]);
});

it("says that nothing is known of another request", async () => {
    const { code, text, errors } = await explain("no-such-request");
    expect([code, text]).toEqual([1, ""]);
    expect(errors).toContain("No entry knows of it; 0 of 1 gave no answer");
});
